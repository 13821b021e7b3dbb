"""The owner: accepts jobs, places their tasks and returns one result for each job.

Methods receive the time as an argument and only change state. :meth:`Owner.collect` then places
waiting tasks and returns all messages, so that events handled together share frames.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from dalemast.core.admission import BaseAdmission, RetryBudget, get_admission
from dalemast.core.configuration import Account, ConfigurationHolder, EndpointState
from dalemast.core.dispatch.backlog import Backlog
from dalemast.core.dispatch.base import JobRequest, JobResult, OwnerEffects, OwnerPolicy
from dalemast.core.dispatch.dispatching import Dispatcher
from dalemast.core.dispatch.exceptions import (
    DeadlinePassed,
    EndpointFailed,
    NothingCanRun,
    UnknownService,
    WorkerLost,
)
from dalemast.core.dispatch.forecasting import ASSUMED_RUN_S, Forecaster
from dalemast.core.dispatch.jobs import Job
from dalemast.core.dispatch.link_registry import LinkRegistry
from dalemast.core.dispatch.links import OutstandingTask, WorkerLink
from dalemast.core.exceptions import DalemastError
from dalemast.core.placement import (
    AccountHealth,
    WorkerPool,
    get_placement,
)
from dalemast.core.selectors import Selector, SelectorMatchesNothing, parse_selector
from dalemast.core.verdicts import TaskState
from dalemast.core.wire import (
    AgentFrame,
    AgentHello,
    EntryHello,
    RefusalReason,
    TaskAnswer,
    TaskRefusal,
)

__all__ = ["Owner"]

OVERDUE_FACTOR = 4.0
MIN_OVERDUE_S = 0.3
"""A task is overdue after OVERDUE_FACTOR times its expected run time, and this at least."""


class Owner:
    """The jobs of one entry incarnation."""

    def __init__(
        self,
        *,
        incarnation: str,
        entry: str,
        configuration: ConfigurationHolder,
        policy: OwnerPolicy,
        rng: random.Random,
        now: float,
    ) -> None:
        self._incarnation = incarnation
        self._entry = entry
        self._configuration = configuration
        self._policy = policy
        self._admission: BaseAdmission = get_admission(policy.admission)
        self._pool = WorkerPool()
        self._links = LinkRegistry()
        self._health = AccountHealth()
        self._backlog = Backlog()
        self._forecaster = Forecaster(backlog=self._backlog, health=self._health)
        self._dispatcher = Dispatcher(
            backlog=self._backlog,
            pool=self._pool,
            links=self._links,
            health=self._health,
            placement=get_placement(
                policy.placement, data_centre=policy.data_centre, queue_limit=policy.queue_limit
            ),
            configuration=configuration,
            rng=rng,
            on_infeasible=self._fail_infeasible,
        )
        self._retries = RetryBudget(rate_per_s=500.0, now=now)
        self._jobs: dict[int, Job] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._results: list[JobResult] = []
        self._last_number = 0
        self._must_dispatch = False
        self._entries = 1
        self._replaced_tasks = 0
        self._deferred_jobs: list[Job] = []

    @property
    def incarnation(self) -> str:
        """The random identifier of this run of the entry process."""
        return self._incarnation

    @property
    def pool(self) -> WorkerPool:
        """The workers known to this owner."""
        return self._pool

    @property
    def health(self) -> AccountHealth:
        """The health of services and workers, tracked by account."""
        return self._health

    @property
    def entry_count(self) -> int:
        """The number of live entries, this one included."""
        return self._entries

    @property
    def open_jobs(self) -> int:
        """The number of jobs without a result."""
        return len(self._jobs)

    @property
    def backlog(self) -> Backlog:
        """The queued jobs and the usage of each account."""
        return self._backlog

    @property
    def replaced_tasks(self) -> int:
        """The number of tasks that were returned unstarted and queued again."""
        return self._replaced_tasks

    # Configuration and membership

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries, which share the account limits equally."""
        self._entries = max(1, count)

    def apply_configuration(self) -> None:
        """Update workers and links from the configuration in force."""
        self._pool.update(self._configuration.current.endpoints)
        self._links.update(self._pool)
        self._must_dispatch = True

    def set_leaving_hosts(self, workers: Iterable[str]) -> None:
        """Mark the workers that the host list reports as leaving, and no others."""
        leaving = set(workers)
        for view in self._pool.get_views():
            view.is_host_leaving = view.endpoint.worker in leaving

    # Jobs

    def submit(self, *, now: float, request: JobRequest) -> int:
        """Accept a job and return its number, or raise an error; no task has run then."""
        service = self._configuration.get_service(request.service)
        if service is None:
            raise UnknownService(f"no service is named {request.service!r}", place="$.service")
        selectors = (parse_selector(service.selector), parse_selector(request.selector))
        candidates = self._pool.get_candidates(service=request.service, selectors=selectors)
        if not candidates:
            raise SelectorMatchesNothing(
                f"no endpoint serves {request.service!r} with {request.selector!r}",
                place="$.selector",
            )
        if all(view.endpoint.state is EndpointState.LEAVING for view in candidates):
            raise NothingCanRun(
                f"every endpoint for {request.service!r} is leaving", retry_after_s=5.0
            )
        account = self._configuration.accounts[request.account]
        admission_request = self._forecaster.make_request(
            account=account,
            request=request,
            slots=self._pool.get_usable_slots(
                service=request.service, selectors=selectors, now=now
            ),
            entries=self._entries,
        )
        self._admission.check(request=admission_request, entries=self._entries, now=now)
        return self._open_job(now, request, selectors, account)

    def cancel(self, *, job: int, error: DalemastError) -> None:
        """Fail an open job with an error; do nothing for unknown and finished jobs."""
        found = self._jobs.get(job)
        if found is not None:
            self._fail(found, error)

    def is_waiting(self, job: int) -> bool:
        """Return whether a job is open and has tasks that were not sent."""
        found = self._jobs.get(job)
        return found is not None and bool(found.waiting)

    def _open_job(
        self,
        now: float,
        request: JobRequest,
        selectors: tuple[Selector, Selector],
        account: Account,
    ) -> int:
        self._last_number += 1
        job = Job(
            number=self._last_number,
            request=request,
            selectors=selectors,
            now=now,
        )
        self._jobs[job.number] = job
        heapq.heappush(self._deadlines, (job.deadline_at, job.number))
        self._backlog.add(job, weight=account.weight)
        self._must_dispatch = True
        return job.number

    # Links

    def make_hello(self, worker: str) -> EntryHello | None:
        """Return the first message for a new connection to a worker's agent."""
        link = self._links.get(worker)
        if link is None:
            return None
        return link.make_hello(
            owner=self._incarnation, entry=self._entry, data_centre=self._policy.data_centre
        )

    def open_link(self, *, now: float, worker: str, hello: AgentHello) -> None:
        """Handle the agent's hello; with a new session, all outstanding tasks are lost."""
        link = self._links.get(worker)
        if link is None:
            return
        if hello.session != link.view.session:
            self._fail_lost_tasks(link, link.reset_session(hello.session))
        else:
            link.prepare_resend(now)
        link.view.open_session(session=hello.session, slots=hello.slots)
        link.view.handle_report(load=hello.load, now=now)
        self._must_dispatch = True

    def close_link(self, *, worker: str) -> None:
        """Mark a link as down; its tasks stay unresolved, since the agent may still run them."""
        link = self._links.get(worker)
        if link is not None:
            link.view.is_linked = False

    def lose_worker(self, *, worker: str) -> None:
        """Fail the jobs with tasks at an unreachable worker; those tasks may have run."""
        link = self._links.get(worker)
        if link is not None and link.outstanding:
            self._fail_lost_tasks(link, link.reset_session(""))

    def has_outstanding(self, worker: str) -> bool:
        """Return whether a worker holds tasks of this owner."""
        link = self._links.get(worker)
        return link is not None and bool(link.outstanding)

    def receive(self, *, now: float, worker: str, frame: AgentFrame) -> None:
        """Process a frame of an agent, unless it was processed before."""
        link = self._links.get(worker)
        if link is None or not link.accept_number(frame, now):
            return
        link.view.handle_report(load=frame.load, now=now)
        if frame.load.draining:
            link.request_confirmation()
        for answer in frame.answers:
            self._handle_answer(link, answer, now)
        for refusal in frame.refusals:
            self._handle_refusal(link, refusal, now)
        self._must_dispatch = True

    def _handle_answer(self, link: WorkerLink, answer: TaskAnswer, now: float) -> None:
        item = link.resolve((answer.job, answer.index))
        if item is None:
            return
        job = item.job
        self._reconcile_usage(link, item, answer.run_ms / 1000.0)
        self._observe(link, item, answer.run_ms / 1000.0, is_failure=bool(answer.error), now=now)
        if answer.error:
            job.set_state(answer.index, TaskState.FAILED)
            if job.is_open:
                error = EndpointFailed(answer.error, place=f"$.tasks[{answer.index}]")
                self._fail(job, error)
            return
        job.answer(answer.index, answer.value)
        if job.is_open and job.is_answered:
            self._finish(job)

    def _handle_refusal(self, link: WorkerLink, refusal: TaskRefusal, now: float) -> None:
        item = link.resolve((refusal.job, refusal.index))
        if item is None:
            return
        job = item.job
        self._reconcile_usage(link, item, 0.0)
        if refusal.reason is RefusalReason.FULL:
            link.view.await_capacity()
        if refusal.reason is RefusalReason.UNREACHABLE:
            self._observe(link, item, 0.0, is_failure=True, now=now)
        if not job.is_open:
            job.set_state(refusal.index, TaskState.REVOKED)
            return
        if refusal.reason is RefusalReason.DEADLINE and now >= job.deadline_at:
            job.set_state(refusal.index, TaskState.REVOKED)
            self._fail(job, DeadlinePassed("the deadline passed before the task started"))
            return
        self._requeue(job, refusal, now)

    def _requeue(self, job: Job, refusal: TaskRefusal, now: float) -> None:
        account = self._configuration.accounts.get(job.request.account)
        self._backlog.remove(job)
        job.set_state(refusal.index, TaskState.WAITING)
        self._replaced_tasks += 1
        rate = 1.0 if account is None else account.limits.retries_per_s
        is_free = refusal.reason in (RefusalReason.DRAINING, RefusalReason.REVOKED)
        if is_free or self._retries.take(account=job.request.account, rate_per_s=rate, now=now):
            self._backlog.add(job, weight=self._get_weight(job.request.account), is_first=True)
        else:
            # The retry budget is used up: delay the task until the next tick.
            self._deferred_jobs.append(job)

    def _get_weight(self, account: str) -> float:
        declared = self._configuration.accounts.get(account)
        return 1.0 if declared is None else declared.weight

    def _requeue_deferred(self) -> None:
        for job in self._deferred_jobs:
            if job.is_open:
                self._backlog.add(job, weight=self._get_weight(job.request.account), is_first=True)
        self._deferred_jobs.clear()

    def _observe(
        self, link: WorkerLink, item: OutstandingTask, run_s: float, *, is_failure: bool, now: float
    ) -> None:
        if self._policy.is_ejecting:
            self._health.observe(
                account=item.job.request.account,
                worker=link.view.name,
                service=item.job.request.service,
                run_s=run_s,
                is_failure=is_failure,
                now=now,
                workers=len(self._pool),
                trial=item.trial,
            )

    def _reconcile_usage(self, link: WorkerLink, item: OutstandingTask, used_s: float) -> None:
        request = item.job.request
        health = self._health.get(request.account)
        health.note_resolved(link.view.name, trial=item.trial)
        self._backlog.get_usage(request.account).running -= 1
        expected = health.get_expected_run_s(request.service)
        self._backlog.charge(request.account, used_s - expected)

    def _fail_lost_tasks(self, link: WorkerLink, items: list[OutstandingTask]) -> None:
        for item in items:
            self._reconcile_usage(link, item, 0.0)
            item.job.set_state(item.index, TaskState.LOST)
        for item in items:
            if item.job.is_open:
                error = WorkerLost(
                    f"endpoint {link.view.name} was lost while it held task {item.index}"
                )
                self._fail(item.job, error)

    # Time

    def tick(self, *, now: float) -> None:
        """Handle deadlines, overdue tasks, ended ejections and late confirmations."""
        self._expire(now)
        self._requeue_deferred()
        self._must_dispatch |= self._health.tick(now=now)
        for link in self._links.get_watched():
            self._check_overdue(link, now)
            is_old = now - link.unconfirmed_since >= self._policy.confirm_after_s
            if link.is_unconfirmed and (is_old or link.view.is_draining):
                link.request_confirmation()
        if len(self._backlog):
            self._must_dispatch = True

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heapq.heappop(self._deadlines)
            job = self._jobs.get(number)
            if job is not None:
                self._fail(
                    job, DeadlinePassed("the deadline passed before all tasks were answered")
                )

    def _check_overdue(self, link: WorkerLink, now: float) -> None:
        """Revoke each overdue task once, and record it as slow for the health of its worker."""
        for key, item in list(link.outstanding.items()):
            if key in link.overdue:
                continue
            request = item.job.request
            health = self._health.get(request.account)
            expected = health.get_expected_run_s(request.service, ASSUMED_RUN_S)
            age = now - item.sent_at
            if age < max(expected * OVERDUE_FACTOR, MIN_OVERDUE_S):
                continue
            link.overdue.add(key)
            link.view.overdue = len(link.overdue)
            if self._policy.is_ejecting:
                health.observe_overdue(
                    worker=link.view.name,
                    service=request.service,
                    running_s=age,
                    now=now,
                    workers=len(self._pool),
                )
            if self._policy.revoke_factor and self._policy.queue_limit and item.job.is_open:
                link.add_revoke(key)

    # Results

    def _finish(self, job: Job) -> None:
        del self._jobs[job.number]
        self._results.append(job.finish())

    def _fail(self, job: Job, error: DalemastError) -> None:
        """Close a job with an error and cancel it at the agents that hold its tasks."""
        self._backlog.remove(job)
        del self._jobs[job.number]
        result = job.fail(error)
        error.run = result.run
        self._results.append(result)
        unresolved = job.get_unresolved()
        if not unresolved:
            return
        for link in self._links.get_watched():
            if any((job.number, index) in link.outstanding for index in unresolved):
                link.add_cancel(job.number)

    def _fail_infeasible(self, job: Job) -> None:
        self._fail(job, DeadlinePassed("the remaining time is too short to run the job"))

    # Dispatch

    def collect(self, *, now: float) -> OwnerEffects:
        """Place waiting tasks and return all frames and results that are due."""
        if self._must_dispatch:
            self._must_dispatch = False
            self._dispatcher.dispatch(now=now, entries=self._entries)
        frames = tuple(
            (link.view.name, frame)
            for link in self._links.take_due()
            for frame in link.take_frames(
                now=now,
                configuration_version=self._configuration.version,
                is_task_by_task=self._policy.is_task_by_task,
            )
        )
        results = tuple(self._results)
        self._results.clear()
        return OwnerEffects(frames=frames, results=results)
