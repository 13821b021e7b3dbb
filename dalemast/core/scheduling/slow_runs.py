"""Evaluation of slow runs: how slow a run is, and whether moving it saves time."""

from __future__ import annotations

from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.workers import SlowRun, WorkerView

__all__ = [
    "MAX_SLOW_MOVES",
    "PACE_WEIGHT",
    "SLOW_PACE",
    "estimate_pace",
    "estimate_slowness",
    "is_move_beneficial",
    "is_run_time_plausible",
    "would_be_late",
]

SLOW_PACE = 2.2
"""Pace from which a run counts as slow. The usual differences between workers, tasks of a step and
racks stay below it, also when they combine."""
PACE_WEIGHT = 0.4
"""Weight of a report of a slow run in its worker's slowness: after three the worker is avoided."""
MAX_UNCONFIRMED_SLOWNESS = 1.5
"""Limit of the slowness sample of a run without finished siblings, which may just be a long one."""
MIN_ENDED_SIBLINGS = 2
"""Minimum number of finished tasks of a step whose mean run time is used for the others."""
MIN_MOVE_GAIN = 1.3
"""A slow run is moved if the rest of it takes this many times as long as a new run elsewhere."""
MAX_SLOW_MOVES = 1
"""Maximum number of moves of one task because of slow runs. A task that is slow elsewhere too is a
long one: moving it again would keep it from finishing and mark sound workers as slow."""
MOVE_OVERHEAD_S = 0.06
"""Time that a move takes in addition to the new run: stopping the run and two messages."""
MAX_CLOCK_ERROR_S = 10.0
"""Tolerance when an agent's run time is compared with the owner's clock. The clocks are not
synchronized, and a process may pause for seconds before it reads its clock."""
MIN_EXPECTED_S = 0.001
"""Shorter expected times are raised to this, so that ratios stay bounded."""


def estimate_pace(job: Job, task: Task, report: SlowRun) -> float:
    """Return how many times as long the run takes as it would on a usual worker.

    Finished tasks of the same step are the best reference. Without them the pace of the whole
    worker is used, since a single run may exceed its declared time just because it is long.
    """
    total_s = report.total_s / task.run_factor
    if report.is_stalled:
        return max(_get_ratio(total_s, task.expected_s), SLOW_PACE)
    sibling_s = _get_sibling_s(job, task)
    if sibling_s is None:
        return report.worker_pace
    return _get_ratio(total_s, sibling_s)


def is_run_time_plausible(task: Task, run_s: float, *, now: float) -> bool:
    """Return whether a reported run time is possible by the owner's clock; NaN is not."""
    return 0.0 <= run_s <= now - task.placed_at + MAX_CLOCK_ERROR_S


def estimate_slowness(job: Job, task: Task, run_s: float) -> float:
    """Return the ratio of a finished run's time to the mean of finished tasks of its step.

    Without such tasks it is compared with the expected time and limited, since the job may just be
    a long one.
    """
    local_s = run_s / task.run_factor
    sibling_s = _get_sibling_s(job, task)
    if sibling_s is None:
        return min(_get_ratio(local_s, task.expected_s), MAX_UNCONFIRMED_SLOWNESS)
    return _get_ratio(local_s, sibling_s)


def is_move_beneficial(report: SlowRun, *, pace: float, target: WorkerView, now: float) -> bool:
    """Return whether a new run on another worker would end well before this one."""
    new_run_s = report.total_s / pace * target.get_slowness(now) + MOVE_OVERHEAD_S
    return report.total_s - report.age_s >= MIN_MOVE_GAIN * new_run_s


def would_be_late(
    job: Job, task: Task, report: SlowRun, *, baseline_slowness: float, now: float
) -> bool:
    """Return whether a long task makes its job late because its worker has a slow baseline.

    The objective is based on the task's time on a usual worker, assuming that the task is the
    longest part of the job.
    """
    usual_s = report.total_s / (task.run_factor * baseline_slowness)
    objective_s = job.request.queue.get_objective_s(max(usual_s, job.chain_s))
    return now - report.age_s + report.total_s > job.arrived_at + objective_s


def _get_sibling_s(job: Job, task: Task) -> float | None:
    """Return the mean run time of the step's finished tasks, or None if there are too few."""
    ended = job.run_times.get(task.key.step, ())
    if len(ended) < MIN_ENDED_SIBLINGS:
        return None
    return sum(ended) / len(ended)


def _get_ratio(actual_s: float, usual_s: float) -> float:
    return actual_s / max(usual_s, MIN_EXPECTED_S)
