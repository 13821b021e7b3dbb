"""Where a job is from its arrival at this entry until nothing of it runs any more."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Protocol

from dalemast import clock
from dalemast.core.ownership import Granted, Held
from dalemast.core.scheduling import (
    Action,
    Forecast,
    JobFinished,
    JobRefused,
    JobState,
    RequestCapacity,
    RunMoved,
    RunPresumedOver,
    Scheduler,
    StartTask,
    StopTask,
    TaskGivenUp,
)
from dalemast.core.workloads import JobRequest, TaskKey
from dalemast.fleet.base import (
    JobDone,
    JobDropped,
    JobOutcome,
    JobRejected,
)
from dalemast.fleet.entry.unfinished_runs import UnfinishedRuns
from dalemast.fleet.frames import RunEnded
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event

__all__ = ["ClaimManager", "JobTracker"]

CLAIM_RETRY_S = 0.04
"""Pause between two tries for an id that another owner is giving up; stops take up to 50 ms."""
CLAIM_WAIT_S = 1.5
"""How long an id that is held elsewhere is waited for: its owner's runs end within the time of
:attr:`FleetTimes.lost_run_s`."""
STOOD_STILL = "the entry stood still"
STOOD_STILL_RETRY_S = 0.1
"""When the caller of a job that waited meanwhile may come back."""
CUT_OFF = "the entry is cut off"
CUT_OFF_RETRY_S = 0.1
"""When the caller of a job that waits here may come back, on a new connection: the balancer sends
it elsewhere as soon as this entry says that it is not ready."""
UNCONFIRMED = "nobody could say whether its id is free"
UNCONFIRMED_RETRY_S = 0.1
"""When the caller of such a job may come back; it has waited for :data:`CLAIM_PATIENCE_S`."""


class ClaimManager(Protocol):
    """Claims and releases ids."""

    async def claim(self, job_id: str) -> Granted | Held:
        """Claim an id."""

    def release(self, job_id: str) -> None:
        """Free an id."""


class TrackedJob:
    """A job and whoever waits for it."""

    def __init__(self, *, request: JobRequest, arrived_at: float) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.answer: asyncio.Future[JobOutcome] = asyncio.get_running_loop().create_future()
        self.is_submitted = False
        self.is_overdue = False
        """Whether it was logged that the caller's patience is over."""
        self.submitted_at = arrived_at
        """When the id was claimed and the scheduler took the job on."""

    def resolve(self, outcome: JobOutcome) -> None:
        """Answer whoever waits, once."""
        if not self.answer.done():
            self.answer.set_result(outcome)


