"""The choice of a worker for a task, among those that have room."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from statistics import median_low
from types import MappingProxyType

from dalemast.core.scheduling.base import BasePlacement
from dalemast.core.scheduling.exclusions import WorkerExclusions
from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.speed_bounds import get_max_slowness, get_slowness_bound
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Resources

__all__ = ["ChoiceRound", "WorkerChoice"]

TOO_SLOW = 1.6
"""How many times slower than the middle one a worker may be before it gets no tasks: most would be
late there, since objectives are 1.6 times the usual run time and a little more."""


NOTHING_KEPT: Mapping[str, Resources] = MappingProxyType({})


class WorkerChoice:
    """The workers in reach, by id; the scheduler adds to them and takes away.

    ``by_slack`` bounds how slow a worker may be for each job by its slack, in place of for all.
    """

    def __init__(
        self,
        *,
        placement: BasePlacement,
        workers: Mapping[str, WorkerView],
        by_slack: bool = False,
    ) -> None:
        self._placement = placement
        self._workers = workers
        self._by_slack = by_slack

    def begin(self, *, now: float) -> ChoiceRound:
        """Return the workers as they stand now, for the choices that one event brings."""
        return ChoiceRound(
            placement=self._placement, workers=self._workers, now=now, by_slack=self._by_slack
        )

    def get_most_free(self) -> dict[str, int]:
        """Return the most processors that are free on one worker, slow ones too, by service."""
        most: dict[str, int] = {}
        for view in self._workers.values():
            if view.is_accepting:
                most[view.service] = max(most.get(view.service, -1), view.free.cpu)
        return most


class ChoiceRound:
    """Leaves out workers that don't suit a task and lets the placement pick one of the rest.

    What no choice of the round changes, which workers accept and which are too slow, is looked at
    once for all of them: under overload most tasks that wait find nothing, again and again.
    """

    def __init__(
        self,
        *,
        placement: BasePlacement,
        workers: Mapping[str, WorkerView],
        now: float,
        by_slack: bool = False,
    ) -> None:
        self._placement = placement
        self._workers = workers
        self._now = now
        self._by_slack = by_slack
        self._accepting: dict[str, list[WorkerView]] = {}
        self._quick: dict[str, list[WorkerView]] = {}
        self._most_free: dict[str, int] = {}
        self._roomy: dict[tuple[str, int], list[WorkerView]] = {}
        """By service and processors, the workers that have so many free."""
        self._paces: dict[str, float] = {}
        """By worker that accepts, its slowness."""
        self._quickest: dict[str, float] = {}
        """By service, the least of them."""

    def get_most_free(self, service: str) -> int:
        """Return the most processors that are free on one worker that a choice may pick, or -1."""
        most = self._most_free.get(service)
        if most is None:
            most = max((view.free.cpu for view in self._get_suiting(service)), default=-1)
            self._most_free[service] = most
        return most

    def get_accepting(self, service: str) -> list[WorkerView]:
        """Return the workers of a service that a choice may pick once they have room."""
        return self._get_quick(service)

    def find_preemptible(self, job: Job, *, begins_at: float) -> list[WorkerView]:
        """Return the workers that suit a waiting task of a job once they have room for it.

        What begins there at ``begins_at`` must be on time, as far as the worker's speed is known.
        """
        steps = {task.key.step: task for task in job.waiting if not job.holds_back(task)}
        views = self._get_quick(job.request.queue.service)
        bound = get_max_slowness(job, now=begins_at) if self._by_slack else float("inf")
        return [
            view
            for view in views
            if any(self._is_worth_clearing(job, task, view, bound) for task in steps.values())
        ]

    def note_start(self, service: str) -> None:
        """Note that room was taken on one of a service's workers."""
        self._most_free.pop(service, None)

    def choose(
        self, job: Job, task: Task, *, kept: Mapping[str, Resources] = NOTHING_KEPT
    ) -> WorkerView | None:
        """Return the worker to start a task on, or None if it should wait.

        ``kept`` is room, by worker, that this task must leave free.
        """
        return self.pick(job, task, self.find_eligible(job, task, kept=kept))

    def pick(self, job: Job, task: Task, workers: list[WorkerView]) -> WorkerView | None:
        """Return the best of the workers that suit a task, or None if there are none."""
        return self._placement.choose(job=job, step=task.step, workers=workers, now=self._now)

    def find_eligible(
        self, job: Job, task: Task, *, kept: Mapping[str, Resources] = NOTHING_KEPT
    ) -> list[WorkerView]:
        """Return the workers on which a task may be started now."""
        roomy = self._get_roomy(job.request.queue.service, task.step.resources.cpu)
        workers = [view for view in roomy if _has_room(job, task, view, kept.get(view.name))]
        if self._by_slack and workers:
            workers = self._leave_out_slow(job, task, workers)
        if task.avoided and self._has_alternative(job, task):
            # A task has few attempts: it waits for another worker to have room rather than fail
            # on the same one again, or on one that fails others'.
            workers = [view for view in workers if not _is_avoided(task, view)]
        return workers

    def choose_last_resort(self, job: Job, task: Task) -> WorkerView | None:
        """Return a worker for a task of a job that is refused otherwise, or None.

        However slow a worker is, and whatever it has declined, it will do while the job can still
        be of use there.
        """
        service = job.request.queue.service
        self._get_quick(service)
        workers = [
            view
            for view in self._accepting[service]
            if _has_room(job, task, view)
            and job.is_of_use(slowness=self._get_run_factor(task, view), now=self._now)
        ]
        others = [view for view in workers if not _is_avoided(task, view)]
        return self._placement.choose(
            job=job, step=task.step, workers=others or workers, now=self._now
        )

    def count_exclusions(self, job: Job, task: Task) -> WorkerExclusions:
        """Return how many workers of the service each rule leaves out for a task that waits."""
        service = job.request.queue.service
        suiting = self._get_suiting(service)
        if self._by_slack and suiting:
            suiting = self._leave_out_slow(job, task, suiting)
        quick = {view.name for view in suiting}
        is_choosy = bool(task.avoided) and self._has_alternative(job, task)
        counts: Counter[str] = Counter()
        for view in self._workers.values():
            if view.service == service:
                rule = _get_rule(job, task, view, is_choosy=is_choosy)
                counts[rule or ("suiting" if view.name in quick else "too_slow")] += 1
        return WorkerExclusions(**counts)

    def _has_alternative(self, job: Job, task: Task) -> bool:
        """Tell whether a worker could take a task, with room or without, that did not fail it."""
        return any(
            not _is_avoided(task, view)
            and _has_label(task, view)
            and task.step.resources.fits(view.capacity)
            for view in self._accepting[job.request.queue.service]
        )

    def _is_worth_clearing(self, job: Job, task: Task, view: WorkerView, bound: float) -> bool:
        step = task.step
        if not step.resources.fits(view.capacity) or not _has_label(task, view):
            return False
        if _is_at_limit(job, task, view) or self._get_run_factor(task, view) > bound:
            return False
        return not _is_avoided(task, view) or not self._has_alternative(job, task)

    def _get_run_factor(self, task: Task, view: WorkerView) -> float:
        """Return how many times as long a task takes there as on a usual worker by its data."""
        return view.get_slowness(self._now) * self._placement.get_run_factor(task.step, view)

    def _get_suiting(self, service: str) -> list[WorkerView]:
        """Return the workers that suit some job."""
        quick = self._get_quick(service)
        return self._accepting[service] if self._by_slack else quick

    def _get_roomy(self, service: str, cpu: int) -> list[WorkerView]:
        """Return the workers that suit some job and had so much room at the round's first look.

        Starts of the round only take room away.
        """
        key = (service, cpu)
        if key not in self._roomy:
            self._roomy[key] = [view for view in self._get_suiting(service) if view.free.cpu >= cpu]
        return self._roomy[key]

    def _leave_out_slow(self, job: Job, task: Task, workers: list[WorkerView]) -> list[WorkerView]:
        """Leave out workers on which a task would be late, or of no use, by its job's slack."""
        service = job.request.queue.service
        bound = get_slowness_bound(job, quickest=self._quickest[service], now=self._now)
        return [
            view
            for view in workers
            if self._paces[view.name] * self._placement.get_run_factor(task.step, view) <= bound
        ]

    def _get_quick(self, service: str) -> list[WorkerView]:
        """Leave out workers on which tasks would be late, compared with the middle of the service.

        Compared, since declared times that are off for all alike make all workers look slow. Not
        with the best: what an owner has learned of one worker is off by a third, so that the best
        of many looks far better than it is. By simulation without faults up to 18 % of the workers
        were left out so, as if they were slow.
        """
        quick = self._quick.get(service)
        if quick is not None:
            return quick
        accepting: list[WorkerView] = []
        paces: list[float] = []
        pool: list[float] = []
        for view in self._workers.values():
            if view.service != service:
                continue
            slowness = view.get_slowness(self._now)
            pool.append(slowness)
            if view.is_accepting:
                accepting.append(view)
                paces.append(slowness)
                self._paces[view.name] = slowness
        slowest = TOO_SLOW * median_low(pool) if pool else 0.0
        quick = [view for view, pace in zip(accepting, paces, strict=True) if pace < slowest]
        self._accepting[service] = accepting
        self._quickest[service] = min(paces, default=0.0)
        self._quick[service] = quick
        return quick


