"""When a waiting job is refused, and what the refusal reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import (
    dataclass,
    field,
    replace,
)

from dalemast.core.scheduling.actions import JobRefused, RefusalCause
from dalemast.core.scheduling.choices import ChoiceRound, WorkerChoice
from dalemast.core.scheduling.exclusions import WorkerExclusions
from dalemast.core.scheduling.forecasts import Forecast, Forecasts
from dalemast.core.scheduling.jobs import ON_WORKER, Job
from dalemast.core.scheduling.retry_times import RETRY_AFTER_S, RetryTimes
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Resources

__all__ = ["Refusals"]

MIN_WAIT_SHARE = 0.25
"""Minimum wait before a job is refused, as a share of its objective."""
MAX_DISCOVERY_S = 2.0
"""Maximum time after its start for which an owner expects further workers, in seconds. Workers
report every 1.5 s, and their agents start within about half a second of the owner."""
DISCOVERY_GAP_S = 0.2
"""Time after the last new worker for which more are expected, in seconds. Until then, jobs that can
only be late are kept. Kept for longer, they would take capacity from jobs that callers resubmit:
with 2 s they did so after a power loss."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Load:
    """The load that all refusals of one moment report.

    ``most_free`` is the most CPU that is free on one worker and ``held_cpu`` the CPU that runs of
    this owner use, both by service. ``exclusions`` caches the result for tasks with the same needs.
    """

    most_free: dict[str, int]
    held_cpu: Counter[str]
    waiting_jobs: int
    retry_after_s: float
    choices: ChoiceRound
    exclusions: dict[tuple[str, Resources, str], WorkerExclusions] = field(default_factory=dict)

    def count_exclusions(self, job: Job) -> WorkerExclusions:
        """Return how many workers each rule excluded for a job's first waiting task."""
        first = next((task for task in job.waiting if not job.holds_back(task)), None)
        if first is None:
            return WorkerExclusions()
        if first.avoided:
            return self.choices.count_exclusions(job, first)
        kind = (job.request.queue.service, first.step.resources, first.step.label)
        if kind not in self.exclusions:
            self.exclusions[kind] = self.choices.count_exclusions(job, first)
        return self.exclusions[kind]


