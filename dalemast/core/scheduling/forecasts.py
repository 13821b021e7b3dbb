"""Forecast of the earliest start of a job that finds no free capacity on arrival.

Under overload, a job that would wait and still be refused can be refused at once. The forecast
includes the expected capacity releases, from agents' reports and this owner's own runs, and the
waiting work that is at least as urgent, here and at other entries. It is the earliest start rather
than the likely one, so that an error keeps a job instead of refusing it.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.capacity import (
    CapacityStep,
    CapacityTimeline,
    OwnRun,
    WorkerAvailability,
    bound_run_s,
    get_worker_availability,
)
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import (
    LATE_FACTOR,
    Job,
    TaskPhase,
)
from dalemast.core.scheduling.preemption import MAX_PREEMPTING_PRIORITY
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Queue

__all__ = ["DemandElsewhere", "Forecast", "Forecasts"]

MARGIN = 0.5
"""Share of the forecast time by which a job may start earlier, as run times are inaccurate. Guards
against needless refusals, which cost a caller more than a short wait."""

MIN_KNOWN_SHARE = 0.25
"""Minimum share of the capacity in use whose release time must be known for a forecast."""
REUSE_SHARE = 0.1
"""Share of a job's objective for which a timeline is reused; must be less than the margin."""
MAX_REUSE_S = 1.5
"""Maximum time for which a timeline is reused, in seconds. By then each agent has sent a new
report."""
MAX_TIMELINES = 256
"""Maximum number of cached timelines, one for each queue and label."""


class DemandElsewhere(Protocol):
    """The queued work of other entries."""

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        """Return the core-seconds queued at other entries that are at least as urgent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """The earliest start of a job.

    ``begin_s`` is in seconds from now and may be infinite. ``here_core_s`` and ``elsewhere_core_s``
    are the work ahead of it at this and at other entries, in core-seconds. ``cores`` is the
    capacity that will be released on the eligible workers.
    """

    begin_s: float
    here_core_s: float
    elsewhere_core_s: float
    cores: float

    def is_later_than(self, limit_s: float) -> bool:
        """Return whether the job starts later than ``limit_s`` from now, with the margin."""
        return (1.0 - MARGIN) * self.begin_s > limit_s


@dataclass(frozen=True, kw_only=True, slots=True)
class _WorkAhead:
    """The work ahead at this entry: its cores, core-seconds and mean run time, weighted by work."""

    cores: float
    core_s: float
    run_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _CachedTimeline:
    """The capacity timeline for a queue's jobs at a time, or None without eligible workers."""

    at: float
    timeline: CapacityTimeline | None


