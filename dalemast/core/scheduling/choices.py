"""Selection of workers for tasks."""

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

MAX_RELATIVE_SLOWNESS = 1.6
"""Workers slower than the median of their service by this factor get no tasks, since most tasks
would miss their objectives there: these are 1.6 times the usual run time and a little more."""


NOTHING_RESERVED: Mapping[str, Resources] = MappingProxyType({})


class WorkerChoice:
    """Chooses among the reachable workers, in rounds. ``workers`` are the scheduler's, by id.

    With ``by_slack`` the slack of each job limits how slow its workers may be. Otherwise one limit
    applies to all jobs of a service.
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

    def start_round(self, *, now: float) -> ChoiceRound:
        """Return a round of choices for one event, based on the current state of the workers."""
        return ChoiceRound(
            placement=self._placement, workers=self._workers, now=now, by_slack=self._by_slack
        )

    def get_max_free_cpu(self) -> dict[str, int]:
        """Return the maximum CPU that is free on one worker, by service; slow workers count."""
        most: dict[str, int] = {}
        for view in self._workers.values():
            if view.is_accepting:
                most[view.service] = max(most.get(view.service, -1), view.free.cpu)
        return most


class ChoiceRound:
    """Filters the workers that are eligible for a task and lets the placement choose one of them.

    Which workers accept tasks and which are too slow does not change within a round, so it is
    computed once. Under overload most waiting tasks find no capacity, and must be cheap to check.
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
        self._fast_enough: dict[str, list[WorkerView]] = {}
        self._max_free_cpu: dict[str, int] = {}
        self._with_capacity: dict[tuple[str, int], list[WorkerView]] = {}
        """Workers that had enough free CPU, by service and CPU."""
        self._slowness: dict[str, float] = {}
        """Slowness of the workers that accept tasks, by id."""
        self._min_slowness: dict[str, float] = {}
        """Slowness of the fastest of them, by service."""

    def get_max_free_cpu(self, service: str) -> int:
        """Return the maximum CPU that is free on one candidate worker, or -1 without candidates."""
        most = self._max_free_cpu.get(service)
        if most is None:
            most = max((view.free.cpu for view in self._get_candidates(service)), default=-1)
            self._max_free_cpu[service] = most
        return most

    def get_accepting(self, service: str) -> list[WorkerView]:
        """Return the workers that accept tasks and are fast enough, whether full or not."""
        return self._get_fast_enough(service)

    def find_preemption_targets(self, job: Job, *, starts_at: float) -> list[WorkerView]:
        """Return the workers that would be eligible for a waiting task if runs were preempted.

        A task that starts there at ``starts_at`` must be expected to be on time.
        """
        steps = {task.key.step: task for task in job.waiting if not job.holds_back(task)}
        views = self._get_fast_enough(job.request.queue.service)
        bound = get_max_slowness(job, now=starts_at) if self._by_slack else float("inf")
        return [
            view
            for view in views
            if any(self._is_preemption_target(job, task, view, bound) for task in steps.values())
        ]

    def note_start(self, service: str) -> None:
        """Invalidate the cached free CPU of a service after a start."""
        self._max_free_cpu.pop(service, None)

    def choose(
        self, job: Job, task: Task, *, reserved: Mapping[str, Resources] = NOTHING_RESERVED
    ) -> WorkerView | None:
        """Return the worker to start a task on, or None if it should wait.

        ``reserved`` is the capacity, by worker, that this task must leave free.
        """
        return self.pick(job, task, self.find_eligible(job, task, reserved=reserved))

    def pick(self, job: Job, task: Task, workers: list[WorkerView]) -> WorkerView | None:
        """Return the best of the eligible workers, or None if there are none."""
        return self._placement.choose(job=job, step=task.step, workers=workers, now=self._now)

    def find_eligible(
        self, job: Job, task: Task, *, reserved: Mapping[str, Resources] = NOTHING_RESERVED
    ) -> list[WorkerView]:
        """Return the workers on which a task may be started now."""
        with_capacity = self._get_with_capacity(job.request.queue.service, task.step.resources.cpu)
        workers = [
            view
            for view in with_capacity
            if _has_capacity(job, task, view, reserved.get(view.name))
        ]
        if self._by_slack and workers:
            workers = self._exclude_slow(job, task, workers)
        if task.avoided and self._has_alternative(job, task):
            # Attempts are limited: wait for another worker rather than fail again on the same one,
            # or on one where other tasks fail.
            workers = [view for view in workers if not _is_avoided(task, view)]
        return workers

    def choose_last_resort(self, job: Job, task: Task) -> WorkerView | None:
        """Return a worker for a task of a job that would otherwise be refused, or None.

        Slow and avoided workers count too, if the job can still end there before its late limit.
        """
        service = job.request.queue.service
        self._get_fast_enough(service)
        workers = [
            view
            for view in self._accepting[service]
            if _has_capacity(job, task, view)
            and job.is_of_use(slowness=self._get_run_factor(task, view), now=self._now)
        ]
        others = [view for view in workers if not _is_avoided(task, view)]
        return self._placement.choose(
            job=job, step=task.step, workers=others or workers, now=self._now
        )

    def count_exclusions(self, job: Job, task: Task) -> WorkerExclusions:
        """Return how many workers of the service each rule excludes for a waiting task."""
        service = job.request.queue.service
        eligible = self._get_candidates(service)
        if self._by_slack and eligible:
            eligible = self._exclude_slow(job, task, eligible)
        fast_enough = {view.name for view in eligible}
        has_alternative = bool(task.avoided) and self._has_alternative(job, task)
        counts: Counter[str] = Counter()
        for view in self._workers.values():
            if view.service == service:
                rule = _get_exclusion(job, task, view, has_alternative=has_alternative)
                counts[rule or ("suiting" if view.name in fast_enough else "too_slow")] += 1
        return WorkerExclusions(**counts)

    def _has_alternative(self, job: Job, task: Task) -> bool:
        """Return whether a worker that is not avoided could run a task, ignoring its load."""
        return any(
            not _is_avoided(task, view)
            and _has_label(task, view)
            and task.step.resources.fits(view.capacity)
            for view in self._accepting[job.request.queue.service]
        )

    def _is_preemption_target(self, job: Job, task: Task, view: WorkerView, bound: float) -> bool:
        step = task.step
        if not step.resources.fits(view.capacity) or not _has_label(task, view):
            return False
        if _is_at_limit(job, task, view) or self._get_run_factor(task, view) > bound:
            return False
        return not _is_avoided(task, view) or not self._has_alternative(job, task)

    def _get_run_factor(self, task: Task, view: WorkerView) -> float:
        """Return the expected run time relative to a usual worker that is close to the data."""
        return view.get_slowness(self._now) * self._placement.get_run_factor(task.step, view)

    def _get_candidates(self, service: str) -> list[WorkerView]:
        """Return the workers that are eligible for some job if they have capacity."""
        fast_enough = self._get_fast_enough(service)
        return self._accepting[service] if self._by_slack else fast_enough

    def _get_with_capacity(self, service: str, cpu: int) -> list[WorkerView]:
        """Return the candidates that had this much free CPU when the round first checked.

        The list is a superset: starts within the round only reduce the free CPU.
        """
        key = (service, cpu)
        if key not in self._with_capacity:
            self._with_capacity[key] = [
                view for view in self._get_candidates(service) if view.free.cpu >= cpu
            ]
        return self._with_capacity[key]

    def _exclude_slow(self, job: Job, task: Task, workers: list[WorkerView]) -> list[WorkerView]:
        """Exclude workers that are too slow for the slack of the job."""
        service = job.request.queue.service
        bound = get_slowness_bound(job, quickest=self._min_slowness[service], now=self._now)
        return [
            view
            for view in workers
            if self._slowness[view.name] * self._placement.get_run_factor(task.step, view) <= bound
        ]

    def _get_fast_enough(self, service: str) -> list[WorkerView]:
        """Return the accepting workers whose slowness is close enough to the median.

        An absolute bound would exclude all workers when declared run times are too low. A bound
        relative to the fastest one would exclude sound workers: the estimates are noisy, and the
        lowest of many is far too low.
        """
        fast_enough = self._fast_enough.get(service)
        if fast_enough is not None:
            return fast_enough
        accepting: list[WorkerView] = []
        slowness_values: list[float] = []
        pool: list[float] = []
        for view in self._workers.values():
            if view.service != service:
                continue
            slowness = view.get_slowness(self._now)
            pool.append(slowness)
            if view.is_accepting:
                accepting.append(view)
                slowness_values.append(slowness)
                self._slowness[view.name] = slowness
        slowest = MAX_RELATIVE_SLOWNESS * median_low(pool) if pool else 0.0
        fast_enough = [
            view
            for view, slowness in zip(accepting, slowness_values, strict=True)
            if slowness < slowest
        ]
        self._accepting[service] = accepting
        self._min_slowness[service] = min(slowness_values, default=0.0)
        self._fast_enough[service] = fast_enough
        return fast_enough


