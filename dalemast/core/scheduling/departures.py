"""Moving runs off a worker that leaves before they end.

Load pattern: capacity is taken away at short notice, at times twice within seconds. A run that its
worker can't end is lost with it, and begins anew only then, while there may be room elsewhere now.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

from dalemast.core.scheduling.actions import Action, RunMoved, StopTask
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.choices import WorkerChoice
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import LATE_FACTOR, Job, Task, TaskPhase
from dalemast.core.scheduling.load import DepartureRisk
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Resources, StepRequest, TaskKey

__all__ = ["DepartureMoves", "is_plausible"]

LONGEST_TOLD_S = 86_400.0
"""Times beyond a day are no word on a run or on a leaving worker."""
MOST_MOVES = 1
"""How often a task may be moved since its worker leaves: each move throws its work away."""
STOP_COST_S = 0.06
"""What a move costs beside the new run: a stop of up to 50 ms and two messages."""
LOSS_COST_S = 0.06
"""What a loss costs beside the new run: two refused connections and the messages that follow."""
LEAST_GAIN = 0.1
"""Share of its run time by which a new run must end sooner than one after a loss: tasks of a step
differ by more than that, so less says nothing of which one is on time."""
STAY_CHANCE = 0.5
"""Chance that the worker stays until a run ends. It says the least time that it has left, and
nothing of how much longer it stays, so both count alike."""
LEAVING = "leaving"


class _Standing(enum.IntEnum):
    """What an end is worth to the caller; more is better."""

    USELESS = 0
    LATE = 1
    ON_TIME = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class _CutRun:
    """A run that its worker can't end, if the worker leaves as soon as it may."""

    run: int
    ends_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Move:
    """A run that is being stopped, and the worker that had room for the next one."""

    run: int
    worker: str
    resources: Resources


def is_plausible(told_s: float) -> bool:
    """Tell whether a time that another process told may be one, in seconds."""
    return math.isfinite(told_s) and 0.0 <= told_s <= LONGEST_TOLD_S