class Forecasts:
    """Makes forecasts. ``jobs`` and ``workers`` are live mappings of the scheduler, by id.

    With ``preempts`` all capacity counts as free for a job that may preempt others.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        workers: Mapping[str, WorkerView],
        order: BaseOrder,
        run_times: RunTimes,
        elsewhere: DemandElsewhere,
        preempts: bool = False,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._order = order
        self._run_times = run_times
        self._elsewhere = elsewhere
        self._preempts = preempts
        self._timelines: dict[tuple[str, str, str], _CachedTimeline] = {}
        """The last timeline by service, queue and label."""
        self._least_urgent: dict[str, int] = {}
        """The least urgent priority that has arrived here, by service."""

    def note(self, job: Job) -> None:
        """Record a job that has arrived."""
        queue = job.request.queue
        known = self._least_urgent.get(queue.service, queue.priority)
        self._least_urgent[queue.service] = max(known, queue.priority)

    def forecast(self, job: Job, *, now: float, excluded: Collection[str] = ()) -> Forecast | None:
        """Return the earliest start of a waiting job, or None if too little is known.

        Jobs whose ids are in ``excluded`` don't count as work ahead.
        """
        if not job.waiting:
            return None
        timeline, age_s = self._get_timeline(job, now)
        if timeline is None or timeline.known_share < MIN_KNOWN_SHARE:
            return None
        min_cpu = min(task.step.resources.cpu for task in job.waiting)
        ahead = self._summarize_ahead(job, excluded, now)
        elsewhere_core_s = self._get_elsewhere(job, now)
        # Other entries report core-seconds only. Dividing by the weighted mean run time gives a
        # lower bound on the number of cores.
        cores = ahead.cores + elsewhere_core_s / ahead.run_s
        begin_s = timeline.get_single_worker_start_s(min_cpu)
        if cores:
            shared_s = timeline.get_pooled_start_s(cores + min_cpu / 1000, run_s=ahead.run_s)
            begin_s = max(begin_s, shared_s)
        begin_s -= age_s
        return Forecast(
            begin_s=max(begin_s, 0.0),
            here_core_s=ahead.core_s,
            elsewhere_core_s=elsewhere_core_s,
            cores=timeline.cores,
        )

    def _get_timeline(self, job: Job, now: float) -> tuple[CapacityTimeline | None, float]:
        """Return the timeline for a job, None without eligible workers, and its age in seconds.

        A timeline is reused for the jobs of a queue, since under overload forecasts are requested
        more often than the capacity changes.
        """
        queue = job.request.queue
        label = min(task.step.label for task in job.waiting)
        key = (queue.service, queue.name, label)
        cached = self._timelines.get(key)
        reuse_s = min(REUSE_SHARE * job.objective_s, MAX_REUSE_S)
        if cached is not None and 0.0 <= now - cached.at <= reuse_s:
            return cached.timeline, now - cached.at
        views = [
            view for view in self._workers.values() if self._is_eligible(job, label, view, now)
        ]
        timeline = CapacityTimeline(self._list_availability(job, views, now)) if views else None
        if len(self._timelines) >= MAX_TIMELINES:
            self._timelines.clear()
        self._timelines[key] = _CachedTimeline(at=now, timeline=timeline)
        return timeline, 0.0

    def _is_eligible(self, job: Job, label: str, view: WorkerView, now: float) -> bool:
        """Return whether a worker could run a job if it had free capacity."""
        if view.service != job.request.queue.service or not view.is_accepting:
            return False
        if label and label not in view.labels:
            return False
        return job.is_of_use(slowness=view.get_slowness(now), now=now)

    def _list_availability(
        self, job: Job, views: list[WorkerView], now: float
    ) -> list[WorkerAvailability]:
        queue = job.request.queue
        if self._preempts and self._has_less_urgent(queue):
            return [_get_whole_capacity(view) for view in views]
        runs = self._list_own_runs(now)
        max_age_s = LATE_FACTOR * job.objective_s
        return [
            get_worker_availability(view, runs.get(view.name, ()), max_age_s=max_age_s, now=now)
            for view in views
        ]

    def _has_less_urgent(self, queue: Queue) -> bool:
        """Return whether a queue may preempt others and less urgent jobs have arrived."""
        least_urgent = self._least_urgent.get(queue.service, queue.priority)
        return queue.priority <= MAX_PREEMPTING_PRIORITY and queue.priority < least_urgent

    def _list_own_runs(self, now: float) -> dict[str, list[OwnRun]]:
        """Return this owner's runs, by worker."""
        runs: dict[str, list[OwnRun]] = {}
        for job in self._jobs.values():
            if not job.has_begun:
                continue
            for task in job.tasks.values():
                view = self._workers.get(task.worker)
                if task.phase is not TaskPhase.PLACED or view is None:
                    continue
                run_s = task.expected_s * task.run_factor * view.get_slowness(now)
                left_s = max(task.placed_at + run_s - now, 0.0)
                run = OwnRun(task.step.resources.cpu, task.placed_at, left_s)
                runs.setdefault(task.worker, []).append(run)
        return runs

    def _summarize_ahead(self, job: Job, excluded: Collection[str], now: float) -> _WorkAhead:
        """Return the waiting work ahead of a job at this entry."""
        key = self._order.get_key(job, now=now)
        service = job.request.queue.service
        cores = core_s = 0.0
        # The job's own work counts only in the mean, which is defined even if nothing is ahead.
        own_core_s, weighted = self._get_waiting_work(job)[1:]
        for other in self._jobs.values():
            if other is job or not other.waiting or other.request.queue.service != service:
                continue
            if other.request.id in excluded or self._order.get_key(other, now=now) > key:
                continue
            other_cores, other_core_s, other_weighted = self._get_waiting_work(other)
            cores += other_cores
            core_s += other_core_s
            weighted += other_weighted
        total = core_s + own_core_s
        return _WorkAhead(
            cores=cores, core_s=core_s, run_s=bound_run_s(weighted / total if total else 0.0)
        )

    def _get_waiting_work(self, job: Job) -> tuple[float, float, float]:
        """Return the cores and core-seconds of a job's waiting tasks.

        The third value is the sum of their core-seconds, each multiplied by its run time.
        """
        name = job.request.queue.name
        cores = core_s = weighted = 0.0
        for task in job.waiting:
            run_s = self._run_times.expect(queue=name, declared_s=task.step.estimate_s)
            task_cores = task.step.resources.cpu / 1000
            cores += task_cores
            core_s += task_cores * run_s
            weighted += task_cores * run_s * run_s
        return cores, core_s, weighted

    def _get_elsewhere(self, job: Job, now: float) -> float:
        """Return the core-seconds ahead at other entries; NaN or infinity counts as 0."""
        queue = job.request.queue
        core_s = self._elsewhere.get_core_s_ahead(queue.service, queue.priority, now)
        return max(core_s, 0.0) if math.isfinite(core_s) else 0.0


def _get_whole_capacity(view: WorkerView) -> WorkerAvailability:
    """Return the whole capacity of a worker as released at once, for a job that may preempt."""
    cpu = view.capacity.cpu
    return WorkerAvailability(0, [CapacityStep(0.0, 0.0, cpu)] if cpu > 0 else [])