def _is_avoided(task: Task, view: WorkerView) -> bool:
    """Return whether a task should run on another worker if there is one."""
    return view.name in task.avoided or (task.failures > 0 and view.is_suspect)


def _has_label(task: Task, view: WorkerView) -> bool:
    """Return whether a worker has the label that a task requires."""
    return not task.step.label or task.step.label in view.labels


def _get_exclusion(job: Job, task: Task, view: WorkerView, *, has_alternative: bool) -> str:
    """Return the rule that excludes a worker, as a field name of the counts, or "".

    Whether the worker is too slow is not checked here.
    """
    if not task.step.resources.fits(view.free):
        return "no_room"
    if not view.is_accepting:
        return "evacuated" if view.is_evacuated else "not_accepting"
    if not _has_label(task, view):
        return "label"
    if not _has_capacity(job, task, view):
        return "per_worker_limit"
    return "avoided" if has_alternative and _is_avoided(task, view) else ""


def _has_capacity(
    job: Job, task: Task, view: WorkerView, reserved: Resources | None = None
) -> bool:
    """Return whether a worker has capacity for a task now, apart from what is reserved."""
    free = view.free if reserved is None else view.free - reserved
    if not task.step.resources.fits(free) or not _has_label(task, view):
        return False
    return not _is_at_limit(job, task, view)


def _is_at_limit(job: Job, task: Task, view: WorkerView) -> bool:
    """Return whether a worker runs the maximum number of tasks of a step."""
    limit = task.step.max_per_worker
    return bool(limit) and job.count_on(view.name, task.key.step) >= limit