class DepartureMoves:
    """The runs of one owner that leaving workers can't end. Times are seconds.

    A task that is stopped waits for a worker like all others, in the order of service; so a run is
    moved only while room is left that nothing waiting could use.
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
        self._cut: dict[tuple[str, TaskKey], _CutRun] = {}
        self._moves: dict[tuple[str, TaskKey], _Move] = {}

    def note(self, job: Job, task: Task, report: DepartureRisk, *, now: float) -> None:
        """Take in that a run is cut short, or is expected to end in time after all."""
        view = self._workers.get(task.worker)
        if view is None or view.leaves_at is None:
            return
        if not is_plausible(report.left_s) or not is_plausible(report.leaves_in_s):
            return
        view.leaves_at = now + report.leaves_in_s
        ref = (job.request.id, task.key)
        if report.left_s <= report.leaves_in_s:
            self._cut.pop(ref, None)
        else:
            self._cut[ref] = _CutRun(run=task.run, ends_at=now + report.left_s)

    def forget_worker(self, name: str) -> None:
        """Note that a worker stays, or is out of reach."""
        for ref in list(self._cut):
            task = self._find(ref)
            if task is None or task.worker == name:
                del self._cut[ref]

    def review(self, *, now: float) -> list[Action]:
        """Return the moves that there is room for now, by the order of service."""
        self._forget_ended()
        if not self._cut:
            return []
        choices = self._choice.begin(now=now)
        kept = self._get_kept_room()
        actions: list[Action] = []
        for ref in sorted(self._cut, key=lambda ref: self._get_key(ref, now)):
            job = self._jobs[ref[0]]
            task = job.tasks[ref[1]]
            resources = task.step.resources
            if resources.cpu > choices.get_most_free(job.request.queue.service):
                continue
            elsewhere = choices.choose(job, task, kept=kept)
            if elsewhere is None or elsewhere.name == task.worker:
                continue
            if not self._is_worth_while(job, task, elsewhere, now):
                continue
            kept[elsewhere.name] = kept.get(elsewhere.name, Resources()) + resources
            self._moves[ref] = _Move(run=task.run, worker=elsewhere.name, resources=resources)
            actions += self._move(job, task, now)
        return actions

    def _move(self, job: Job, task: Task, now: float) -> list[Action]:
        """Stop a run. Its task waits for a worker once the end is confirmed."""
        cut = self._cut.pop((job.request.id, task.key))
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
            left_s=cut.ends_at - now,
            leaves_in_s=0.0 if leaves_at is None else max(leaves_at - now, 0.0),
        )
        stop = StopTask(worker=task.worker, job_id=job.request.id, task=task.key, run=task.run)
        return [moved, stop]

    def _is_worth_while(self, job: Job, task: Task, elsewhere: WorkerView, now: float) -> bool:
        """Tell whether a move now serves the caller better than the run does where it is.

        Kept, the run ends if its worker stays for long enough; else it begins anew at the leave. An
        end that is late or useless either way is no reason to throw work away.
        """
        view = self._workers[task.worker]
        stays_until = self._cut[job.request.id, task.key].ends_at
        if view.leaves_at is None or stays_until <= view.leaves_at:
            return False
        pace = view.get_slowness(now) * task.run_factor
        usual_s = (stays_until - task.placed_at) / pace
        run_factor = self._placement.get_run_factor(task.step, elsewhere)
        new_s = usual_s * elsewhere.get_slowness(now) * run_factor
        moved = now + STOP_COST_S + new_s
        lost = max(view.leaves_at, now) + LOSS_COST_S + new_s
        if lost - moved < LEAST_GAIN * new_s:
            return False
        stands = [
            self._judge_end(job, task, end, usual_s=usual_s) for end in (moved, lost, stays_until)
        ]
        kept_stand = STAY_CHANCE * stands[2] + (1.0 - STAY_CHANCE) * stands[1]
        if stands[0] != kept_stand:
            return stands[0] > kept_stand
        kept_end = STAY_CHANCE * stays_until + (1.0 - STAY_CHANCE) * lost
        return stands[0] is _Standing.ON_TIME and moved < kept_end

    def _judge_end(self, job: Job, task: Task, end: float, *, usual_s: float) -> _Standing:
        """Return what it is worth to the caller that a task ends then, by its run time so far."""

        def get_run_s(number: int, step: StepRequest) -> float:
            if number == task.key.step:
                return usual_s
            return self._run_times.expect(queue=job.request.queue.name, declared_s=step.estimate_s)

        chain_s = job.request.get_longest_chain(get_run_s)
        objective_s = max(job.objective_s, job.request.queue.get_objective_s(chain_s))
        later = _get_later_steps(job.request.steps, task.key.step)
        later_s = job.request.get_longest_chain(
            lambda number, step: get_run_s(number, step) if number in later else 0.0
        )
        took_s = end + later_s - job.arrived_at
        if took_s <= objective_s:
            return _Standing.ON_TIME
        return _Standing.LATE if took_s <= LATE_FACTOR * objective_s else _Standing.USELESS

    def _get_kept_room(self) -> dict[str, Resources]:
        """Return the room, by worker, that the moves under way were decided by."""
        kept: dict[str, Resources] = {}
        for move in self._moves.values():
            kept[move.worker] = kept.get(move.worker, Resources()) + move.resources
        return kept

    def _forget_ended(self) -> None:
        """Drop the runs that have ended, were stopped, or whose agents are out of reach."""
        for ref, cut in list(self._cut.items()):
            if not self._may_move(ref, cut):
                del self._cut[ref]
        for ref, move in list(self._moves.items()):
            task = self._find(ref)
            if task is None or task.run != move.run or task.phase is not TaskPhase.STOPPING:
                del self._moves[ref]

    def _may_move(self, ref: tuple[str, TaskKey], cut: _CutRun) -> bool:
        """Tell whether a run goes on that may be moved; suspects of crashes wait for each other."""
        task = self._find(ref)
        if task is None or task.run != cut.run or task.phase is not TaskPhase.PLACED:
            return False
        return task.leave_moves < MOST_MOVES and not self._jobs[ref[0]].is_cautious

    def _find(self, ref: tuple[str, TaskKey]) -> Task | None:
        job = self._jobs.get(ref[0])
        return None if job is None else job.tasks.get(ref[1])

    def _get_key(self, ref: tuple[str, TaskKey], now: float) -> tuple[float, ...]:
        return self._order.get_key(self._jobs[ref[0]], now=now)


def _get_later_steps(steps: tuple[StepRequest, ...], first: int) -> set[int]:
    """Return the steps that wait for a step, at once or through others."""
    later = {first}
    for number, step in enumerate(steps):
        if later.intersection(step.after):
            later.add(number)
    return later - {first}
