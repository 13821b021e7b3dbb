"""The scheduler of one owner: pure decisions, fed by messages and a clock value.

Two runs of a task never overlap: a task is placed again only after the agent said that its run
ended or never began, or after :attr:`SchedulerLimits.lost_run_s` has passed since this owner last
could have kept it alive.
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
    """``lost_run_s``: a run out of reach has surely ended after this time, in seconds.

    ``stop_s`` is the longest time that a stop takes on a worker.
    """

    lost_run_s: float
    stop_s: float = 0.05


class Scheduler:
    """Owns jobs and places their tasks. Every method returns the actions that follow."""

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
        self._wants = CapacityRequests(order=order)
        self._preemption = Preemption(is_asked=policy.preempts, stop_s=limits.stop_s)
        self._dispatcher = Dispatcher(
            jobs=self._jobs,
            order=order,
            placement=placement,
            choice=self._choice,
            run_times=self._run_times,
            wants=self._wants,
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
        self._seen = KnownWorkerKinds(started_at=started_at)
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
        """The workers in reach, by id."""
        return self._workers

    @property
    def placement(self) -> BasePlacement:
        """What chooses workers."""
        return self._placement

    @property
    def open_jobs(self) -> dict[str, Job]:
        """The jobs that have not ended, by id."""
        return self._jobs

    @property
    def demand(self) -> DemandTracker:
        """What waits at the other entries, by their words."""
        return self._demand

    def get_busy_workers(self) -> set[str]:
        """Return the workers on which a run of this owner may be going.

        Not those where tasks of open jobs have ended: their agents have no run to beat for, and
        would be given up as silent.
        """
        return {
            task.worker
            for job in self._jobs.values()
            for task in job.tasks.values()
            if task.phase in ON_WORKER
        }

    def get_capacity_request(self, worker: str) -> CapacityRequest | None:
        """Return what this owner lacks room for on workers like this one."""
        view = self._workers.get(worker)
        return None if view is None else self._wants.get(view.service)

    def estimate_completion_s(self, request: JobRequest) -> float:
        """Return the time in which a job that begins at once is done, with a margin, in seconds."""
        return (1.0 + START_MARGIN) * self._run_times.expect_chain(request)

    def submit(self, request: JobRequest, *, now: float) -> list[Action]:
        """Take a job on."""
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
        if self._seen.is_infeasible(request, now=now):
            return [self._finish(job, JobState.FAILED, "no worker can ever hold it", now)]
        self._forecasts.note(job)
        given_up = self._judge(job, now)
        actions = [*given_up, *self.dispatch(now=now)]
        if not given_up and self._refusals.is_forecast_late(job, now=now):
            actions += self._serve_or_refuse([job], now)
        return actions

    def cancel(self, job_id: str) -> list[Action]:
        """Forget a job and stop what runs of it."""
        job = self._jobs.pop(job_id, None)
        return [] if job is None else self._give_up(job)

    def abandon(self, job_id: str, *, now: float) -> list[Action]:
        """Forget a job that this owner can't follow any more, and stop what runs of it.

        Nobody will tell this owner how its runs ended, and their workers may end under them: each
        counts as an end that was not seen, here and at the peers, so that the caller's next try
        does not begin anew with a task that ends its workers.
        """
        job = self._jobs.get(job_id)
        runs = [] if job is None else [t for t in job.tasks.values() if t.phase in ON_WORKER]
        unseen = [
            RunPresumedOver(
                worker=task.worker, job_id=job_id, task=task.key, run=task.run, lost_s=0.0
            )
            for task in runs
        ]
        for over in unseen:
            crash = Crash(incarnation=over.worker, age_s=None, is_observed=False)
            self._crashes.record(job_id, over.task, crash, now=now)
        return [*self.cancel(job_id), *unseen]

    def add_worker(self, view: WorkerView, *, now: float) -> None:
        """Take in a worker that its agent announced."""
        self._workers[view.name] = view
        view.is_evacuated = view.data_centre in self._evacuated
        self._refusals.note_new_worker(now=now)
        self._seen.add(view)
        self._speeds.note_added(view)

    def resize_worker(self, name: str, capacity: Resources) -> None:
        """Take in what a worker has by now; the report that follows says what of it is free."""
        view = self._workers.get(name)
        if view is not None:
            view.resize(capacity)
            self._seen.add(view)

    def set_evacuated(self, data_centres: frozenset[str], *, now: float) -> list[Action]:
        """Start nothing in these data centres, and use the others again; what runs goes on.

        Their workers count as seen all the same: a job that they alone can hold waits, and is not
        called hopeless.
        """
        self._evacuated = data_centres
        for view in self._workers.values():
            view.is_evacuated = view.data_centre in data_centres
        return self.dispatch(now=now)

    def update_worker(self, name: str, report: CapacityReport, *, now: float) -> list[Action]:
        """Take in an agent's report on its worker."""
        view = self._workers.get(name)
        if view is None:
            return []
        view.update(report, now=now)
        # A peer may have told that it lost the worker, which its agent still has.
        self._clear_unseen(name)
        if report.pace >= SLOW_PACE * (view.baseline_slowness or 1.0):
            # All owners' runs tell of it, so an owner need not lose tasks there to learn it.
            view.learn_slowness(report.pace, now=now, weight=PACE_WEIGHT)
        actions: list[Action] = []
        if view.is_accepting and view.free.cpu >= self._dispatcher.min_waiting_cpu:
            actions = self.dispatch(now=now)
        moves = self._departures.review(now=now)
        return [*actions, *moves, *self._wants.decline_unneeded_offer(view, actions)]

    def note_capacity_releases(
        self, name: str, rows: tuple[CapacityRelease, ...], *, now: float
    ) -> None:
        """Take in when room comes free on a worker."""
        view = self._workers.get(name)
        if view is not None:
            view.set_releases(rows, now=now)

    def note_speed(self, name: str, speed: WorkerSpeed) -> None:
        """Take in what an agent has learned of its worker's speed."""
        view = self._workers.get(name)
        if view is not None and self._policy.learns_speeds:
            self._speeds.note_reported(view, speed)

    def note_departure(self, name: str, in_s: float | None, *, now: float) -> None:
        """Take in how long a worker stays at the least, or that it stays after all."""
        view = self._workers.get(name)
        if view is None or (in_s is not None and not is_plausible(in_s)):
            return
        view.leaves_at = None if in_s is None else now + in_s
        if in_s is None:
            self._departures.forget_worker(name)

    def note_departure_risk(
        self, name: str, job_id: str, key: TaskKey, run: int, report: DepartureRisk, *, now: float
    ) -> list[Action]:
        """Take in that a worker is expected to leave before a run there ends."""
        job = self._jobs.get(job_id)
        task = job.tasks.get(key) if job else None
        if not self._policy.plans_departures or job is None or task is None:
            return []
        if task.worker != name or task.run != run or task.phase is not TaskPhase.PLACED:
            return []
        self._departures.note(job, task, report, now=now)
        return self._departures.review(now=now)

    def note_demand(self, entry: str, words: tuple[QueuedDemand, ...], *, now: float) -> bool:
        """Take in all that waits at another entry; return False if it is not used."""
        return self._policy.shares_demand and self._demand.record(entry, words, now)

    def forget_demand(self, entry: str) -> None:
        """Note that another entry is out of reach."""
        self._demand.forget(entry)

    def get_demand(self, *, now: float) -> tuple[QueuedDemand, ...]:
        """Return what waits here, for the other entries."""
        if not self._policy.shares_demand:
            return ()
        return summarize_waiting(self._jobs.values(), self._run_times, now=now)

    def lose_worker(self, name: str, *, now: float) -> list[Action]:
        """Note that a worker's agent is out of reach; its runs may go on for a while."""
        view = self._workers.pop(name, None)
        if view is not None:
            self._speeds.note_lost(view)
        self._wants.forget(name)
        self._departures.forget_worker(name)
        for _, task in self._get_runs_on(name):
            task.phase = TaskPhase.LOST
            task.free_at = now + self._limits.lost_run_s
        return self.dispatch(now=now)

    def reconcile(
        self, name: str, listed: Iterable[tuple[str, TaskKey, int]], *, now: float
    ) -> list[Action]:
        """Compare with what an agent has after its link is back.

        A run that the agent does not list is over. A listed run that is not wanted is stopped.
        """
        self._clear_unseen(name)
        listed_runs = set(listed)
        actions: list[Action] = []
        wanted: set[tuple[str, TaskKey, int]] = set()
        for job, task in self._get_runs_on(name):
            run = (job.request.id, task.key, task.run)
            if run not in listed_runs:
                # How it ended was lost with the link: it may have given way.
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
                is_observed=is_observed,
                has_begun=row.has_begun,
            )
            is_news = self._crashes.record(row.job_id, row.task, crash, now=now)
            job = self._jobs.get(row.job_id)
            if job is None:
                continue
            if not is_relayed:
                self._end_crashed(job, row.task, incarnation)
            if is_news:
                suspects[row.job_id] = job
        given_up = [action for job in suspects.values() for action in self._judge(job, now)]
        return [*given_up, *self.dispatch(now=now)]

    def list_crashes(self) -> dict[Crash, list[CrashedTask]]:
        """Return the tasks under which workers have ended lately, by that end."""
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
        """Take in how a run ended; ends of runs that are no longer meant change nothing."""
        job = self._jobs.get(job_id)
        task = job.tasks.get(key) if job else None
        if job is None or task is None or task.run != run or task.worker != name:
            return []
        if task.phase in (TaskPhase.DONE, TaskPhase.WAITING, TaskPhase.BLOCKED):
            return []
        if reason is EndReason.CRASHED:
            row = CrashedTask(job_id=job_id, task=key, age_s=None)
            return self.note_crash(name, [row], now=now)
        if reason is EndReason.DONE:
            return self._end_well(job, task, run_s, now)
        if reason is EndReason.FAILED:
            return self._end_badly(job, task, now)
        self._end_unfinished(job, task, reason)
        return self.dispatch(now=now)

    def handle_slow_run(
        self, name: str, job_id: str, key: TaskKey, run: int, report: SlowRun, *, now: float
    ) -> list[Action]:
        """Move a run that crawls or stands still if a new one elsewhere would end sooner."""
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
        if not self._is_simply_long(view, report, now):
            view.learn_slowness(pace, now=now, weight=PACE_WEIGHT)
        else:
            pace = view.baseline_slowness or 1.0
            if not would_be_late(job, task, report, baseline_slowness=pace, now=now):
                return []
        if not report.is_stalled:
            elsewhere = self._choice.begin(now=now).choose(job, task)
            if elsewhere is None or elsewhere.name == task.worker:
                return []
            if not is_move_beneficial(report, pace=pace, elsewhere=elsewhere, now=now):
                return []
            task.slow_moves += 1
        task.phase = TaskPhase.STOPPING
        task.avoided.add(name)
        return [StopTask(worker=name, job_id=job_id, task=key, run=run)]

    def tick(self, *, now: float) -> list[Action]:
        """Free lost runs whose time is over, refuse what waited too long, place the rest."""
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
            freed += self._judge(job, now)
        if not self._policy.forecasts:
            placed = [*self._refuse(self._refusals.find_due(now=now), now), *self.dispatch(now=now)]
            return [*freed, *placed, *self._departures.review(now=now)]
        # What can still be on time has the first claim on room.
        placed = self.dispatch(now=now)
        placed += self._serve_or_refuse(self._refusals.find_due(now=now), now)
        return [*freed, *placed, *self._departures.review(now=now)]

    def dispatch(self, *, now: float) -> list[Action]:
        """Place waiting tasks while there is room."""
        return self._dispatcher.dispatch(now=now)

    def _is_simply_long(self, view: WorkerView, report: SlowRun, now: float) -> bool:
        """Tell whether a slow run says nothing of its worker, and would be as long elsewhere.

        Where a worker's kind is known, only several runs show that it has turned slow.
        """
        if view.baseline_slowness is None or report.is_stalled:
            return False
        is_slow = report.worker_pace >= SLOW_PACE * view.baseline_slowness
        return not is_slow and not view.has_turned_slow(now)

    def _end_well(self, job: Job, task: Task, run_s: float, now: float) -> list[Action]:
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
        """Take in how long a task that ended well took, for its worker and for its queue."""
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

    def _end_badly(self, job: Job, task: Task, now: float) -> list[Action]:
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
        actions = self._give_up(job)
        cause = f"task {task.key.step}.{task.key.position} failed {task.failures} times"
        return [*actions, self._finish(job, JobState.FAILED, cause, now)]

    def _end_unfinished(self, job: Job, task: Task, reason: EndReason) -> None:
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

    def _end_crashed(self, job: Job, key: TaskKey, incarnation: str) -> None:
        """Let a task wait again whose worker has crashed, if it still ran there."""
        task = job.tasks.get(key)
        if task is not None and task.worker == incarnation and task.phase in ON_WORKER:
            # It may have been told to give way when its worker ended.
            task.has_given_way = True
            job.leave_worker(task)
            job.set_waiting(task)

    def _judge(self, job: Job, now: float) -> list[Action]:
        """Note which tasks of a job are suspects; give the job up for one that is to blame."""
        job_id = job.request.id
        if job_id not in self._crashes:
            return []
        self._set_suspicions(job)
        open_tasks = (key for key, task in job.tasks.items() if task.phase is not TaskPhase.DONE)
        guilty = next(
            (key for key in open_tasks if self._crashes.should_give_up(job_id, key)), None
        )
        if guilty is None:
            return []
        crashes = self._crashes.get(job_id, guilty)
        given_up = TaskGivenUp(job=job.request, task=guilty, crashes=crashes)
        cause = f"{len(crashes)} workers ended under task {guilty.step}.{guilty.position}"
        stops = self._give_up(job)
        return [given_up, *stops, self._finish(job, JobState.FAILED, cause, now)]

    def _clear_unseen(self, incarnation: str) -> None:
        """Note that a worker's life is there, so that it has not ended."""
        for job_id in self._crashes.clear_unconfirmed(incarnation) & self._jobs.keys():
            self._set_suspicions(self._jobs[job_id])

    def _set_suspicions(self, job: Job) -> None:
        job_id = job.request.id
        job.is_cautious = self._crashes.is_job_suspect(job_id)
        for key, task in job.tasks.items():
            task.is_suspect = self._crashes.is_suspect(job_id, key)

    def _presume_over(self, job: Job, task: Task, now: float) -> RunPresumedOver:
        """Let a lost run's task wait for a worker again."""
        over = RunPresumedOver(
            worker=task.worker,
            job_id=job.request.id,
            task=task.key,
            run=task.run,
            lost_s=now - (task.free_at - self._limits.lost_run_s),
        )
        task.has_given_way = True
        job.leave_worker(task)
        job.set_waiting(task)
        unseen = Crash(incarnation=over.worker, age_s=None, is_observed=False)
        self._crashes.record(job.request.id, task.key, unseen, now=now)
        return over

    def _serve_or_refuse(self, jobs: list[Job], now: float) -> list[Action]:
        """Refuse only what no worker with room could still serve."""
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

    def _give_up(self, job: Job) -> list[Action]:
        """Stop every run. A lost one is named too: it counts as running until it surely ended."""
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
