"""Scheduler of one owner: computes decisions from messages and a clock value, without I/O.

Two runs of a task never overlap: a task is placed again only after its agent reported that the run
ended or never began, or :attr:`SchedulerLimits.lost_run_s` after its worker became unreachable.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.actions import (
    NEVER_STARTED,
    Action,
    CapacityRequest,
    EndReason,
    JobFinished,
    JobState,
    RunPresumedOver,
    StopTask,
    TaskGivenUp,
)
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.capacity_requests import CapacityRequests
from dalemast.core.scheduling.choices import WorkerChoice
from dalemast.core.scheduling.crashes import (
    Crash,
    CrashedTask,
    CrashRecords,
    RunRef,
)
from dalemast.core.scheduling.demand import DemandTracker, summarize_waiting
from dalemast.core.scheduling.departures import DepartureMoves, is_plausible
from dalemast.core.scheduling.dispatching import Dispatcher
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.forecasts import DemandElsewhere, Forecasts
from dalemast.core.scheduling.infeasible import KnownWorkerKinds
from dalemast.core.scheduling.jobs import (
    ON_WORKER,
    START_MARGIN,
    Job,
    Task,
    TaskPhase,
)
from dalemast.core.scheduling.load import (
    DEFAULT_LOAD_POLICY,
    CapacityRelease,
    DepartureRisk,
    LoadPolicy,
    QueuedDemand,
    WorkerSpeed,
)
from dalemast.core.scheduling.numbers import RunNumbers
from dalemast.core.scheduling.preemption import PreemptingOrder, Preemption
from dalemast.core.scheduling.refusals import Refusals
from dalemast.core.scheduling.slow_runs import (
    MAX_SLOW_MOVES,
    PACE_WEIGHT,
    SLOW_PACE,
    estimate_pace,
    estimate_slowness,
    is_move_beneficial,
    is_run_time_plausible,
    would_be_late,
)
from dalemast.core.scheduling.speeds import KnownSpeeds
from dalemast.core.scheduling.workers import (
    CapacityReport,
    SlowRun,
    WorkerView,
)
from dalemast.core.workloads import (
    JobRequest,
    Resources,
    TaskKey,
)

__all__ = ["Scheduler", "SchedulerLimits"]


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerLimits:
    """Time limits, in seconds.

    ``lost_run_s`` is the time after which a run on an unreachable worker must have ended, and
    ``stop_s`` the maximum time that a worker needs to stop a run.
    """

    lost_run_s: float
    stop_s: float = 0.05


class Scheduler:
    """Keeps the jobs of one owner and places their tasks.

    Its decisions are returned as actions, which the caller carries out.
    """

    def __init__(
        self,
        *,
        order: BaseOrder,
        placement: BasePlacement,
        limits: SchedulerLimits,
        started_at: float,
        policy: LoadPolicy = DEFAULT_LOAD_POLICY,
        elsewhere: DemandElsewhere | None = None,
    ) -> None:
        self._limits = limits
        self._policy = policy
        if policy.preempts:
            order = PreemptingOrder(order=order)
        self._placement = placement
        self._run_times = RunTimes()
        self._jobs: dict[str, Job] = {}
        self._workers: dict[str, WorkerView] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._choice = WorkerChoice(
            placement=placement, workers=self._workers, by_slack=policy.learns_speeds
        )
        self._speeds = KnownSpeeds(workers=self._workers)
        self._capacity_requests = CapacityRequests(order=order)
        self._preemption = Preemption(is_enabled=policy.preempts, stop_s=limits.stop_s)
        self._dispatcher = Dispatcher(
            jobs=self._jobs,
            order=order,
            placement=placement,
            choice=self._choice,
            run_times=self._run_times,
            capacity_requests=self._capacity_requests,
            preemption=self._preemption,
        )
        self._departures = DepartureMoves(
            jobs=self._jobs,
            workers=self._workers,
            choice=self._choice,
            order=order,
            placement=placement,
            run_times=self._run_times,
        )
        self._numbers = RunNumbers()
        self._demand = DemandTracker()
        placement.set_demand(self._demand)
        self._crashes = CrashRecords(open_jobs=self._jobs)
        self._seen_workers = KnownWorkerKinds(started_at=started_at)
        self._forecasts = Forecasts(
            jobs=self._jobs,
            workers=self._workers,
            order=order,
            run_times=self._run_times,
            elsewhere=self._demand if elsewhere is None else elsewhere,
            preempts=policy.preempts,
        )
        self._refusals = Refusals(
            jobs=self._jobs,
            workers=self._workers,
            choice=self._choice,
            started_at=started_at,
            forecasts=self._forecasts if policy.forecasts else None,
        )

    @property
    def workers(self) -> dict[str, WorkerView]:
        """The reachable workers, by id."""
        return self._workers

    @property
    def placement(self) -> BasePlacement:
        """The policy that chooses a worker for a task."""
        return self._placement

    @property
    def open_jobs(self) -> dict[str, Job]:
        """The jobs that have not finished, by id."""
        return self._jobs

    @property
    def demand(self) -> DemandTracker:
        """The queued work that other entries have reported."""
        return self._demand

    def get_busy_workers(self) -> set[str]:
        """Return the workers on which a run of this owner may still be active.

        Workers whose tasks have ended are excluded: their agents send no heartbeats for this owner
        and would be treated as unresponsive.
        """
        return {
            task.worker
            for job in self._jobs.values()
            for task in job.tasks.values()
            if task.phase in ON_WORKER
        }

    def get_capacity_request(self, worker: str) -> CapacityRequest | None:
        """Return the open capacity request for the service of a worker, if any."""
        view = self._workers.get(worker)
        return None if view is None else self._capacity_requests.get(view.service)

    def estimate_completion_s(self, request: JobRequest) -> float:
        """Return the expected time to complete a job that starts now, including a margin."""
        return (1.0 + START_MARGIN) * self._run_times.expect_chain(request)

    def submit(self, request: JobRequest, *, now: float) -> list[Action]:
        """Accept a job and place its tasks, or refuse it if it can't be served in time."""
        chain_s = self._run_times.expect_chain(request)
        objective_s = request.queue.get_objective_s(chain_s)
        job = Job(
            request=request,
            arrived_at=now,
            objective_s=objective_s,
            chain_s=chain_s,
            last_run=self._numbers.get(request.id),
        )
        self._jobs[request.id] = job
        self._placement.note_job(request, self._run_times, now=now)
        if self._seen_workers.is_infeasible(request, now=now):
            return [self._finish(job, JobState.FAILED, "no known worker can run it", now)]
        self._forecasts.note(job)
        given_up = self._check_crashes(job, now)
        actions = [*given_up, *self.dispatch(now=now)]
        if not given_up and self._refusals.is_forecast_late(job, now=now):
            actions += self._serve_or_refuse([job], now)
        return actions

    def cancel(self, job_id: str) -> list[Action]:
        """Remove a job and stop its runs."""
        job = self._jobs.pop(job_id, None)
        return [] if job is None else self._stop_runs(job)

    def drop(self, job_id: str, *, now: float) -> list[Action]:
        """Remove a job whose caller may submit it again, and stop its runs.

        Runs of tasks with hidden ends are recorded as further ones. Otherwise a task that is
        dropped before each crash could be started without a limit.
        """
        job = self._jobs.get(job_id)
        runs = [] if job is None else [t for t in job.tasks.values() if t.phase in ON_WORKER]
        suspects = [task for task in runs if task.has_hidden_end]
        presumed = self._record_unobserved(job_id, suspects, now)
        return [*self.cancel(job_id), *presumed]

    def abandon(self, job_id: str, *, now: float) -> list[Action]:
        """Remove a job that this owner can no longer track, and stop its runs.

        Their outcome will not be reported, so each run is recorded as an unobserved worker crash,
        here and at the peers. Otherwise a resubmitted task that crashes its workers would start
        without a crash history. Runs of tasks with hidden ends count whatever their workers report,
        as in :meth:`drop`.
        """
        job = self._jobs.get(job_id)
        runs = [] if job is None else [t for t in job.tasks.values() if t.phase in ON_WORKER]
        presumed = self._record_unobserved(job_id, runs, now)
        return [*self.cancel(job_id), *presumed]

    def presume_over(self, run: StopTask, *, now: float) -> list[RunPresumedOver]:
        """Record a run of a removed job, whose stop was not confirmed, as a possible crash.

        Nothing is returned if it is recorded already.
        """
        unobserved = Crash(incarnation=run.worker, run=run.run, age_s=None, is_observed=False)
        if not self._crashes.record(run.job_id, run.task, unobserved, now=now):
            return []
        over = RunPresumedOver(
            worker=run.worker,
            job_id=run.job_id,
            task=run.task,
            run=run.run,
            lost_s=self._limits.lost_run_s,
        )
        return [over]

    def add_worker(self, view: WorkerView, *, now: float) -> None:
        """Add a worker that its agent has announced."""
        self._workers[view.name] = view
        view.is_evacuated = view.data_centre in self._evacuated
        self._refusals.note_new_worker(now=now)
        self._seen_workers.add(view)
        self._speeds.note_added(view)

    def resize_worker(self, name: str, capacity: Resources) -> None:
        """Set the total capacity of a worker; its next report contains the free capacity."""
        view = self._workers.get(name)
        if view is not None:
            view.resize(capacity)
            self._seen_workers.add(view)

    def set_evacuated(self, data_centres: frozenset[str], *, now: float) -> list[Action]:
        """Start no tasks in these data centres, and use all others again; active runs continue.

        Evacuated workers still count as known: a job that only they could run stays queued instead
        of being rejected as infeasible.
        """
        self._evacuated = data_centres
        for view in self._workers.values():
            view.is_evacuated = view.data_centre in data_centres
        return self.dispatch(now=now)

    def update_worker(self, name: str, report: CapacityReport, *, now: float) -> list[Action]:
        """Apply a report of an agent on its worker."""
        view = self._workers.get(name)
        if view is None:
            return []
        view.update(report, now=now)
        # A peer may have reported the worker as lost when only its own link had failed.
        self._clear_unobserved(name, now - report.answered_ago_s)
        if report.pace >= SLOW_PACE * (view.baseline_slowness or 1.0):
            # The pace covers the runs of all owners, so this owner learns of a slow worker before
            # its own tasks are late there.
            view.learn_slowness(report.pace, now=now, weight=PACE_WEIGHT)
        actions: list[Action] = []
        if view.is_accepting and view.free.cpu >= self._dispatcher.min_waiting_cpu:
            actions = self.dispatch(now=now)
        moves = self._departures.review(now=now)
        return [*actions, *moves, *self._capacity_requests.decline_unneeded_offer(view, actions)]

    def note_capacity_releases(
        self, name: str, rows: tuple[CapacityRelease, ...], *, now: float
    ) -> None:
        """Apply the capacity releases that an agent expects on its worker."""
        view = self._workers.get(name)
        if view is not None:
            view.set_releases(rows, now=now)

    def note_speed(self, name: str, speed: WorkerSpeed) -> None:
        """Apply the speed that an agent has measured for its worker."""
        view = self._workers.get(name)
        if view is not None and self._policy.learns_speeds:
            self._speeds.note_reported(view, speed)

    def note_departure(self, name: str, in_s: float | None, *, now: float) -> None:
        """Apply the minimum time until a worker leaves; None means that it stays."""
        view = self._workers.get(name)
        if view is None or (in_s is not None and not is_plausible(in_s)):
            return
        view.leaves_at = None if in_s is None else now + in_s
        if in_s is None:
            self._departures.forget_worker(name)

    def note_departure_risk(
        self, name: str, job_id: str, key: TaskKey, run: int, report: DepartureRisk, *, now: float
    ) -> list[Action]:
        """Apply a report that a worker is expected to leave before one of its runs ends."""
        job = self._jobs.get(job_id)
        task = job.tasks.get(key) if job else None
        if not self._policy.plans_departures or job is None or task is None:
            return []
        if task.worker != name or task.run != run or task.phase is not TaskPhase.PLACED:
            return []
        self._departures.note_risk(job, task, report, now=now)
        return self._departures.review(now=now)

    def note_demand(self, entry: str, words: tuple[QueuedDemand, ...], *, now: float) -> bool:
        """Apply the queued work of another entry; return False if the report is not used."""
        return self._policy.shares_demand and self._demand.record(entry, words, now)

    def forget_demand(self, entry: str) -> None:
        """Discard the reports of another entry that has become unreachable."""
        self._demand.forget(entry)

    def get_demand(self, *, now: float) -> tuple[QueuedDemand, ...]:
        """Return a summary of the work queued here, for the other entries."""
        if not self._policy.shares_demand:
            return ()
        return summarize_waiting(self._jobs.values(), self._run_times, now=now)

    def lose_worker(self, name: str, *, now: float) -> list[Action]:
        """Remove a worker whose agent is unreachable; its runs may continue for a while."""
        view = self._workers.pop(name, None)
        if view is not None:
            self._speeds.note_lost(view)
        self._capacity_requests.forget(name)
        self._departures.forget_worker(name)
        for _, task in self._get_runs_on(name):
            task.phase = TaskPhase.LOST
            task.free_at = now + self._limits.lost_run_s
        return self.dispatch(now=now)

    def reconcile(
        self,
        name: str,
        listed: Iterable[tuple[str, TaskKey, int]],
        *,
        now: float,
        answered_at: float | None = None,
    ) -> list[Action]:
        """Compare this owner's runs with those that an agent lists after its link is restored.

        A run that the agent does not list has ended. A listed run that is not expected is stopped.
        ``answered_at`` is when the worker last answered its agent, or None if that is now.
        """
        self._clear_unobserved(name, now if answered_at is None else answered_at)
        listed_runs = set(listed)
        actions: list[Action] = []
        wanted: set[tuple[str, TaskKey, int]] = set()
        for job, task in self._get_runs_on(name):
            run = (job.request.id, task.key, task.run)
            if run not in listed_runs:
                # Its outcome was lost with the link, and it may have been preempted.
                task.has_given_way = True
                job.leave_worker(task)
                job.set_waiting(task)
                continue
            wanted.add(run)
            if task.phase is TaskPhase.LOST:
                task.phase = TaskPhase.PLACED
        for job_id, key, number in listed_runs - wanted:
            actions.append(StopTask(worker=name, job_id=job_id, task=key, run=number))
        return actions + self.dispatch(now=now)

    def note_crash(
        self,
        incarnation: str,
        tasks: Iterable[CrashedTask],
        *,
        now: float,
        is_observed: bool = True,
        is_relayed: bool = False,
        is_lasting: bool = False,
    ) -> list[Action]:
        """Record the tasks that ran on a crashed worker, of any owner; repeats change nothing.

        If not ``is_observed``, the worker may only be unreachable, and its lease has expired. A
        report from the worker's agent ends the runs there; one that another owner relays does not,
        since it may be about an earlier run.
        """
        suspects: dict[str, Job] = {}
        for row in tasks:
            crash = Crash(
                incarnation=incarnation,
                age_s=row.age_s,
                run=row.run,
                is_observed=is_observed,
                has_begun=row.has_begun,
                is_lasting=is_lasting,
            )
            is_new = self._crashes.record(row.job_id, row.task, crash, now=now)
            job = self._jobs.get(row.job_id)
            if job is None:
                continue
            if not is_relayed:
                self._requeue_crashed(job, row.task, incarnation)
            if is_new:
                suspects[row.job_id] = job
        given_up = [action for job in suspects.values() for action in self._check_crashes(job, now)]
        return [*given_up, *self.dispatch(now=now)]

    def is_suspect(self, job_id: str, task: TaskKey) -> bool:
        """Return whether workers have crashed, or may have, while running a task."""
        return self._crashes.is_suspect(job_id, task)

    def has_hidden_end(self, job_id: str, task: TaskKey) -> bool:
        """Return whether a worker may have crashed unnoticed while running a task."""
        return self._crashes.has_unconfirmed(job_id, task)

    def has_crashed(self, job_id: str, task: TaskKey, incarnation: str) -> bool:
        """Return whether a worker has crashed, or may have, while running a task."""
        crashes = self._crashes.get(job_id, task)
        return any(crash.incarnation == incarnation for crash in crashes)

    def has_recorded(self, job_id: str, task: TaskKey, ref: RunRef) -> bool:
        """Return whether a worker has crashed, or may have, under one run of a task."""
        crashes = self._crashes.get(job_id, task)
        return any(crash.ref == ref for crash in crashes)

    def withdraw_crash(self, incarnation: str, tasks: Iterable[CrashedTask]) -> None:
        """Discard the unobserved crash of tasks that a peer could not start on a worker."""
        for row in tasks:
            self._crashes.withdraw(row.job_id, row.task, (incarnation, row.run))
            if row.job_id in self._jobs:
                self._update_suspects(self._jobs[row.job_id])

    def list_crashes(self) -> dict[Crash, list[CrashedTask]]:
        """Return the recent worker crashes with the tasks that were running."""
        return self._crashes.list_latest()

    def end_run(
        self,
        name: str,
        job_id: str,
        key: TaskKey,
        run: int,
        reason: EndReason,
        *,
        run_s: float,
        now: float,
    ) -> list[Action]:
        """Handle the end of a run; reports on superseded runs are ignored."""
        job = self._jobs.get(job_id)
        task = job.tasks.get(key) if job else None
        if job is None or task is None or task.run != run or task.worker != name:
            return []
        if task.phase in (TaskPhase.DONE, TaskPhase.WAITING, TaskPhase.BLOCKED):
            return []
        if reason is EndReason.CRASHED:
            row = CrashedTask(job_id=job_id, task=key, age_s=None, run=run)
            return self.note_crash(name, [row], now=now)
        if reason is EndReason.DONE:
            return self._handle_success(job, task, run_s, now)
        if reason is EndReason.FAILED:
            return self._handle_failure(job, task, now)
        given_up = self._record_stopped(job, task, reason, now)
        if given_up:
            return [*given_up, *self.dispatch(now=now)]
        self._handle_unfinished(job, task, reason)
        return self.dispatch(now=now)

    def handle_slow_run(
        self, name: str, job_id: str, key: TaskKey, run: int, report: SlowRun, *, now: float
    ) -> list[Action]:
        """Stop a stalled run, or a slow one that would end sooner on another worker."""
        job = self._jobs.get(job_id)
        task = job.tasks.get(key) if job else None
        view = self._workers.get(name)
        if job is None or task is None or view is None:
            return []
        if task.run != run or task.phase is not TaskPhase.PLACED:
            return []
        pace = estimate_pace(job, task, report)
        if pace < SLOW_PACE * (view.baseline_slowness or 1.0):
            return []
        if not report.is_stalled and task.slow_moves >= MAX_SLOW_MOVES:
            return []
        if not self._is_task_long(view, report, now):
            view.learn_slowness(pace, now=now, weight=PACE_WEIGHT)
        else:
            pace = view.baseline_slowness or 1.0
            if not would_be_late(job, task, report, baseline_slowness=pace, now=now):
                return []
        if not report.is_stalled:
            target = self._choice.start_round(now=now).choose(job, task)
            if target is None or target.name == task.worker:
                return []
            if not is_move_beneficial(report, pace=pace, target=target, now=now):
                return []
            task.slow_moves += 1
        task.phase = TaskPhase.STOPPING
        task.avoided.add(name)
        return [StopTask(worker=name, job_id=job_id, task=key, run=run)]

    def tick(self, *, now: float) -> list[Action]:
        """Expire lost runs, refuse jobs that have waited too long and place waiting tasks."""
        self._numbers.tick(now=now)
        self._crashes.tick(now=now)
        self._speeds.refresh(now=now)
        lost = [
            (job, task)
            for job in self._jobs.values()
            for task in job.tasks.values()
            if task.phase is TaskPhase.LOST and now >= task.free_at
        ]
        freed: list[Action] = [self._presume_over(job, task, now) for job, task in lost]
        for job in {job.request.id: job for job, _ in lost}.values():
            freed += self._check_crashes(job, now)
        if not self._policy.forecasts:
            placed = [*self._refuse(self._refusals.find_due(now=now), now), *self.dispatch(now=now)]
            return [*freed, *placed, *self._departures.review(now=now)]
        # Jobs that can still be on time are placed before overdue ones get a last attempt.
        placed = self.dispatch(now=now)
        placed += self._serve_or_refuse(self._refusals.find_due(now=now), now)
        return [*freed, *placed, *self._departures.review(now=now)]

    def dispatch(self, *, now: float) -> list[Action]:
        """Place waiting tasks while there is free capacity."""
        return self._dispatcher.dispatch(now=now)

    def _is_task_long(self, view: WorkerView, report: SlowRun, now: float) -> bool:
        """Return whether a run is slow because of its task, not because of its worker.

        If the baseline of the worker is known, a single slow run does not prove that the worker has
        slowed down; several runs must show it.
        """
        if view.baseline_slowness is None or report.is_stalled:
            return False
        is_slow = report.worker_pace >= SLOW_PACE * view.baseline_slowness
        return not is_slow and not view.has_turned_slow(now)

    def _handle_success(self, job: Job, task: Task, run_s: float, now: float) -> list[Action]:
        view = self._workers.get(task.worker)
        if view is not None:
            view.record_outcome(is_failure=False)
        if is_run_time_plausible(task, run_s, now=now):
            self._learn_run_time(job, task, view, run_s, now)
        job.set_done(task)
        if job.is_done:
            return [self._finish(job, JobState.SUCCEEDED, "", now), *self.dispatch(now=now)]
        return self.dispatch(now=now)

    def _learn_run_time(
        self, job: Job, task: Task, view: WorkerView | None, run_s: float, now: float
    ) -> None:
        """Update the slowness of the worker and the run times of the queue with a finished task."""
        slowness = 1.0
        if view is not None:
            view.learn_slowness(estimate_slowness(job, task, run_s), now=now)
            slowness = view.get_slowness(now)
        usual_s = run_s / (slowness * task.run_factor)
        self._run_times.learn(
            queue=job.request.queue.name,
            declared_s=task.step.estimate_s,
            actual_s=usual_s,
        )
        job.run_times.setdefault(task.key.step, []).append(usual_s)

    def _handle_failure(self, job: Job, task: Task, now: float) -> list[Action]:
        view = self._workers.get(task.worker)
        if view is not None:
            view.record_outcome(is_failure=True)
        task.failures += 1
        task.avoided.add(task.worker)
        job.leave_worker(task)
        if task.failures < job.request.queue.attempts:
            job.set_waiting(task)
            return self.dispatch(now=now)
        job.waiting = []
        task.phase = TaskPhase.DONE
        actions = self._stop_runs(job)
        cause = f"task {task.key.step}.{task.key.position} failed {task.failures} times"
        return [*actions, self._finish(job, JobState.FAILED, cause, now)]

    def _record_stopped(self, job: Job, task: Task, reason: EndReason, now: float) -> list[Action]:
        """Count a stopped run of a task with hidden ends as another one.

        Otherwise the task could be started without a limit by being moved before each crash.
        """
        if reason in NEVER_STARTED or not task.has_hidden_end:
            return []
        self._record_unobserved(job.request.id, [task], now, is_stopped=True)
        return self._check_crashes(job, now)

    def _handle_unfinished(self, job: Job, task: Task, reason: EndReason) -> None:
        view = self._workers.get(task.worker)
        if reason in NEVER_STARTED:
            if reason is EndReason.NOT_TAKEN:
                task.avoided.add(task.worker)
                if view is not None:
                    view.suspend()
            job.set_never_started(task)
            return
        if reason is EndReason.PREEMPTED:
            job.set_preempted(task)
            return
        job.leave_worker(task)
        job.set_waiting(task)

    def _requeue_crashed(self, job: Job, key: TaskKey, incarnation: str) -> None:
        """Requeue a task that was still running on a crashed worker."""
        task = job.tasks.get(key)
        if task is not None and task.worker == incarnation and task.phase in ON_WORKER:
            # It may have been preempted shortly before the crash.
            task.has_given_way = True
            job.leave_worker(task)
            job.set_waiting(task)

    def _check_crashes(self, job: Job, now: float) -> list[Action]:
        """Update which tasks of a job are suspected of crashes; fail the job if one is guilty."""
        job_id = job.request.id
        if job_id not in self._crashes:
            return []
        self._update_suspects(job)
        open_tasks = (key for key, task in job.tasks.items() if task.phase is not TaskPhase.DONE)
        guilty = next(
            (key for key in open_tasks if self._crashes.should_give_up(job_id, key)), None
        )
        if guilty is None:
            return []
        crashes = self._crashes.get(job_id, guilty)
        given_up = TaskGivenUp(job=job.request, task=guilty, crashes=crashes)
        cause = (
            f"{len(crashes)} workers crashed or were lost while running task "
            f"{guilty.step}.{guilty.position}"
        )
        stops = self._stop_runs(job)
        return [given_up, *stops, self._finish(job, JobState.FAILED, cause, now)]

    def _clear_unobserved(self, incarnation: str, answered_at: float) -> None:
        """Discard unobserved crashes of an incarnation that has answered since."""
        cleared = self._crashes.clear_unconfirmed(incarnation, answered_at=answered_at)
        for job_id in cleared & self._jobs.keys():
            self._update_suspects(self._jobs[job_id])

    def _record_unobserved(
        self,
        job_id: str,
        tasks: Iterable[Task],
        now: float,
        *,
        lost_s: float = 0.0,
        is_stopped: bool = False,
    ) -> list[RunPresumedOver]:
        """Record the runs of tasks whose outcome will not be reported as unobserved crashes.

        Once a task has a hidden end, each of its runs counts whatever its worker reports later.
        """
        presumed = [
            RunPresumedOver(
                worker=task.worker,
                job_id=job_id,
                task=task.key,
                run=task.run,
                lost_s=lost_s,
                is_lasting=task.has_hidden_end,
            )
            for task in tasks
        ]
        for over in presumed:
            crash = Crash(
                incarnation=over.worker,
                run=over.run,
                age_s=None,
                is_observed=False,
                is_lasting=over.is_lasting,
                is_stopped=is_stopped,
            )
            self._crashes.record(job_id, over.task, crash, now=now)
        return presumed

    def _update_suspects(self, job: Job) -> None:
        job_id = job.request.id
        job.is_cautious = self._crashes.is_job_suspect(job_id)
        for key, task in job.tasks.items():
            task.is_suspect = self._crashes.is_suspect(job_id, key)
            task.has_hidden_end = self._crashes.has_unconfirmed(job_id, key)

    def _presume_over(self, job: Job, task: Task, now: float) -> RunPresumedOver:
        """Requeue the task of a lost run, and record an unobserved crash of its worker."""
        lost_s = now - (task.free_at - self._limits.lost_run_s)
        (over,) = self._record_unobserved(job.request.id, [task], now, lost_s=lost_s)
        task.has_given_way = True
        job.leave_worker(task)
        job.set_waiting(task)
        return over

    def _serve_or_refuse(self, jobs: list[Job], now: float) -> list[Action]:
        """Start jobs wherever they are still useful; refuse those that fit on no worker."""
        starts = self._dispatcher.start_last_resort(jobs, now=now) if jobs else []
        refused = self._refuse([job for job in jobs if not job.has_begun], now)
        return [*starts, *refused]

    def _refuse(self, jobs: list[Job], now: float) -> list[Action]:
        refused = self._refusals.refuse(jobs, now=now)
        for refusal in refused:
            del self._jobs[refusal.job.id]
        return [*refused]

    def _finish(self, job: Job, state: JobState, cause: str, now: float) -> JobFinished:
        self._jobs.pop(job.request.id, None)
        first = job.first_start_at
        is_success = state is JobState.SUCCEEDED
        return JobFinished(
            job=job.request,
            state=state,
            cause=cause,
            waited_s=(now if first is None else first) - job.arrived_at,
            spread_s=0.0 if first is None else job.last_start_at - first,
            objective_s=job.get_ended_objective_s() if is_success else job.objective_s,
            runs=job.runs,
            refused_starts=job.refused_starts,
            preemptions=job.preemptions,
            workers=tuple(job.workers),
        )

    def _stop_runs(self, job: Job) -> list[Action]:
        """Stop the runs of a removed job; lost runs too, since they may still be active."""
        self._numbers.remember(job.request.id, max(task.run for task in job.tasks.values()))
        return [
            StopTask(worker=task.worker, job_id=job.request.id, task=task.key, run=task.run)
            for task in job.tasks.values()
            if task.phase in ON_WORKER
        ]

    def _get_runs_on(self, name: str) -> list[tuple[Job, Task]]:
        return [
            (job, task)
            for job in self._jobs.values()
            for task in job.tasks.values()
            if task.worker == name and task.phase in ON_WORKER
        ]
