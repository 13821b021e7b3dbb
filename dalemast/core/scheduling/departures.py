"""Moving runs off workers that leave before the runs end.

Capacity may be withdrawn at short notice. A run that its worker can't finish is lost with it and
restarts only then, although another worker may have free capacity now.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

from dalemast.core.scheduling.actions import (
    Action,
    RunMoved,
    StopTask,
)
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.choices import WorkerChoice
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import (
    LATE_FACTOR,
    Job,
    Task,
    TaskPhase,
)
from dalemast.core.scheduling.load import DepartureRisk
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import (
    Resources,
    StepRequest,
    TaskKey,
)

__all__ = ["DepartureMoves", "is_plausible"]

MAX_REPORTED_S = 86_400.0
"""Longer times in reports on runs and leaving workers are treated as invalid."""
MAX_DEPARTURE_MOVES = 1
"""Maximum number of moves of one task off leaving workers; each move discards its progress."""
MOVE_OVERHEAD_S = 0.06
"""Time that a move takes in addition to the new run: stopping the run and two messages."""
LOSS_OVERHEAD_S = 0.06
"""Time that the loss of a run takes in addition to the new run: detecting it by two refused
connections, and the messages that follow."""
MIN_GAIN_SHARE = 0.1
"""Minimum gain of a move over a restart after the loss of the run, as a share of the run time.
Smaller gains are within the usual variation of run times."""
STAY_PROBABILITY = 0.5
"""Assumed probability that the worker stays until a run ends. Only the minimum time until it leaves
is known, so both outcomes have the same weight."""
LEAVING = "leaving"


class _EndValue(enum.IntEnum):
    """Value of an end time to the caller; higher is better."""

    USELESS = 0
    LATE = 1
    ON_TIME = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class _RunAtRisk:
    """A run that does not end in time if its worker leaves at the earliest time."""

    run: int
    ends_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Move:
    """A run that is being stopped, and the worker that has capacity for the new run."""

    run: int
    worker: str
    resources: Resources


def is_plausible(reported_s: float) -> bool:
    """Return whether a reported time, in seconds, is finite and within limits."""
    return math.isfinite(reported_s) and 0.0 <= reported_s <= MAX_REPORTED_S


class DepartureMoves:
    """Moves the runs of one owner that leaving workers can't finish. Times are in seconds.

    A stopped task is queued in the order of service like all others. So a run is moved only if
    there is capacity that no waiting task could use.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        workers: Mapping[str, WorkerView],
        choice: WorkerChoice,
        order: BaseOrder,
        placement: BasePlacement,
        run_times: RunTimes,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._choice = choice
        self._order = order
        self._placement = placement
        self._run_times = run_times
        self._at_risk: dict[tuple[str, TaskKey], _RunAtRisk] = {}
        self._moves: dict[tuple[str, TaskKey], _Move] = {}

    def note_risk(self, job: Job, task: Task, report: DepartureRisk, *, now: float) -> None:
        """Apply a report on whether a run is expected to end before its worker leaves."""
        view = self._workers.get(task.worker)
        if view is None or view.leaves_at is None:
            return
        if not is_plausible(report.left_s) or not is_plausible(report.leaves_in_s):
            return
        view.leaves_at = now + report.leaves_in_s
        ref = (job.request.id, task.key)
        if report.left_s <= report.leaves_in_s:
            self._at_risk.pop(ref, None)
        else:
            self._at_risk[ref] = _RunAtRisk(run=task.run, ends_at=now + report.left_s)

    def forget_worker(self, name: str) -> None:
        """Discard the runs at risk on a worker that stays or has become unreachable."""
        for ref in list(self._at_risk):
            task = self._find(ref)
            if task is None or task.worker == name:
                del self._at_risk[ref]

    def review(self, *, now: float) -> list[Action]:
        """Return the actions for the moves that are possible now, in the order of service."""
        self._forget_ended()
        if not self._at_risk:
            return []
        choices = self._choice.start_round(now=now)
        reserved = self._get_reserved_capacity()
        actions: list[Action] = []
        for ref in sorted(self._at_risk, key=lambda ref: self._get_key(ref, now)):
            job = self._jobs[ref[0]]
            task = job.tasks[ref[1]]
            resources = task.step.resources
            if resources.cpu > choices.get_max_free_cpu(job.request.queue.service):
                continue
            target = choices.choose(job, task, reserved=reserved)
            if target is None or target.name == task.worker:
                continue
            if not self._is_beneficial(job, task, target, now):
                continue
            reserved[target.name] = reserved.get(target.name, Resources()) + resources
            self._moves[ref] = _Move(run=task.run, worker=target.name, resources=resources)
            actions += self._move(job, task, now)
        return actions

    def _move(self, job: Job, task: Task, now: float) -> list[Action]:
        """Stop a run. Its task is queued once the agent has confirmed the end."""
        at_risk = self._at_risk.pop((job.request.id, task.key))
        leaves_at = self._workers[task.worker].leaves_at
        task.phase = TaskPhase.STOPPING
        task.leave_moves += 1
        moved = RunMoved(
            worker=task.worker,
            job_id=job.request.id,
            task=task.key,
            run=task.run,
            cause=LEAVING,
            age_s=now - task.placed_at,
            cpu=task.step.resources.cpu,
            left_s=at_risk.ends_at - now,
            leaves_in_s=0.0 if leaves_at is None else max(leaves_at - now, 0.0),
        )
        stop = StopTask(worker=task.worker, job_id=job.request.id, task=task.key, run=task.run)
        return [moved, stop]

    def _is_beneficial(self, job: Job, task: Task, target: WorkerView, now: float) -> bool:
        """Return whether moving a run now is better for the caller than leaving it where it is.

        A run that is not moved ends there if its worker stays long enough, and otherwise restarts
        elsewhere after the worker has left. A run that is late or useless in all cases is not
        moved, since that would only discard its progress.
        """
        view = self._workers[task.worker]
        run_end = self._at_risk[job.request.id, task.key].ends_at
        if view.leaves_at is None or run_end <= view.leaves_at:
            return False
        slowness = view.get_slowness(now) * task.run_factor
        usual_s = (run_end - task.placed_at) / slowness
        run_factor = self._placement.get_run_factor(task.step, target)
        new_s = usual_s * target.get_slowness(now) * run_factor
        moved_end = now + MOVE_OVERHEAD_S + new_s
        lost_end = max(view.leaves_at, now) + LOSS_OVERHEAD_S + new_s
        if lost_end - moved_end < MIN_GAIN_SHARE * new_s:
            return False
        values = [
            self._get_end_value(job, task, end, usual_s=usual_s)
            for end in (moved_end, lost_end, run_end)
        ]
        unmoved_value = STAY_PROBABILITY * values[2] + (1.0 - STAY_PROBABILITY) * values[1]
        if values[0] != unmoved_value:
            return values[0] > unmoved_value
        unmoved_end = STAY_PROBABILITY * run_end + (1.0 - STAY_PROBABILITY) * lost_end
        return values[0] is _EndValue.ON_TIME and moved_end < unmoved_end

    def _get_end_value(self, job: Job, task: Task, end: float, *, usual_s: float) -> _EndValue:
        """Return the value of a task's end time, after adding the steps that depend on the task."""

        def get_run_s(number: int, step: StepRequest) -> float:
            if number == task.key.step:
                return usual_s
            return self._run_times.expect(queue=job.request.queue.name, declared_s=step.estimate_s)

        chain_s = job.request.get_longest_chain(get_run_s)
        objective_s = max(job.objective_s, job.request.queue.get_objective_s(chain_s))
        dependents = _get_dependent_steps(job.request.steps, task.key.step)
        dependents_s = job.request.get_longest_chain(
            lambda number, step: get_run_s(number, step) if number in dependents else 0.0
        )
        total_s = end + dependents_s - job.arrived_at
        if total_s <= objective_s:
            return _EndValue.ON_TIME
        return _EndValue.LATE if total_s <= LATE_FACTOR * objective_s else _EndValue.USELESS

    def _get_reserved_capacity(self) -> dict[str, Resources]:
        """Return the capacity, by worker, that moves in progress are going to use."""
        reserved: dict[str, Resources] = {}
        for move in self._moves.values():
            reserved[move.worker] = reserved.get(move.worker, Resources()) + move.resources
        return reserved

    def _forget_ended(self) -> None:
        """Discard runs that have ended, were stopped, or whose agents are unreachable."""
        for ref, at_risk in list(self._at_risk.items()):
            if not self._may_move(ref, at_risk):
                del self._at_risk[ref]
        for ref, move in list(self._moves.items()):
            task = self._find(ref)
            if task is None or task.run != move.run or task.phase is not TaskPhase.STOPPING:
                del self._moves[ref]

    def _may_move(self, ref: tuple[str, TaskKey], at_risk: _RunAtRisk) -> bool:
        """Return whether a run is active and may be moved.

        The tasks of a job that is suspected of crashes must start one at a time, so none is moved.
        """
        task = self._find(ref)
        if task is None or task.run != at_risk.run or task.phase is not TaskPhase.PLACED:
            return False
        return task.leave_moves < MAX_DEPARTURE_MOVES and not self._jobs[ref[0]].is_cautious

    def _find(self, ref: tuple[str, TaskKey]) -> Task | None:
        job = self._jobs.get(ref[0])
        return None if job is None else job.tasks.get(ref[1])

    def _get_key(self, ref: tuple[str, TaskKey], now: float) -> tuple[float, ...]:
        return self._order.get_key(self._jobs[ref[0]], now=now)


def _get_dependent_steps(steps: tuple[StepRequest, ...], first: int) -> set[int]:
    """Return the steps that depend on a step, directly or indirectly."""
    dependents = {first}
    for number, step in enumerate(steps):
        if dependents.intersection(step.after):
            dependents.add(number)
    return dependents - {first}
