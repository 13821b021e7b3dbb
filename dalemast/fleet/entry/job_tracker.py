"""Tracks each job from its arrival at this entry until none of its runs is left."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable
from typing import Protocol

from dalemast import clock
from dalemast.core.ownership import Cancelled, Granted, Withheld
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
    JobCancelled,
    JobDone,
    JobDropped,
    JobOutcome,
    JobRejected,
)
from dalemast.fleet.entry.claim_retries import ClaimResult, ClaimRetries
from dalemast.fleet.entry.unfinished_runs import UnfinishedRuns
from dalemast.fleet.frames import RunEnded
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event

__all__ = ["ClaimManager", "JobTracker"]

CLAIM_RETRY_S = 0.04
"""Pause between two attempts to claim an id that another owner is about to release."""
CLAIM_WAIT_S = 1.5
"""How long to retry the claim of an id that is held elsewhere. Longer than
:attr:`FleetTimes.lost_run_s`, within which the runs of the previous owner end."""
# The causes appear in logs, metric names and responses to callers.
PAUSED_CAUSE = "the entry stood still"
PAUSED_RETRY_S = 0.1
"""Retry delay for callers whose queued job was rejected after a pause of this process."""
ISOLATED_CAUSE = "the entry is cut off"
ISOLATED_RETRY_S = 0.1
"""Retry delay for callers whose queued job was rejected because this entry is isolated. The load
balancer routes their new connections to another entry once this one is not ready."""
CANCELLED_CAUSE = "cancelled"
UNCONFIRMED_CAUSE = "nobody could say whether its id is free"
UNCONFIRMED_RETRY_S = 0.1
"""Retry delay for callers whose job id could not be confirmed within :data:`CLAIM_WAIT_S`."""


class ClaimManager(Protocol):
    """Claims and releases job ids."""

    async def claim(self, job_id: str, *, queue: str) -> ClaimResult:
        """Claim the id of a queue's job for this entry."""

    def is_cancelled(self, job_id: str, *, queue: str) -> bool:
        """Return whether a job of a queue is known to be cancelled."""

    def release(self, job_id: str) -> None:
        """Release an id of this entry."""


