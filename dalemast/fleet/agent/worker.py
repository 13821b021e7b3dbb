"""Drives the worker: carries out the supervisor's orders and looks at what runs there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from dalemast import clock
from dalemast.core.scheduling import EndReason, Want
from dalemast.core.supervision import (
    Action,
    LookSchedule,
    OrderStart,
    OrderStop,
    PreemptRun,
    ReportCutShort,
    ReportEnd,
    ReportLeaving,
    ReportRoom,
    ReportSlow,
    Run,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    WorkerLife,
    list_crashed,
)
from dalemast.fleet.agent.owners import OwnerLinks
from dalemast.fleet.agent.stops import STOP_RETRY_S, StopTracker
from dalemast.fleet.base import BaseWorkerDriver, WorkerGone, WorkerReplaced, WorkerUnanswered
from dalemast.observability import Metrics, log_event

__all__ = ["WorkerLoop"]

REFUSED_RETRY_S = 0.02
"""Pause after a connection was refused, before it is tried once more."""
ORPHANS_POLL_INTERVAL_S = 0.02
"""Pause between looks while nothing of ours runs: something that was told to stop does."""
LOGGED_UNANSWERED_POLLS = 2
"""Looks in a row without an answer that are worth a line in the log."""
MAX_IDLE_SLEEP_S = 0.5
"""Longest sleep while nothing runs; a start wakes the loop."""
IDLE_POLL_INTERVAL_S = 2.0
"""Pause between looks while nothing runs. They follow the worker's clock: a lease is shorter by 2 %
of the time since it was read last, 0.04 s at the most so."""
MAX_LOGGED_TASKS = 20
"""Tasks that the line of a lost worker names; more than run on one."""
LATE_START_S = 0.1
"""A start that took longer has a line in the log: a worker answers within some milliseconds, and
the try that was carried out was a further one, or this process stood still before it."""


class WorkerLoop:
    """One task that looks, and one short task for each order."""

    def __init__(
        self, *, supervisor: Supervisor, driver: BaseWorkerDriver, metrics: Metrics
    ) -> None:
        self._supervisor = supervisor
        self._driver = driver
        self._metrics = metrics
        self._owners: OwnerLinks | None = None
        self._wake = asyncio.Event()
        self._orders: set[asyncio.Task[None]] = set()
        self._addressed_life = ""
        self._doubtful_life = ""
        self._looks = LookSchedule()
        self._refused = 0
        self._looked_at = float("-inf")
        self._answered_at = float("-inf")
        """When the last call was made that the worker has answered."""
        self._stops = StopTracker()

    def set_owners(self, owners: OwnerLinks) -> None:
        """Take who is told of ends and room."""
        self._owners = owners

    def register_incarnation(self, life: WorkerLife) -> None:
        """Take in the worker's account of itself."""
        known = self._supervisor.life
        if known is not None and known.id == life.id and known.is_leaving != life.is_leaving:
            log_event("worker:leaving", worker=life.id, remaining_s=life.remaining_s)
        if known is not None and known.id == life.id and known.capacity != life.capacity:
            log_event(
                "worker:resized",
                worker=life.id,
                cpu=life.capacity.cpu,
                cpu_before=known.capacity.cpu,
                memory_mb=life.capacity.memory_mb,
                free_cpu=life.capacity.cpu - known.capacity.cpu + self._supervisor.get_free().cpu,
            )
        actions = self._supervisor.meet_life(life, now=clock.monotonic())
        believed = self._supervisor.life
        if believed is None or believed.id != life.id:
            self._note_doubtful(life.id, believed)
        self._follow_life()
        self.apply(actions)
        self._wake.set()

    def _note_doubtful(self, life_id: str, believed: WorkerLife | None) -> None:
        """Tell of a report that names another life, once for each that follows another."""
        if life_id == self._doubtful_life:
            return
        self._doubtful_life = life_id
        log_event(
            "worker:doubtful-report", worker=life_id, believed=believed.id if believed else ""
        )

    def lose_incarnation(self, life_id: str) -> None:
        """Note that a life of the worker has said that it ends."""
        log_event("worker:deregistered", worker=life_id)
        self._change_life(lambda: self._supervisor.end_life(life_id))

    def restore_incarnation(self, life_id: str) -> None:
        """Note that it was another writer that said so."""
        if self._supervisor.restore_life(life_id):
            log_event("worker:restored", worker=life_id)
            self.apply([ReportRoom()])

    def start(self, request: StartRequest) -> None:
        """Take an owner's start."""
        self.apply(self._supervisor.start(request, now=clock.monotonic()))

    def stop(self, run_id: RunId, owner: str) -> None:
        """Take an owner's stop."""
        self.apply(self._supervisor.stop(run_id, owner=owner, now=clock.monotonic()))

    def handle_capacity_request(self, owner: str, want: Want | None, said_at: float) -> None:
        """Make room for an owner that asks for it, or give back what was kept for it."""
        now = clock.monotonic()
        if want is None:
            self.apply(self._supervisor.withdraw(owner))
        else:
            self.apply(self._supervisor.preempt(owner, want, said_at=said_at, now=now))

    def apply(self, actions: list[Action]) -> None:
        """Carry out what the supervisor decided."""
        assert self._owners is not None
        is_room_due = False
        for action in actions:
            match action:
                case OrderStart():
                    self._spawn(self._order_start(action.request))
                case OrderStop():
                    self._order_stop_once(action.run_id)
                case PreemptRun():
                    self._note_preemption(action)
                    self._order_stop_once(action.run_id)
                case ReportEnd():
                    self._count_end(action)
                    self._owners.report_end(action)
                case ReportSlow():
                    self._owners.report_slow(action)
                case ReportLeaving():
                    self._owners.report_departure(action)
                case ReportCutShort():
                    self._metrics.count("runs.cut-short")
                    self._owners.report_departure_risk(action)
                case ReportRoom():
                    is_room_due = True
        if is_room_due:
            self._owners.mark_capacity_changed()
        if self._supervisor.has_work:
            self._wake.set()

    def tick(self, now: float) -> None:
        """Stop the runs of silent owners, and say stops again that had no effect."""
        actions = self._supervisor.tick(now=now)
        self._log_owner_silence(actions, now)
        self.apply(actions)
        for run_id in self._supervisor.get_unstopped(now=now, older_than_s=STOP_RETRY_S):
            self._order_stop_once(run_id)

    async def run(self) -> None:
        """Look at the worker for as long as there is something to see."""
        while True:
            if not self._is_look_due():
                self._wake.clear()
                try:
                    await asyncio.wait_for(self._wake.wait(), MAX_IDLE_SLEEP_S)
                except TimeoutError:
                    continue
                continue
            await self._poll()

    def _is_look_due(self) -> bool:
        if self._supervisor.life is None:
            return False
        return (
            self._supervisor.has_work or clock.monotonic() - self._looked_at > IDLE_POLL_INTERVAL_S
        )

    async def _poll(self) -> None:
        assert self._owners is not None
        is_waiting = bool(self._supervisor.runs)
        self._looked_at = clock.monotonic()
        plan = self._looks.plan(has_runs=is_waiting, now=self._looked_at)
        try:
            look = await self._driver.poll(plan, limit=self._supervisor.get_lease_limit())
        except WorkerUnanswered:
            self._looks.note_unanswered()
            self._note_silence()
            lease_left_s = self._driver.leased_until - clock.monotonic()
            await asyncio.sleep(self._looks.get_pause_s(lease_left_s=lease_left_s))
            self._give_up_lapsed()
            return
        except WorkerReplaced as error:
            log_event("worker:replaced", reason=str(error))
            self._change_life(lambda: self._supervisor.lose_life(is_over=True))
            return
        except WorkerGone as error:
            await self._note_refused(str(error))
            return
        now = clock.monotonic()
        self._looks.note_answer(now=now)
        self._answered_at = max(self._answered_at, look.asked_at)
        self._refused = 0
        life = self._supervisor.life
        if life is not None:
            self._owners.record_worker_alive(life.id)
        actions = self._supervisor.look(look.running, look.ended, asked_at=look.asked_at, now=now)
        self.apply(actions)
        if not is_waiting and self._supervisor.has_work:
            await asyncio.sleep(ORPHANS_POLL_INTERVAL_S)

    def _note_silence(self) -> None:
        if self._looks.shows_silence(now=clock.monotonic()):
            self.apply(self._supervisor.note_silence())
        if self._looks.unanswered == LOGGED_UNANSWERED_POLLS:
            log_event("worker:silent", runs=len(self._supervisor.runs))

    def _give_up_lapsed(self) -> None:
        """Give a silent worker up once all that it ran has lapsed, so that it can run elsewhere."""
        if clock.monotonic() > self._driver.leased_until:
            self._change_life(lambda: self._supervisor.lose_life(is_over=False))

    async def _note_refused(self, reason: str) -> None:
        """A refused connection may be a reset in passing: only two in a row end the life."""
        self._refused += 1
        if self._refused < 2:
            await asyncio.sleep(REFUSED_RETRY_S)
            return
        log_event("worker:refused", reason=reason)
        self._refused = 0
        self._change_life(lambda: self._supervisor.lose_life(is_over=False, is_refused=True))

    def _change_life(self, change: Callable[[], list[Action]]) -> None:
        """Let the supervisor give a life up, and address calls to the one it believes in then."""
        before = self._supervisor.life
        runs = list(self._supervisor.runs.values())
        is_planned = self._supervisor.is_leaving
        actions = change()
        after = self._supervisor.life
        if before is not None and (after is None or after.id != before.id):
            has_crashed = any(
                isinstance(action, ReportEnd) and action.reason is EndReason.CRASHED
                for action in actions
            )
            self._note_gone(before, runs, has_crashed=has_crashed, is_planned=is_planned)
        self._follow_life()
        self.apply(actions)

    def _note_gone(
        self, life: WorkerLife, runs: list[Run], *, has_crashed: bool, is_planned: bool
    ) -> None:
        """Tell how a life ended, and what ran on it: one of its tasks may have ended it."""
        assert self._owners is not None
        now = clock.monotonic()
        self._metrics.count("workers.crashed" if has_crashed else "workers.gone")
        if runs and not is_planned:
            # Before the ends of the runs, which let their owners start the tasks anew. Where the
            # worker has answered nothing for a lease, as this process stood still, they may have
            # lapsed before.
            is_observed = has_crashed and now - self._answered_at <= self._supervisor.lease_s
            tasks = list_crashed(runs, ended_at=now if is_observed else None)
            self._owners.report_crash(life.id, tasks, is_observed=is_observed)
        log_event(
            "worker:gone",
            worker=life.id,
            runs=len(runs),
            has_crashed=has_crashed,
            tasks=[_describe(run, now) for run in runs[:MAX_LOGGED_TASKS]],
        )

    def _follow_life(self) -> None:
        """Address calls to the life that the supervisor believes in."""
        life = self._supervisor.life
        if life is None:
            self._addressed_life = ""
            return
        if life.id == self._addressed_life:
            return
        self._addressed_life = life.id
        self._driver.register(life)
        self._looks.begin_life()
        self._refused = 0
        log_event("worker:met", worker=life.id, cpu=life.capacity.cpu)

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
        actions = self._supervisor.take_outcome(
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

    def _log_owner_silence(self, actions: list[Action], now: float) -> None:
        """Tell which runs are stopped since their owner has been silent for too long."""
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

    def _note_preemption(self, action: PreemptRun) -> None:
        """Tell which run gives way; ``runs.preempted`` counts it once it has surely ended."""
        life = self._supervisor.life
        self._metrics.count("preemption.lost-core-ms", round(1000 * action.lost_core_s))
        log_event(
            "run:preempted",
            job=action.run_id.job_id,
            step=action.run_id.task.step,
            position=action.run_id.task.position,
            run=action.run_id.run,
            worker=life.id if life else "",
            priority=action.priority,
            for_priority=action.preempts_from - 1,
            age_s=round(action.age_s, 3),
            lost_core_s=round(action.lost_core_s, 3),
        )

    def _order_stop_once(self, run_id: RunId) -> None:
        now = clock.monotonic()
        said = self._stops.say(run_id, now=now)
        if said is None:
            return
        if said.tries > 1:
            self._metrics.count("stops.repeated")
            log_event(
                "stop:repeated",
                job=run_id.job_id,
                position=run_id.task.position,
                run=run_id.run,
                tries=said.tries,
                since_s=round(now - said.first_at, 3),
                lease_left_s=round(self._driver.leased_until - now, 3),
            )
        self._spawn(self._order_stop(run_id))

    async def _order_stop(self, run_id: RunId) -> None:
        is_answered = await self._driver.stop(run_id)
        if is_answered:
            self.apply(self._supervisor.take_stop_answer(run_id, now=clock.monotonic()))
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
