"""The judgement of slow runs: how slow one is, and whether moving it gains time."""

from __future__ import annotations

from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.workers import SlowRun, WorkerView

__all__ = [
    "MAX_SLOW_MOVES",
    "PACE_WEIGHT",
    "SLOW_PACE",
    "estimate_slowness",
    "is_move_beneficial",
    "is_run_time_plausible",
    "estimate_pace",
    "would_be_late",
]

SLOW_PACE = 2.2
"""From which pace a run counts as slow: workers differ by 1.25, tasks of a step by 15 %, and racks
without the data by 1.5, so a sound run stays below."""
PACE_WEIGHT = 0.4
"""How much one report of a slow run says of its worker: after three it is avoided."""
LONGEST_UNPROVED = 1.5
"""Bound on what a single run without ended siblings says of its worker."""
MIN_SIBLINGS = 2
"""Ended tasks of a step that are enough to judge the others by."""
MOVE_GAIN = 1.3
"""How much longer the rest of a slow run must be than a new run elsewhere before it is moved."""
MAX_SLOW_MOVES = 1
"""How often a task may be moved since its run is slow. One that is as slow elsewhere is simply
long, and says nothing of its workers. Without the bound a task of 6.4 s, whose siblings took 2.5 s,
was moved every 0.3 s until its caller gave up after 27 s, and 71 workers were distrusted for it."""
STOP_COST_S = 0.06
"""What moving a task costs beside running it again: a stop of up to 50 ms and two messages."""
CLOCK_ERROR_S = 10.0
"""How much longer a run may seem at its agent than at its owner: neither clock is told the other's,
and a process may stand still for seconds between a step and its time."""
SHORTEST_S = 0.001
"""Expected times below this are taken as this long, so that no ratio is unbounded."""


def estimate_pace(job: Job, task: Task, report: SlowRun) -> float:
    """Return how many times as long as elsewhere the run takes, by the best evidence.

    A declared time says little of one run, since it may simply be a long one. Tasks of the same
    step that have ended say much: they differ by about 15 %.
    """
    total_s = report.total_s / task.run_factor
    if report.is_stalled:
        return max(_get_ratio(total_s, task.expected_s), SLOW_PACE)
    sibling_s = _get_sibling_s(job, task)
    if sibling_s is None:
        return report.worker_pace
    return _get_ratio(total_s, sibling_s)


def is_run_time_plausible(task: Task, run_s: float, *, now: float) -> bool:
    """Tell whether a run that ended well can have taken so long, by its owner's clock.

    A time that is no number can't be true.
    """
    return 0.0 <= run_s <= now - task.placed_at + CLOCK_ERROR_S


def estimate_slowness(job: Job, task: Task, run_s: float) -> float:
    """Return an ended run's time over what it takes elsewhere, by ended tasks of its step.

    Without them it is compared with the expected time and bounded: it may be a long job.
    """
    local_s = run_s / task.run_factor
    sibling_s = _get_sibling_s(job, task)
    if sibling_s is None:
        return min(_get_ratio(local_s, task.expected_s), LONGEST_UNPROVED)
    return _get_ratio(local_s, sibling_s)


def is_move_beneficial(report: SlowRun, *, pace: float, elsewhere: WorkerView, now: float) -> bool:
    """Tell whether a new run on another worker would end well before this one."""
    new_run_s = report.total_s / pace * elsewhere.get_slowness(now) + STOP_COST_S
    return report.total_s - report.age_s >= MOVE_GAIN * new_run_s


def would_be_late(
    job: Job, task: Task, report: SlowRun, *, baseline_slowness: float, now: float
) -> bool:
    """Tell whether a run that is simply long makes its job late since its worker is of a slow kind.

    Its length stretches the job's objective, as on a worker of usual speed; that counts the job's
    other steps as no longer than this task.
    """
    usual_s = report.total_s / (task.run_factor * baseline_slowness)
    objective_s = job.request.queue.get_objective_s(max(usual_s, job.chain_s))
    return now - report.age_s + report.total_s > job.arrived_at + objective_s


def _get_sibling_s(job: Job, task: Task) -> float | None:
    """Return the mean run time of the step's ended tasks, or None if there are too few."""
    ended = job.run_times.get(task.key.step, ())
    if len(ended) < MIN_SIBLINGS:
        return None
    return sum(ended) / len(ended)


def _get_ratio(actual_s: float, usual_s: float) -> float:
    return actual_s / max(usual_s, SHORTEST_S)
