"""Controls the worker: sends the supervisor's orders and polls its runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from dalemast import clock
from dalemast.core.scheduling import CapacityRequest, EndReason
from dalemast.core.supervision import (
    Action,
    OrderStart,
    OrderStop,
    PollSchedule,
    PreemptRun,
    ReportCapacity,
    ReportDeparture,
    ReportDepartureRisk,
    ReportEnd,
    ReportSlow,
    Run,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    WorkerIncarnation,
    list_crashed,
)
from dalemast.fleet.agent.owners import OwnerLinks
from dalemast.fleet.agent.stops import STOP_RETRY_S, StopTracker
from dalemast.fleet.base import (
    BaseWorkerDriver,
    WorkerGone,
    WorkerReplaced,
    WorkerUnanswered,
)
from dalemast.observability import Metrics, log_event

__all__ = ["WorkerLoop"]

REFUSED_RETRY_S = 0.02
"""Delay before the retry after a refused connection, in seconds."""
ORPHANS_POLL_INTERVAL_S = 0.02
"""Delay after a poll, in seconds, while only orphaned runs, which are being stopped, are left."""
LOGGED_UNANSWERED_POLLS = 2
"""Number of consecutive unanswered polls at which the worker is logged as unresponsive."""
MAX_IDLE_SLEEP_S = 0.5
"""Maximum sleep while nothing runs, in seconds; a start wakes the loop."""
IDLE_POLL_INTERVAL_S = 2.0
"""Interval between polls while nothing runs, in seconds. These polls read the worker's clock: a
reading that is too old shortens the leases by the possible clock error."""
MAX_LOGGED_TASKS = 20
"""Maximum number of tasks in the log line of a lost worker."""
LATE_START_S = 0.1
"""Starts that take longer, in seconds, are logged: they needed a retry or were delayed by a process
pause."""


class WorkerLoop:
    """Polls the worker in one task, and sends each order in a task of its own."""

    def __init__(
        self, *, supervisor: Supervisor, driver: BaseWorkerDriver, metrics: Metrics
    ) -> None:
        self._supervisor = supervisor
        self._driver = driver
        self._metrics = metrics
        self._owners: OwnerLinks | None = None
        self._wake = asyncio.Event()
        self._orders: set[asyncio.Task[None]] = set()
        self._addressed_id = ""
        self._rejected_id = ""
        self._polls = PollSchedule()
        self._refused = 0
        self._polled_at = float("-inf")
        self._answered_at = float("-inf")
        """When the last call was sent that the worker has responded to."""
        self._stops = StopTracker()

    def set_owners(self, owners: OwnerLinks) -> None:
        """Set the links over which ends and capacity are reported."""
        self._owners = owners

    def register_incarnation(self, incarnation: WorkerIncarnation) -> None:
        """Handle a report of the worker."""
        known = self._supervisor.incarnation
        if (
            known is not None
            and known.id == incarnation.id
            and known.is_leaving != incarnation.is_leaving
        ):
            log_event("worker:leaving", worker=incarnation.id, remaining_s=incarnation.remaining_s)
        if (
            known is not None
            and known.id == incarnation.id
            and known.capacity != incarnation.capacity
        ):
            log_event(
                "worker:resized",
                worker=incarnation.id,
                cpu=incarnation.capacity.cpu,
                cpu_before=known.capacity.cpu,
                memory_mb=incarnation.capacity.memory_mb,
                free_cpu=incarnation.capacity.cpu
                - known.capacity.cpu
                + self._supervisor.get_free().cpu,
            )
        actions = self._supervisor.register_incarnation(incarnation, now=clock.monotonic())
        accepted = self._supervisor.incarnation
        if accepted is None or accepted.id != incarnation.id:
            self._log_rejected(incarnation.id, accepted)
        self._follow_incarnation()
        self.apply(actions)
        self._wake.set()

    def _log_rejected(self, incarnation_id: str, accepted: WorkerIncarnation | None) -> None:
        """Log a report of an incarnation that was not accepted, once for consecutive reports."""
        if incarnation_id == self._rejected_id:
            return
        self._rejected_id = incarnation_id
        log_event(
            "worker:doubtful-report",
            worker=incarnation_id,
            believed=accepted.id if accepted else "",
        )

    def lose_incarnation(self, incarnation_id: str) -> None:
        """Handle the deregistration of a worker incarnation."""
        log_event("worker:deregistered", worker=incarnation_id)
        self._change_incarnation(lambda: self._supervisor.end_incarnation(incarnation_id))

    def restore_incarnation(self, incarnation_id: str) -> None:
        """Undo a deregistration that another writer sent."""
        if self._supervisor.restore_incarnation(incarnation_id):
            log_event("worker:restored", worker=incarnation_id)
            self.apply([ReportCapacity()])

    def start(self, request: StartRequest) -> None:
        """Handle a start order of an owner."""
        self.apply(self._supervisor.start(request, now=clock.monotonic()))

    def stop(self, run_id: RunId, owner: str) -> None:
        """Handle a stop order of an owner."""
        self.apply(self._supervisor.stop(run_id, owner=owner, now=clock.monotonic()))

    def handle_capacity_request(
        self, owner: str, request: CapacityRequest | None, sent_at: float
    ) -> None:
        """Preempt runs for a capacity request, or release the owner's reservation if it is None."""
        now = clock.monotonic()
        if request is None:
            self.apply(self._supervisor.withdraw_request(owner))
        else:
            self.apply(self._supervisor.preempt(owner, request, sent_at=sent_at, now=now))

    def apply(self, actions: list[Action]) -> None:
        """Carry out the actions of the supervisor."""
        assert self._owners is not None
        has_capacity_changed = False
        for action in actions:
            match action:
                case OrderStart():
                    self._spawn(self._order_start(action.request))
                case OrderStop():
                    self._order_stop_once(action.run_id)
                case PreemptRun():
                    self._log_preemption(action)
                    self._order_stop_once(action.run_id)
                case ReportEnd():
                    self._count_end(action)
                    self._owners.report_end(action)
                case ReportSlow():
                    self._owners.report_slow(action)
                case ReportDeparture():
                    self._owners.report_departure(action)
                case ReportDepartureRisk():
                    self._metrics.count("runs.cut-short")
                    self._owners.report_departure_risk(action)
                case ReportCapacity():
                    has_capacity_changed = True
        if has_capacity_changed:
            self._owners.mark_capacity_changed()
        if self._supervisor.has_work:
            self._wake.set()

    def tick(self, now: float) -> None:
        """Stop the runs of owners that have timed out, and repeat stops that had no effect."""
        actions = self._supervisor.tick(now=now)
        self._log_owner_timeouts(actions, now)
        self.apply(actions)
        for run_id in self._supervisor.get_unstopped(now=now, older_than_s=STOP_RETRY_S):
            self._order_stop_once(run_id)

    async def run(self) -> None:
        """Poll the worker, and sleep while no poll is due; run until cancelled."""
        while True:
            if not self._is_poll_due():
                self._wake.clear()
                try:
                    await asyncio.wait_for(self._wake.wait(), MAX_IDLE_SLEEP_S)
                except TimeoutError:
                    continue
                continue
            await self._poll()

    def _is_poll_due(self) -> bool:
        if self._supervisor.incarnation is None:
            return False
        return (
            self._supervisor.has_work or clock.monotonic() - self._polled_at > IDLE_POLL_INTERVAL_S
        )

    async def _poll(self) -> None:
        assert self._owners is not None
        has_runs = bool(self._supervisor.runs)
        self._polled_at = clock.monotonic()
        plan = self._polls.plan(has_runs=has_runs, now=self._polled_at)
        try:
            result = await self._driver.poll(plan, limit=self._supervisor.get_lease_limit())
        except WorkerUnanswered:
            self._polls.note_unanswered()
            self._check_unresponsive()
            lease_left_s = self._driver.leased_until - clock.monotonic()
            await asyncio.sleep(self._polls.get_pause_s(lease_left_s=lease_left_s))
            self._give_up_expired()
            return
        except WorkerReplaced as error:
            log_event("worker:replaced", reason=str(error))
            self._change_incarnation(lambda: self._supervisor.lose_incarnation(is_over=True))
            return
        except WorkerGone as error:
            await self._handle_refused(str(error))
            return
        now = clock.monotonic()
        self._polls.note_answer(now=now)
        self._answered_at = max(self._answered_at, result.asked_at)
        self._refused = 0
        incarnation = self._supervisor.incarnation
        if incarnation is not None:
            self._owners.record_worker_alive(incarnation.id)
        actions = self._supervisor.handle_poll(
            result.running, result.ended, asked_at=result.asked_at, now=now
        )
        self.apply(actions)
        if not has_runs and self._supervisor.has_work:
            await asyncio.sleep(ORPHANS_POLL_INTERVAL_S)

    def _check_unresponsive(self) -> None:
        if self._polls.is_newly_unresponsive(now=clock.monotonic()):
            self.apply(self._supervisor.note_unresponsive())
        if self._polls.unanswered == LOGGED_UNANSWERED_POLLS:
            log_event("worker:silent", runs=len(self._supervisor.runs))

    def _give_up_expired(self) -> None:
        """Give up an unresponsive worker once its leases have expired, so its tasks can restart."""
        if clock.monotonic() > self._driver.leased_until:
            self._change_incarnation(lambda: self._supervisor.lose_incarnation(is_over=False))

    async def _handle_refused(self, reason: str) -> None:
        """Give up the incarnation after two refused connections in a row; one may be transient."""
        self._refused += 1
        if self._refused < 2:
            await asyncio.sleep(REFUSED_RETRY_S)
            return
        log_event("worker:refused", reason=reason)
        self._refused = 0
        self._change_incarnation(
            lambda: self._supervisor.lose_incarnation(is_over=False, is_refused=True)
        )

    def _change_incarnation(self, change: Callable[[], list[Action]]) -> None:
        """Apply a change to the supervisor, and address calls to the resulting incarnation."""
        before = self._supervisor.incarnation
        runs = list(self._supervisor.runs.values())
        is_planned = self._supervisor.is_leaving
        actions = change()
        after = self._supervisor.incarnation
        if before is not None and (after is None or after.id != before.id):
            has_crashed = any(
                isinstance(action, ReportEnd) and action.reason is EndReason.CRASHED
                for action in actions
            )
            self._report_gone(before, runs, has_crashed=has_crashed, is_planned=is_planned)
        self._follow_incarnation()
        self.apply(actions)

    def _report_gone(
        self,
        incarnation: WorkerIncarnation,
        runs: list[Run],
        *,
        has_crashed: bool,
        is_planned: bool,
    ) -> None:
        """Report the end of an incarnation and what ran on it: a task may have crashed it."""
        assert self._owners is not None
        now = clock.monotonic()
        self._metrics.count("workers.crashed" if has_crashed else "workers.gone")
        if runs and not is_planned:
            # Sent before the ends of the runs, since owners then restart the tasks. If there was no
            # response for a whole lease, for example during a process pause, the runs may have
            # ended before the crash, which then does not count as observed.
            is_observed = has_crashed and now - self._answered_at <= self._supervisor.lease_s
            tasks = list_crashed(runs, ended_at=now if is_observed else None)
            self._owners.report_crash(incarnation.id, tasks, is_observed=is_observed)
        log_event(
            "worker:gone",
            worker=incarnation.id,
            runs=len(runs),
            has_crashed=has_crashed,
            tasks=[_describe(run, now) for run in runs[:MAX_LOGGED_TASKS]],
        )

    def _follow_incarnation(self) -> None:
        """Address calls to the current incarnation of the supervisor."""
        incarnation = self._supervisor.incarnation
        if incarnation is None:
            self._addressed_id = ""
            return
        if incarnation.id == self._addressed_id:
            return
        self._addressed_id = incarnation.id
        self._driver.register(incarnation)
        self._polls.begin_incarnation()
        self._refused = 0
        log_event("worker:met", worker=incarnation.id, cpu=incarnation.capacity.cpu)

    async def _order_start(self, request: StartRequest) -> None:
        began = clock.monotonic()
        outcome = await self._driver.start(
            request, get_limit=lambda: self._supervisor.get_order_limit(request.run_id)
        )
        now = clock.monotonic()
        self._metrics.record("start-order", "", now - began)
        self._log_start(request.run_id, outcome, took_s=now - began)
        if outcome is StartOutcome.RUNNING:
            self._answered_at = max(self._answered_at, began)
        actions = self._supervisor.handle_start_outcome(
            request.run_id, outcome, now=now, expires_at=self._driver.leased_until
        )
        self.apply(actions)

    def _log_start(self, run_id: RunId, outcome: StartOutcome, *, took_s: float) -> None:
        is_running = outcome is StartOutcome.RUNNING
        if not is_running:
            self._metrics.count(f"orders.{outcome.value}")
        if is_running and took_s < LATE_START_S:
            return
        log_event(
            "start:late" if is_running else "start:not-running",
            job=run_id.job_id,
            position=run_id.task.position,
            run=run_id.run,
            outcome=outcome.value,
            took_s=round(took_s, 3),
        )

    def _log_owner_timeouts(self, actions: list[Action], now: float) -> None:
        """Log the runs that are stopped because of the owner timeout."""
        for action in actions:
            if isinstance(action, OrderStop):
                self._metrics.count("runs.ownerless")
                log_event(
                    "run:ownerless",
                    job=action.run_id.job_id,
                    position=action.run_id.task.position,
                    run=action.run_id.run,
                    lease_left_s=round(self._driver.leased_until - now, 3),
                )

    def _log_preemption(self, action: PreemptRun) -> None:
        """Log the preemption of a run; ``runs.preempted`` counts it once the run has ended."""
        incarnation = self._supervisor.incarnation
        self._metrics.count("preemption.lost-core-ms", round(1000 * action.lost_core_s))
        log_event(
            "run:preempted",
            job=action.run_id.job_id,
            step=action.run_id.task.step,
            position=action.run_id.task.position,
            run=action.run_id.run,
            worker=incarnation.id if incarnation else "",
            priority=action.priority,
            for_priority=action.preempts_from - 1,
            age_s=round(action.age_s, 3),
            lost_core_s=round(action.lost_core_s, 3),
        )

    def _order_stop_once(self, run_id: RunId) -> None:
        now = clock.monotonic()
        sent = self._stops.record(run_id, now=now)
        if sent is None:
            return
        if sent.tries > 1:
            self._metrics.count("stops.repeated")
            log_event(
                "stop:repeated",
                job=run_id.job_id,
                position=run_id.task.position,
                run=run_id.run,
                tries=sent.tries,
                since_s=round(now - sent.first_at, 3),
                lease_left_s=round(self._driver.leased_until - now, 3),
            )
        self._spawn(self._order_stop(run_id))

    async def _order_stop(self, run_id: RunId) -> None:
        is_answered = await self._driver.stop(run_id)
        if is_answered:
            self.apply(self._supervisor.handle_stop_response(run_id, now=clock.monotonic()))
        if run_id not in self._supervisor.runs:
            self._stops.forget(run_id)

    def _count_end(self, report: ReportEnd) -> None:
        self._stops.forget(report.run_id)
        self._metrics.count(f"runs.{report.reason.value}")
        if report.reason is EndReason.DONE:
            self._metrics.record("run", "", report.run_s)

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)


def _describe(run: Run, now: float) -> str:
    """Return a run for a log line: its task, its number, its phase and its age in seconds."""
    job_id, task, number = run.request.run_id
    age_s = now - run.started_at
    return f"{job_id}.{task.step}.{task.position} run {number} {run.phase.value} {age_s:.3f}"
