"""The judgement of waiting jobs: when one is refused, and what its caller is told."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from dalemast.core.scheduling.actions import JobRefused, RefusalCause
from dalemast.core.scheduling.choices import ChoiceRound, WorkerChoice
from dalemast.core.scheduling.exclusions import WorkerExclusions
from dalemast.core.scheduling.forecasts import Forecast, Forecasts
from dalemast.core.scheduling.jobs import ON_WORKER, Job
from dalemast.core.scheduling.retry_times import RETRY_AFTER_S, RetryTimes
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Resources

__all__ = ["Refusals"]

OFFER_SHARE = 0.25
"""Share of its objective for which a job may wait without a start before it is refused; beyond
it a refusal helps nobody any more."""
SETTLING_S = 2.0
"""How long after its start an owner may expect further workers at most: they report every 1.5 s,
and their agents start within about half a second of it."""
QUIET_S = 0.2
"""How long after the last new worker it expects more: the others' reports came within 0.6 s of each
other. Until then a job that can only be late is kept, since room is about to be found; kept on for
2 s, such jobs took room from those that callers send again after a loss of power."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Load:
    """What refusals of one moment say alike; ``most_free`` and ``held_cpu`` are by service.

    ``held_cpu`` is what runs of this owner take. ``left_out`` keeps what was counted for tasks that
    need the same.
    """

    most_free: dict[str, int]
    held_cpu: Counter[str]
    waiting_jobs: int
    retry_after_s: float
    choices: ChoiceRound
    left_out: dict[tuple[str, Resources, str], WorkerExclusions] = field(default_factory=dict)

    def count_left_out(self, job: Job) -> WorkerExclusions:
        """Return which rules kept a job's first task from the workers."""
        first = next((task for task in job.waiting if not job.holds_back(task)), None)
        if first is None:
            return WorkerExclusions()
        if first.avoided:
            return self.choices.count_exclusions(job, first)
        kind = (job.request.queue.service, first.step.resources, first.step.label)
        if kind not in self.left_out:
            self.left_out[kind] = self.choices.count_exclusions(job, first)
        return self.left_out[kind]


class Refusals:
    """Refuses jobs that have not begun and have no time left to be of use.

    ``jobs`` and ``workers`` are those of the scheduler, by id; it adds to them and takes away. With
    ``forecasts`` a job that would wait in vain need not wait, and each caller gets its own time to
    come back.
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
        self._settling_until = started_at + SETTLING_S
        self._found_worker_at: float | None = None
        self._forecasts = forecasts
        self._returns = RetryTimes()

    def note_new_worker(self, *, now: float) -> None:
        """Note that a worker came into reach."""
        self._found_worker_at = now

    def is_forecast_late(self, job: Job, *, now: float) -> bool:
        """Tell whether a job that has just arrived would surely wait until its refusal is due.

        An owner that has just started knows too little to say so.
        """
        if self._forecasts is None or job.has_begun or now < self._settling_until:
            return False
        forecast = self._forecasts.expect(job, now=now)
        return forecast is not None and forecast.is_later_than(_get_due(job) - now)

    def find_due(self, *, now: float) -> list[Job]:
        """Return the jobs whose refusal is due."""
        return [job for job in self._jobs.values() if self._is_overdue(job, now)]

    def refuse(self, jobs: Collection[Job], *, now: float) -> list[JobRefused]:
        """Return the refusals of these jobs; the scheduler forgets them."""
        if not jobs:
            return []
        # What is said of the load is the same for all, and counts those that are refused too.
        load = _Load(
            most_free=self._choice.get_max_free_cpu(),
            held_cpu=self._count_held_cpu(),
            waiting_jobs=sum(not job.has_begun for job in self._jobs.values()),
            retry_after_s=self._get_retry_after_s(),
            choices=self._choice.start_round(now=now),
        )
        if self._forecasts is None:
            return [self._make_refusal(job, load, now) for job in jobs]
        return self._refuse_in_turn(jobs, self._forecasts, load, now)

    def _refuse_in_turn(
        self, jobs: Collection[Job], forecasts: Forecasts, load: _Load, now: float
    ) -> list[JobRefused]:
        """Give each caller its own time to come back, the more urgent first."""
        leaving = {job.request.id for job in jobs}
        made: dict[tuple[str, int], Forecast | None] = {}
        refusals = []
        for job in sorted(jobs, key=lambda job: job.request.queue.priority):
            kind = (job.request.queue.service, job.request.queue.priority)
            if kind not in made:
                made[kind] = forecasts.expect(job, leaving=leaving, now=now)
            refusal = self._make_refusal(job, load, now)
            retry_after_s = self._plan_return(job, made[kind], load, now)
            refusals.append(replace(refusal, retry_after_s=retry_after_s, forecast=made[kind]))
        return refusals

    def _plan_return(self, job: Job, forecast: Forecast | None, load: _Load, now: float) -> float:
        """Return in how many seconds a caller should come back.

        What is refused here gets the room that this owner's work has now, at least its own width.
        """
        core_s = job.request.core_seconds
        width = core_s / job.chain_s if job.chain_s else 0.0
        held_cpu = load.held_cpu[job.request.queue.service]
        return self._returns.plan(
            job,
            begin_s=load.retry_after_s if forecast is None else forecast.begin_s,
            core_s=core_s,
            cores=max(held_cpu / 1000, width),
            now=now,
        )

    def _is_overdue(self, job: Job, now: float) -> bool:
        """Tell whether it is time to refuse a job."""
        if job.has_begun or now - job.arrived_at <= OFFER_SHARE * job.objective_s:
            return False
        return now > (job.latest_late_start if self._is_settling(now) else job.latest_start)

    def _is_settling(self, now: float) -> bool:
        """Tell whether this owner has just started and is still finding workers."""
        if now >= self._settling_until:
            return False
        return self._found_worker_at is None or now < self._found_worker_at + QUIET_S

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
            left_out=load.count_left_out(job),
        )

    def _count_held_cpu(self) -> Counter[str]:
        """Return what this owner's runs take, in thousandths of a core, by service."""
        held: Counter[str] = Counter()
        if self._forecasts is None:
            return held
        for job in self._jobs.values():
            for task in job.tasks.values() if job.has_begun else ():
                if task.phase in ON_WORKER:
                    held[job.request.queue.service] += task.step.resources.cpu
        return held

    def _get_retry_after_s(self) -> float:
        """Return the time in which the waiting work would be done by the workers in reach."""
        cores = sum(view.capacity.cpu for view in self._workers.values()) / 1000
        work = sum(job.request.core_seconds for job in self._jobs.values() if job.waiting)
        lowest, highest = RETRY_AFTER_S
        if not cores:
            return highest
        return min(max(work / cores, lowest), highest)


def _get_due(job: Job) -> float:
    """Return when the refusal of a job that has not begun is due, unless its owner settles."""
    return max(job.arrived_at + OFFER_SHARE * job.objective_s, job.latest_start)