def _is_avoided(task: Task, view: WorkerView) -> bool:
    """Tell whether a task had better go elsewhere."""
    return view.name in task.avoided or (task.failures > 0 and view.is_suspect)


def _has_label(task: Task, view: WorkerView) -> bool:
    """Tell whether a worker has the label that a task requires."""
    return not task.step.label or task.step.label in view.labels


def _get_rule(job: Job, task: Task, view: WorkerView, *, is_choosy: bool) -> str:
    """Return the field of :class:`WorkerExclusions` for what leaves a worker out, its speed apart.

    Return "" if nothing does.
    """
    if not task.step.resources.fits(view.free):
        return "no_room"
    if not view.is_accepting:
        return "evacuated" if view.is_evacuated else "not_accepting"
    if not _has_label(task, view):
        return "label"
    if not _has_room(job, task, view):
        return "per_worker_limit"
    return "avoided" if is_choosy and _is_avoided(task, view) else ""


def _has_room(job: Job, task: Task, view: WorkerView, kept: Resources | None = None) -> bool:
    """Tell whether a worker has room for a task now, beside what is kept."""
    free = view.free if kept is None else view.free - kept
    if not task.step.resources.fits(free) or not _has_label(task, view):
        return False
    return not _is_at_limit(job, task, view)


def _is_at_limit(job: Job, task: Task, view: WorkerView) -> bool:
    """Tell whether as many tasks of a step are on a worker as may be."""
    limit = task.step.max_per_worker
    return bool(limit) and job.count_on(view.name, task.key.step) >= limit