class Refusals:
    """Refuses jobs that have not started and can no longer be answered in time.

    ``jobs`` and ``workers`` are live mappings of the scheduler, by id. With ``forecasts`` a job
    that is forecast to start too late is refused on arrival, and each caller gets a retry time of
    its own.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        workers: Mapping[str, WorkerView],
        choice: WorkerChoice,
        started_at: float,
        forecasts: Forecasts | None = None,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._choice = choice
        self._discovery_until = started_at + MAX_DISCOVERY_S
        self._last_worker_at: float | None = None
        self._forecasts = forecasts
        self._retry_times = RetryTimes()

    def note_new_worker(self, *, now: float) -> None:
        """Record that a worker has become reachable."""
        self._last_worker_at = now

    def is_forecast_late(self, job: Job, *, now: float) -> bool:
        """Return whether a job that has just arrived is forecast to start after its refusal is due.

        An owner that has just started does not know enough workers for a forecast.
        """
        if self._forecasts is None or job.has_begun or now < self._discovery_until:
            return False
        forecast = self._forecasts.forecast(job, now=now)
        return forecast is not None and forecast.is_later_than(_get_due_time(job) - now)

    def find_due(self, *, now: float) -> list[Job]:
        """Return the jobs whose refusal is due."""
        return [job for job in self._jobs.values() if self._is_overdue(job, now)]

    def refuse(self, jobs: Collection[Job], *, now: float) -> list[JobRefused]:
        """Return the refusals of these jobs. The scheduler must drop the jobs."""
        if not jobs:
            return []
        # All refusals report the same load, which includes the refused jobs.
        load = _Load(
            most_free=self._choice.get_max_free_cpu(),
            held_cpu=self._count_held_cpu(),
            waiting_jobs=sum(not job.has_begun for job in self._jobs.values()),
            retry_after_s=self._get_retry_after_s(),
            choices=self._choice.start_round(now=now),
        )
        if self._forecasts is None:
            return [self._make_refusal(job, load, now) for job in jobs]
        return self._refuse_with_forecasts(jobs, self._forecasts, load, now)

    def _refuse_with_forecasts(
        self, jobs: Collection[Job], forecasts: Forecasts, load: _Load, now: float
    ) -> list[JobRefused]:
        """Return refusals with a retry time for each caller, the most urgent first."""
        refused_ids = {job.request.id for job in jobs}
        known: dict[tuple[str, int], Forecast | None] = {}
        refusals = []
        for job in sorted(jobs, key=lambda job: job.request.queue.priority):
            kind = (job.request.queue.service, job.request.queue.priority)
            if kind not in known:
                known[kind] = forecasts.forecast(job, excluded=refused_ids, now=now)
            refusal = self._make_refusal(job, load, now)
            retry_after_s = self._plan_retry(job, known[kind], load, now)
            refusals.append(replace(refusal, retry_after_s=retry_after_s, forecast=known[kind]))
        return refusals

    def _plan_retry(self, job: Job, forecast: Forecast | None, load: _Load, now: float) -> float:
        """Return after how many seconds a caller should retry.

        Refused jobs are assumed to get the capacity that this owner's runs use now, and at least as
        much as the job needs to run its tasks in parallel.
        """
        core_s = job.request.core_seconds
        width = core_s / job.chain_s if job.chain_s else 0.0
        held_cpu = load.held_cpu[job.request.queue.service]
        return self._retry_times.plan(
            job,
            begin_s=load.retry_after_s if forecast is None else forecast.begin_s,
            core_s=core_s,
            cores=max(held_cpu / 1000, width),
            now=now,
        )

    def _is_overdue(self, job: Job, now: float) -> bool:
        """Return whether the refusal of a job is due."""
        if job.has_begun or now - job.arrived_at <= MIN_WAIT_SHARE * job.objective_s:
            return False
        return now > (
            job.latest_late_start if self._is_discovering_workers(now) else job.latest_start
        )

    def _is_discovering_workers(self, now: float) -> bool:
        """Return whether this owner has just started and expects further workers."""
        if now >= self._discovery_until:
            return False
        return self._last_worker_at is None or now < self._last_worker_at + DISCOVERY_GAP_S

    def _make_refusal(self, job: Job, load: _Load, now: float) -> JobRefused:
        service = job.request.queue.service
        views = [view for view in self._workers.values() if view.service == service]
        return JobRefused(
            job=job.request,
            cause=RefusalCause.OVERLOAD if service in load.most_free else RefusalCause.NO_WORKERS,
            retry_after_s=load.retry_after_s,
            waited_s=now - job.arrived_at,
            waiting_jobs=load.waiting_jobs,
            workers=len(views),
            needed_cpu=max((task.step.resources.cpu for task in job.waiting), default=0),
            free_cpu=load.most_free.get(service, -1),
            view_age_s=max((view.get_age_s(now) for view in views), default=0.0),
            left_out=load.count_exclusions(job),
        )

    def _count_held_cpu(self) -> Counter[str]:
        """Return the CPU that this owner's runs use, in thousandths of a core, by service."""
        held: Counter[str] = Counter()
        if self._forecasts is None:
            return held
        for job in self._jobs.values():
            for task in job.tasks.values() if job.has_begun else ():
                if task.phase in ON_WORKER:
                    held[job.request.queue.service] += task.step.resources.cpu
        return held

    def _get_retry_after_s(self) -> float:
        """Return the time in which the reachable workers could finish the waiting work."""
        cores = sum(view.capacity.cpu for view in self._workers.values()) / 1000
        work = sum(job.request.core_seconds for job in self._jobs.values() if job.waiting)
        lowest, highest = RETRY_AFTER_S
        if not cores:
            return highest
        return min(max(work / cores, lowest), highest)


def _get_due_time(job: Job) -> float:
    """Return when the refusal of a job that has not started is due, on a long-running owner."""
    return max(job.arrived_at + MIN_WAIT_SHARE * job.objective_s, job.latest_start)