class JobTracker:
    """The open jobs of one entry.

    ``check_pause`` finds out whether this process has just stood still, and lets it recover.
    ``tell_unseen`` lets other entries know of a run that nobody saw end.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        times: FleetTimes,
        metrics: Metrics,
        send: Callable[[list[StartTask], list[StopTask]], None],
        request_capacity: Callable[[RequestCapacity], None],
        check_pause: Callable[[], bool],
        report_unobserved_end: Callable[[RunPresumedOver], None] = lambda action: None,
    ) -> None:
        self._tell_unseen = report_unobserved_end
        self._scheduler = scheduler
        self._times = times
        self._metrics = metrics
        self._send = send
        self._request_capacity = request_capacity
        self._check_pause = check_pause
        self._claims: ClaimManager | None = None
        self._ticked_at = clock.monotonic()
        self._standstills = 0
        self._open: dict[str, TrackedJob] = {}
        self._endings = UnfinishedRuns(lost_run_s=times.lost_run_s, release=self._release)

    def __len__(self) -> int:
        return len(self._open)

    def set_claims(self, claims: ClaimManager) -> None:
        """Take who claims ids."""
        self._claims = claims

    def get_open_ids(self) -> list[str]:
        """Return the ids that this entry was granted or is asking for."""
        return [*self._open, *self._endings.job_ids]

    def get_claimed_ids(self) -> list[str]:
        """Return the ids that this entry was granted and has not released."""
        granted = [job_id for job_id, job in self._open.items() if job.is_submitted]
        return [*granted, *self._endings.job_ids]

    def has_open(self, job_id: str) -> bool:
        """Whether this entry was granted an id or is asking for it."""
        return job_id in self._open or job_id in self._endings

    def is_active(self, job_id: str) -> bool:
        """Whether a job that was granted is being run here, and not being stopped."""
        job = self._open.get(job_id)
        return job is not None and job.is_submitted

    async def run(self, request: JobRequest) -> JobOutcome:
        """Run a job to its end. A second submission here takes the first one's place."""
        now = clock.monotonic()
        known = self._open.get(request.id)
        if known is not None:
            known.resolve(JobDropped(cause="submitted again"))
            known.answer = asyncio.get_running_loop().create_future()
            log_event("job:joined", job=request.id, age_s=round(now - known.arrived_at, 3))
            return await known.answer
        job = TrackedJob(request=request, arrived_at=now)
        self._open[request.id] = job
        refusal = await self._claim(job)
        if self._open.get(request.id) is not job:
            self._release_unless_reused(request.id)
            return await job.answer
        if refusal is not None:
            del self._open[request.id]
            self._release(request.id)
            job.resolve(refusal)
            return await job.answer
        job.is_submitted = True
        job.submitted_at = clock.monotonic()
        self._metrics.record("claim", "", job.submitted_at - now)
        self.apply(self._scheduler.submit(request, now=job.submitted_at))
        return await job.answer

    def leave(self, job_id: str) -> None:
        """Cancel a job whose caller has hung up."""
        self._drop(job_id, "caller hung up")

    def yield_job(self, job_id: str) -> None:
        """Cancel a job since another entry was asked for it."""
        self._drop(job_id, "submitted elsewhere")

    def apply(self, actions: list[Action]) -> None:
        """Carry out what the scheduler decided."""
        if not actions:
            return
        starts = [action for action in actions if isinstance(action, StartTask)]
        if starts and self._check_pause():
            # Their jobs were given up with all that had begun.
            starts = [start for start in starts if start.job.id in self._open]
        stops = [action for action in actions if isinstance(action, StopTask)]
        self._send(starts, stops)
        self._endings.extend(stops, now=clock.monotonic())
        for action in actions:
            if isinstance(action, JobFinished):
                self._finish(action, [stop for stop in stops if stop.job_id == action.job.id])
            elif isinstance(action, JobRefused):
                self._refuse(action)
            elif isinstance(action, RequestCapacity):
                self._request_capacity(action)
            elif isinstance(action, TaskGivenUp):
                self._note_given_up(action)
            elif isinstance(action, RunPresumedOver):
                self._note_presumed_over(action)
            elif isinstance(action, RunMoved):
                self._note_moved(action)

    def record_run_end(self, news: RunEnded, worker: str) -> None:
        """Note that a run has ended; the last one of an ended job frees its id."""
        row = news.run
        key = TaskKey(row.step, row.position)
        self._endings.record_end(StopTask(worker=worker, job_id=row.job, task=key, run=row.run))

    def tick(self, now: float) -> None:
        """Let time pass: free ids whose runs are surely over, and let the scheduler decide."""
        self._ticked_at = now
        self._endings.tick(now=now)
        self.apply(self._scheduler.tick(now=now))
        self._log_overdue(now)

    def _log_overdue(self, now: float) -> None:
        """Log each job once that is still open when its caller has waited as long as it would.

        Its caller may be gone without a word, and nothing else would tell what the job waits for.
        """
        for job_id, job in self._open.items():
            if job.is_overdue or now - job.arrived_at <= job.request.timeout_s:
                continue
            job.is_overdue = True
            known = self._scheduler.open_jobs.get(job_id)
            workers = {} if known is None else known.workers
            log_event(
                "job:overdue",
                job=job_id,
                queue=job.request.queue.name,
                age_s=round(now - job.arrived_at, 3),
                is_claimed=job.is_submitted,
                tasks={} if known is None else known.count_phases(),
                workers=list(workers),
                in_reach=[name for name in workers if name in self._scheduler.workers],
            )

    def abandon_started(self, now: float) -> None:
        """Drop what has begun, after this process stood still: the runs were stopped meanwhile.

        What waits is turned away if it stood still for so long that claims of its have lapsed: the
        ids may have been granted to other entries.
        """
        self._standstills += 1
        may_have_lapsed = now - self._ticked_at >= self._times.lost_run_s
        waiting = JobRejected(cause=STOOD_STILL, retry_after_s=STOOD_STILL_RETRY_S)
        self._abandon(STOOD_STILL, waiting=waiting if may_have_lapsed else None)

    def abandon_isolated(self) -> None:
        """Drop all jobs, since others may be granted their ids while this entry reaches nobody.

        What has begun lapses now, as no agent hears this entry; what waits is turned away. Kept, it
        would start as soon as an agent is back, beside the run of another entry.
        """
        waiting = JobRejected(cause=CUT_OFF, retry_after_s=CUT_OFF_RETRY_S)
        self._abandon(CUT_OFF, waiting=waiting)

    def _abandon(self, cause: str, *, waiting: JobRejected | None) -> None:
        """Drop the jobs that have begun, and answer those that wait so, if they go as well."""
        for job_id, job in list(self._open.items()):
            known = self._scheduler.open_jobs.get(job_id)
            if known is None:
                # It is being claimed, or its end is being carried out.
                continue
            if known.has_begun:
                unseen = self._scheduler.abandon(job_id, now=clock.monotonic())
                self._drop(job_id, cause, actions=unseen)
            elif waiting is not None:
                job.resolve(waiting)
                self._drop(job_id, cause)

    def abandon_all(self) -> None:
        """Drop every job, since this process ends."""
        for job_id in list(self._open):
            self._drop(job_id, "the entry stops")

    async def _claim(self, job: TrackedJob) -> JobOutcome | None:
        """Claim a job's id; return why it can't be had, or None."""
        assert self._claims is not None
        give_up_at = job.arrived_at + CLAIM_WAIT_S
        held_by = "this entry"
        while True:
            if job.request.id not in self._endings:
                standstills = self._standstills
                result = await self._claims.claim(job.request.id)
                if self._check_pause() or standstills != self._standstills:
                    # The grant may be old: claims lapse when their owner is silent for long.
                    continue
                if isinstance(result, Granted):
                    return None
                held_by = result.owner
            if clock.monotonic() > give_up_at or self._open.get(job.request.id) is not job:
                log_event("job:not-claimed", job=job.request.id, held_by=held_by)
                if not held_by:
                    return JobRejected(cause=UNCONFIRMED, retry_after_s=UNCONFIRMED_RETRY_S)
                return JobDropped(cause="its id is held by another entry")
            await asyncio.sleep(CLAIM_RETRY_S)

    def _drop(self, job_id: str, cause: str, *, actions: Iterable[Action] = ()) -> None:
        """Answer a job's caller that it is followed no more; ``actions`` have ended it already."""
        job = self._open.pop(job_id, None)
        if job is None:
            return
        actions = [*actions, *self._scheduler.cancel(job_id)]
        stops = [action for action in actions if isinstance(action, StopTask)]
        self._send([], stops)
        for action in actions:
            if isinstance(action, RunPresumedOver):
                self._note_presumed_over(action)
        log_event(
            "job:dropped",
            job=job_id,
            queue=job.request.queue.name,
            cause=cause,
            age_s=round(clock.monotonic() - job.arrived_at, 3),
            stops=len(stops),
        )
        self._metrics.count(f"jobs.dropped.{cause.replace(' ', '-')}")
        job.resolve(JobDropped(cause=cause))
        if job.is_submitted:
            self._endings.begin(job_id, stops, now=clock.monotonic())
        # A room that was freed is used at the agent's next report.

    def _finish(self, action: JobFinished, stops: list[StopTask]) -> None:
        job = self._open.pop(action.job.id, None)
        self._endings.begin(action.job.id, stops, now=clock.monotonic())
        if job is None:
            return
        took_s = clock.monotonic() - job.arrived_at
        self._metrics.count(f"jobs.{action.state.value}")
        if action.preemptions:
            self._metrics.count("tasks.preempted", action.preemptions)
        self._metrics.record("job", action.job.queue.name, took_s)
        log_event(
            "job:ended",
            job=action.job.id,
            queue=action.job.queue.name,
            state=action.state.value,
            cause=action.cause,
            took_s=round(took_s, 3),
            claim_s=round(job.submitted_at - job.arrived_at, 3),
            waited_s=round(action.waited_s, 3),
            spread_s=round(action.spread_s, 3),
            objective_s=round(action.objective_s, 3),
            runs=action.runs,
            refused_starts=action.refused_starts,
            preemptions=action.preemptions,
            tasks=sum(step.count for step in action.job.steps),
            patience_s=round(action.job.timeout_s, 3),
            declared_s=round(action.job.chain_s, 3),
        )
        job.resolve(JobDone(state=JobState(action.state)))

    def _refuse(self, action: JobRefused) -> None:
        job = self._open.pop(action.job.id, None)
        self._release(action.job.id)
        self._metrics.count(f"jobs.refused.{action.cause.value}")
        left_out = action.left_out.get_counts()
        if action.forecast is not None and not action.waited_s:
            self._metrics.count("jobs.refused.at-arrival")
        for rule in left_out:
            self._metrics.count(f"jobs.refused.left-out.{rule}")
        log_event(
            "job:refused",
            job=action.job.id,
            queue=action.job.queue.name,
            cause=action.cause.value,
            waited_s=round(action.waited_s, 3),
            waiting_jobs=action.waiting_jobs,
            workers=action.workers,
            needed_cpu=action.needed_cpu,
            free_cpu=action.free_cpu,
            view_age_s=round(action.view_age_s, 3),
            left_out=left_out,
            retry_after_s=round(action.retry_after_s, 3),
            **_describe_forecast(action.forecast),
        )
        if job is not None:
            outcome = JobRejected(cause=action.cause.value, retry_after_s=action.retry_after_s)
            job.resolve(outcome)

    def _note_given_up(self, action: TaskGivenUp) -> None:
        """Tell which task was not started again, whose it is and which workers it has cost."""
        self._metrics.count("tasks.given-up.crashes")
        log_event(
            "task:given-up",
            job=action.job.id,
            queue=action.job.queue.name,
            step=action.task.step,
            position=action.task.position,
            workers=[crash.incarnation for crash in action.crashes],
            ages_s=[crash.age_s and round(crash.age_s, 3) for crash in action.crashes],
            is_seen=[crash.is_observed for crash in action.crashes],
        )

    def _note_presumed_over(self, action: RunPresumedOver) -> None:
        self._tell_unseen(action)
        self._metrics.count("runs.presumed-over")
        log_event(
            "run:presumed-over",
            job=action.job_id,
            step=action.task.step,
            position=action.task.position,
            run=action.run,
            worker=action.worker,
            lost_s=round(action.lost_s, 3),
        )

    def _note_moved(self, action: RunMoved) -> None:
        self._metrics.count(f"runs.moved.{action.cause}")
        self._metrics.count(f"core-ms.lost.{action.cause}", round(action.age_s * action.cpu))
        log_event(
            "run:moved",
            cause=action.cause,
            job=action.job_id,
            step=action.task.step,
            position=action.task.position,
            run=action.run,
            worker=action.worker,
            age_s=round(action.age_s, 3),
            left_s=round(action.left_s, 3),
            leaves_in_s=round(action.leaves_in_s, 3),
        )

    def _release_unless_reused(self, job_id: str) -> None:
        """Free an id that was claimed for a caller that has left meanwhile.

        The job may have come again: then the claim is the next submission's as well.
        """
        if not self.has_open(job_id):
            self._release(job_id)

    def _release(self, job_id: str) -> None:
        assert self._claims is not None
        self._claims.release(job_id)


def _describe_forecast(forecast: Forecast | None) -> dict[str, float | None]:
    """Return what a refusal's line says of the forecast: null for a begin that is not in sight."""
    if forecast is None:
        return {}
    is_in_sight = math.isfinite(forecast.begin_s)
    return {
        "forecast_s": round(forecast.begin_s, 3) if is_in_sight else None,
        "ahead_here_core_s": round(forecast.here_core_s, 3),
        "ahead_elsewhere_core_s": round(forecast.elsewhere_core_s, 3),
        "suiting_cores": round(forecast.cores, 1),
    }