class TrackedJob:
    """An open job and the future on which its caller waits."""

    def __init__(self, *, request: JobRequest, arrived_at: float) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.outcome: asyncio.Future[JobOutcome] = asyncio.get_running_loop().create_future()
        self.is_submitted = False
        self.is_overdue = False
        """Whether it was logged that the caller's timeout has passed."""
        self.submitted_at = arrived_at
        """When the id was granted and the job passed to the scheduler."""

    def resolve(self, outcome: JobOutcome) -> None:
        """Set the outcome for the waiting caller, unless it is set already."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class JobTracker:
    """Tracks the open jobs of one entry.

    ``check_pause`` detects a pause of this process, starts the recovery from it, and returns
    whether there was one. ``report_unobserved_end`` reports to other entries a run that is
    presumed over although no agent observed its end, or a run that may end like that.
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
        self._report_unobserved_end = report_unobserved_end
        self._scheduler = scheduler
        self._times = times
        self._metrics = metrics
        self._send = send
        self._request_capacity = request_capacity
        self._check_pause = check_pause
        self._claims: ClaimManager | None = None
        self._ticked_at = clock.monotonic()
        self._claim_retries = ClaimRetries(check_pause=check_pause)
        self._open: dict[str, TrackedJob] = {}
        self._unfinished_runs = UnfinishedRuns(
            lost_run_s=times.lost_run_s,
            presume_over=self._presume_stopped_run_over,
            release=self._release,
        )

    def __len__(self) -> int:
        return len(self._open)

    def set_claims(self, claims: ClaimManager) -> None:
        """Set the manager that claims and releases job ids."""
        self._claims = claims

    def get_open_ids(self) -> list[str]:
        """Return the ids that this entry has claimed or is claiming."""
        return [*self._open, *self._unfinished_runs.job_ids]

    def get_claimed_ids(self) -> list[str]:
        """Return the ids that this entry was granted and has not released."""
        granted = [job_id for job_id, job in self._open.items() if job.is_submitted]
        return [*granted, *self._unfinished_runs.job_ids]

    def has_open(self, job_id: str) -> bool:
        """Return whether this entry has claimed an id or is claiming it."""
        return job_id in self._open or job_id in self._unfinished_runs

    def is_active(self, job_id: str) -> bool:
        """Return whether a job's id is granted and the job is not being stopped."""
        job = self._open.get(job_id)
        return job is not None and job.is_submitted

    def is_open(self, job_id: str, queue: str) -> bool:
        """Return whether a queue's job is open here and not being stopped."""
        return bool(queue) and self.get_queue(job_id) == queue

    def get_queue(self, job_id: str) -> str:
        """Return the name of the queue of an open job, or an empty string if it is unknown.

        It is unknown once the job is being stopped.
        """
        job = self._open.get(job_id)
        return "" if job is None else job.request.queue.name

    async def run(self, request: JobRequest) -> JobOutcome:
        """Run a job to its end.

        If its id is submitted again, the job continues for the later submission and the earlier one
        is answered as dropped.
        """
        now = clock.monotonic()
        if self._is_cancelled(request):
            return self._refuse_cancelled(request)
        earlier = self._open.get(request.id)
        if earlier is not None:
            earlier.resolve(JobDropped(cause="submitted again"))
            earlier.outcome = asyncio.get_running_loop().create_future()
            log_event("job:joined", job=request.id, age_s=round(now - earlier.arrived_at, 3))
            return await earlier.outcome
        job = TrackedJob(request=request, arrived_at=now)
        self._open[request.id] = job
        refusal = await self._claim(job)
        if self._open.get(request.id) is not job:
            self._release_unless_reused(request.id)
            return await job.outcome
        if refusal is not None:
            del self._open[request.id]
            self._release(request.id)
            job.resolve(refusal)
            return await job.outcome
        job.is_submitted = True
        job.submitted_at = clock.monotonic()
        self._metrics.record("claim", "", job.submitted_at - now)
        self.apply(self._scheduler.submit(request, now=job.submitted_at))
        return await job.outcome

    def leave(self, job_id: str) -> None:
        """Cancel a job whose caller has disconnected."""
        self._drop(job_id, "caller hung up")

    def yield_job(self, job_id: str) -> None:
        """Cancel a job that was submitted to another entry."""
        self._drop(job_id, "submitted elsewhere")

    def cancel_job(self, job_id: str, *, queue: str) -> bool:
        """Stop a job that its caller has cancelled, and answer its submission with that.

        Return whether a job of this queue was open here.
        """
        is_open = self.is_open(job_id, queue)
        if is_open:
            self._drop(job_id, CANCELLED_CAUSE, outcome=JobCancelled())
        return is_open

    def apply(self, actions: list[Action]) -> None:
        """Carry out the scheduler's actions."""
        if not actions:
            return
        starts = [action for action in actions if isinstance(action, StartTask)]
        if starts and self._check_pause():
            # The recovery from the pause has dropped some of their jobs.
            starts = [start for start in starts if start.job.id in self._open]
        stops = [action for action in actions if isinstance(action, StopTask)]
        self._announce_starts(starts)
        self._send(starts, stops)
        self._unfinished_runs.extend(stops, now=clock.monotonic())
        for action in actions:
            if isinstance(action, JobFinished):
                self._finish(action, [stop for stop in stops if stop.job_id == action.job.id])
            elif isinstance(action, JobRefused):
                self._refuse(action)
            elif isinstance(action, RequestCapacity):
                self._request_capacity(action)
            elif isinstance(action, TaskGivenUp):
                self._record_given_up_task(action)
            elif isinstance(action, RunPresumedOver):
                self._record_presumed_over(action)
            elif isinstance(action, RunMoved):
                self._record_moved_run(action)

    def record_run_end(self, message: RunEnded, worker: str) -> None:
        """Record that a run has ended. The last run of an ended job releases the id."""
        row = message.run
        key = TaskKey(row.step, row.position)
        self._unfinished_runs.record_end(
            StopTask(worker=worker, job_id=row.job, task=key, run=row.run)
        )

    def tick(self, now: float) -> None:
        """Release ids whose runs must have ended, run the scheduler, and log overdue jobs."""
        self._ticked_at = now
        self._unfinished_runs.tick(now=now)
        self.apply(self._scheduler.tick(now=now))
        self._log_overdue(now)

    def _log_overdue(self, now: float) -> None:
        """Log each open job once its caller's timeout has passed.

        The caller may be gone without closing its connection, and no other log line would show
        what the job is waiting for.
        """
        for job_id, job in self._open.items():
            if job.is_overdue or now - job.arrived_at <= job.request.timeout_s:
                continue
            job.is_overdue = True
            scheduled = self._scheduler.open_jobs.get(job_id)
            workers = {} if scheduled is None else scheduled.workers
            log_event(
                "job:overdue",
                job=job_id,
                queue=job.request.queue.name,
                age_s=round(now - job.arrived_at, 3),
                is_claimed=job.is_submitted,
                tasks={} if scheduled is None else scheduled.count_phases(),
                workers=list(workers),
                in_reach=[name for name in workers if name in self._scheduler.workers],
            )

    def abandon_started(self, now: float) -> None:
        """Drop the started jobs after a pause of this process: their runs may have been stopped.

        Queued jobs are rejected too if the pause was long enough for claims to lapse, since their
        ids may have been granted to other entries.
        """
        self._claim_retries.note_pause()
        may_have_lapsed = now - self._ticked_at >= self._times.lost_run_s
        queued_outcome = JobRejected(cause=PAUSED_CAUSE, retry_after_s=PAUSED_RETRY_S)
        self._abandon(PAUSED_CAUSE, queued_outcome=queued_outcome if may_have_lapsed else None)

    def abandon_on_isolation(self) -> None:
        """Drop all jobs, since an isolated entry may lose their ids to other entries.

        The agents stop the started jobs, as they receive nothing from this entry. Queued jobs are
        rejected: if kept, they would start once an agent is reachable again, while another entry
        may be running them.
        """
        queued_outcome = JobRejected(cause=ISOLATED_CAUSE, retry_after_s=ISOLATED_RETRY_S)
        self._abandon(ISOLATED_CAUSE, queued_outcome=queued_outcome)

    def _abandon(self, cause: str, *, queued_outcome: JobRejected | None) -> None:
        """Drop the started jobs, and reject the queued ones if ``queued_outcome`` is given."""
        for job_id, job in list(self._open.items()):
            scheduled = self._scheduler.open_jobs.get(job_id)
            if scheduled is None:
                # Its id is still being claimed, or its end is being processed.
                continue
            if scheduled.has_begun:
                actions = self._scheduler.abandon(job_id, now=clock.monotonic())
                self._drop(job_id, cause, actions=actions)
            elif queued_outcome is not None:
                job.resolve(queued_outcome)
                self._drop(job_id, cause)

    def abandon_all(self) -> None:
        """Drop every job before this process stops."""
        for job_id in list(self._open):
            self._drop(job_id, "the entry stops")

    async def _claim(self, job: TrackedJob) -> JobOutcome | None:
        """Claim a job's id. Return None once it is granted, or else the outcome of the job."""
        assert self._claims is not None
        claims, request = self._claims, job.request
        result = await self._claim_retries.repeat(
            lambda: claims.claim(request.id, queue=request.queue.name),
            pauses_s=itertools.repeat(CLAIM_RETRY_S),
            deadline=job.arrived_at + CLAIM_WAIT_S,
            is_blocked=lambda: request.id in self._unfinished_runs,
            is_wanted=lambda: self._open.get(request.id) is job,
        )
        match result:
            case Granted():
                return None
            case Cancelled():
                return self._refuse_cancelled(request)
            case Withheld(until=until) if until is None or until > job.arrived_at + CLAIM_WAIT_S:
                return _refuse_withheld(result)
        held_by = "" if isinstance(result, Withheld) else result.owner
        log_event("job:not-claimed", job=request.id, held_by=held_by)
        if not held_by:
            return JobRejected(cause=UNCONFIRMED_CAUSE, retry_after_s=UNCONFIRMED_RETRY_S)
        return JobDropped(cause="its id is held by another entry")

    def _is_cancelled(self, request: JobRequest) -> bool:
        assert self._claims is not None
        return self._claims.is_cancelled(request.id, queue=request.queue.name)

    def _refuse_cancelled(self, request: JobRequest) -> JobCancelled:
        """Count and log a submission that arrives after its job was cancelled."""
        self._metrics.count("jobs.already-cancelled")
        log_event("job:already-cancelled", job=request.id, queue=request.queue.name)
        return JobCancelled()

    def _drop(
        self,
        job_id: str,
        cause: str,
        *,
        actions: Iterable[Action] = (),
        outcome: JobOutcome | None = None,
    ) -> None:
        """Stop a job and resolve it as dropped, or with another outcome.

        ``actions`` are those that the scheduler returned if it has ended the job already.
        """
        job = self._open.pop(job_id, None)
        if job is None:
            return
        actions = [*actions, *self._scheduler.drop(job_id, now=clock.monotonic())]
        stops = [action for action in actions if isinstance(action, StopTask)]
        self._send([], stops)
        for action in actions:
            if isinstance(action, RunPresumedOver):
                self._record_presumed_over(action)
        log_event(
            "job:dropped",
            job=job_id,
            queue=job.request.queue.name,
            cause=cause,
            age_s=round(clock.monotonic() - job.arrived_at, 3),
            stops=len(stops),
        )
        self._metrics.count(f"jobs.dropped.{cause.replace(' ', '-')}")
        job.resolve(outcome or JobDropped(cause=cause))
        if job.is_submitted:
            self._unfinished_runs.begin(job_id, stops, now=clock.monotonic())
        # Freed capacity is used at the agent's next report.

    def _finish(self, action: JobFinished, stops: list[StopTask]) -> None:
        job = self._open.pop(action.job.id, None)
        self._unfinished_runs.begin(action.job.id, stops, now=clock.monotonic())
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

    def _record_given_up_task(self, action: TaskGivenUp) -> None:
        """Count and log a task that is not restarted since it has crashed too many workers."""
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

    def _announce_starts(self, starts: Iterable[StartTask]) -> None:
        """Report starts of tasks with hidden ends to other entries before they begin."""
        for start in starts:
            if start.has_hidden_end:
                self._report_unobserved_end(
                    RunPresumedOver(
                        worker=start.worker,
                        job_id=start.job.id,
                        task=start.task,
                        run=start.run,
                        lost_s=0.0,
                        is_lasting=True,
                    )
                )

    def _presume_stopped_run_over(self, run: StopTask) -> None:
        """Record that the end of a run was not observed, before its id is granted to others.

        Its worker may have crashed. The next owner of the job would not know of it.
        """
        for action in self._scheduler.presume_over(run, now=clock.monotonic()):
            self._record_presumed_over(action)

    def _record_presumed_over(self, action: RunPresumedOver) -> None:
        self._report_unobserved_end(action)
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

    def _record_moved_run(self, action: RunMoved) -> None:
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
        """Release an id that was claimed for a caller that has disconnected in the meantime.

        If the job was submitted again, the claim belongs to the new submission and is kept.
        """
        if not self.has_open(job_id):
            self._release(job_id)

    def _release(self, job_id: str) -> None:
        assert self._claims is not None
        self._claims.release(job_id)


def _refuse_withheld(withheld: Withheld) -> JobRejected:
    """Return the refusal of a job whose id can't be granted before the deadline of its claim."""
    if withheld.until is None:
        return JobRejected(cause=ISOLATED_CAUSE, retry_after_s=ISOLATED_RETRY_S)
    retry_after_s = withheld.until - clock.monotonic()
    return JobRejected(cause=UNCONFIRMED_CAUSE, retry_after_s=retry_after_s)


def _describe_forecast(forecast: Forecast | None) -> dict[str, float | None]:
    """Return the log fields of a forecast, with None for a start that is not foreseeable."""
    if forecast is None:
        return {}
    is_foreseeable = math.isfinite(forecast.begin_s)
    return {
        "forecast_s": round(forecast.begin_s, 3) if is_foreseeable else None,
        "ahead_here_core_s": round(forecast.here_core_s, 3),
        "ahead_elsewhere_core_s": round(forecast.elsewhere_core_s, 3),
        "suiting_cores": round(forecast.cores, 1),
    }
