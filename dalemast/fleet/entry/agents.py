"""The links of an entry with agents: translates messages into calls of the scheduler and back."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.core.scheduling import (
    NEVER_STARTED,
    Action,
    CapacityRelease,
    CapacityReport,
    CrashedTask,
    DepartureRisk,
    EndReason,
    RequestCapacity,
    Scheduler,
    SlowRun,
    StartTask,
    StopTask,
    WorkerSpeed,
    WorkerView,
)
from dalemast.core.workloads import Resources, TaskKey
from dalemast.fleet.address_book import AddressBook, to_row
from dalemast.fleet.base import Member
from dalemast.fleet.crashes import make_withdrawal, make_worker_crashed, read_crashed_tasks
from dalemast.fleet.entry.agent_sessions import AgentSession
from dalemast.fleet.entry.routes import PeerRoutes
from dalemast.fleet.entry.rows import (
    make_capacity_request_row,
    make_run_row,
    make_starts,
)
from dalemast.fleet.evacuations import EvacuationsInForce
from dalemast.fleet.frames import (
    AgentHello,
    AgentMessage,
    CapacityReleases,
    CapacityRequestUpdate,
    ClockRequest,
    ClockResponse,
    EntryHello,
    Goodbye,
    LinkHeartbeat,
    MemberUpdate,
    ReachableEntries,
    Reconciled,
    Relayed,
    RouteEnded,
    RunDepartureRisk,
    RunEnded,
    RunSlow,
    SentAt,
    Stop,
    WorkerCrashed,
    WorkerDeparture,
    WorkerReport,
    WorkerSlowness,
)
from dalemast.fleet.frames import (
    CapacityReport as CapacityFrame,
)
from dalemast.fleet.links import Link
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import log_event

__all__ = ["AgentLinks"]

LOGGED_END_REASONS = frozenset(
    {
        EndReason.FAILED,
        EndReason.STOPPED,
        EndReason.CRASHED,
        EndReason.NOT_TAKEN,
        EndReason.PREEMPTED,
    }
)
"""End reasons with a log line of their own. Refused starts are frequent under load, and are counted
in the log line at the end of the job instead."""
Apply = Callable[[list[Action]], None]


class AgentLinks:
    """The links of this entry with all reachable agents.

    ``get_checked_at`` returns when this process was last known not to be paused. ``check_pause``
    detects a pause of this process and starts the recovery from it.
    """

    def __init__(
        self,
        *,
        member: Member,
        book: AddressBook,
        scheduler: Scheduler,
        evacuations: EvacuationsInForce,
        times: FleetTimes,
        apply: Apply,
        get_checked_at: Callable[[], float],
        check_pause: Callable[[], bool],
        record_run_end: Callable[[RunEnded, str], None],
        notify_peers: Callable[[WorkerCrashed], None],
    ) -> None:
        self._member = member
        self._book = book
        self._scheduler = scheduler
        self._evacuations = evacuations
        self._times = times
        self._apply = apply
        self._get_checked_at = get_checked_at
        self._check_pause = check_pause
        self._record_run_end = record_run_end
        self._notify_peers = notify_peers
        self._sessions: dict[str, AgentSession] = {}
        self._by_worker: dict[str, AgentSession] = {}
        self._routes: PeerRoutes | None = None

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def has_workers(self) -> bool:
        """Whether any worker is reachable."""
        return bool(self._by_worker)

    def set_routes(self, routes: PeerRoutes) -> None:
        """Set the routes, which handle the agents' messages about other entries."""
        self._routes = routes

    def accept(self, link: Link) -> AgentSession:
        """Start a session on a link that an agent has opened."""
        link.begin_frames(self._make_sent_at)
        link.send(EntryHello(member=to_row(self._member)))
        return AgentSession(link=link, links=self)

    def send_members(self, members: Iterable[Member]) -> None:
        """Send newly known entries to all agents."""
        message = MemberUpdate(members=tuple(to_row(member) for member in members))
        if message.members:
            for session in self._sessions.values():
                session.link.send(message)

    def send_evacuations(self, _: Evacuations) -> None:
        """Send the evacuations in force to all agents."""
        message = self._evacuations.make_update()
        for session in self._sessions.values():
            session.link.send(message)

    def send(self, starts: list[StartTask], stops: list[StopTask]) -> None:
        """Send starts and stops. A job's tasks for one worker share a message with its payload."""
        groups: dict[tuple[str, str], list[StartTask]] = {}
        for start in starts:
            groups.setdefault((start.worker, start.job.id), []).append(start)
        for (worker, _), group in groups.items():
            session = self._by_worker.get(worker)
            if session is not None:
                self._mark_active(session)
                session.link.send(make_starts(group, self._scheduler.get_capacity_request(worker)))
        for stop in stops:
            session = self._by_worker.get(stop.worker)
            if session is not None:
                session.link.send(Stop(run=make_run_row(stop.job_id, stop.task, stop.run)))

    def send_capacity_requests(self, request: RequestCapacity) -> None:
        """Send agents the capacity that this entry needs for queued work."""
        message = CapacityRequestUpdate(request=make_capacity_request_row(request.request))
        for worker in request.workers:
            session = self._by_worker.get(worker)
            if session is not None:
                session.link.send(message)

    def begin_frame(self) -> None:
        """Check for a process pause before messages that arrived during it are handled."""
        self._check_pause()

    def handle_message(self, session: AgentSession, message: AgentMessage) -> None:
        """Handle a message from an agent."""
        assert self._routes is not None
        match message:
            case ClockRequest():
                self._send_clock_response(session, message)
            case AgentHello():
                self._greet(session, message)
            case WorkerReport():
                self._handle_worker(session, message)
            case CapacityFrame():
                self._update_capacity(session, message)
            case CapacityReleases():
                self._record_capacity_releases(session, message)
            case WorkerSlowness():
                self._record_speed(session, message)
            case WorkerDeparture():
                self._record_departure(session, message)
            case RunDepartureRisk():
                self._record_departure_risk(session, message)
            case WorkerCrashed():
                self._handle_crash(message)
            case RunEnded():
                self._handle_run_end(session, message)
            case RunSlow():
                self._handle_slow_run(session, message)
            case ReachableEntries():
                self._routes.handle_reachable_entries(session, message)
            case Relayed():
                self._routes.handle_frame(session, message)
            case RouteEnded():
                self._routes.handle_route_ended(session, message)
            case Goodbye():
                session.is_ending = True
            case LinkHeartbeat():
                pass

    def end_session(self, session: AgentSession, reason: str) -> None:
        """Close a link and remove its worker, whose runs may go on for a while."""
        session.link.reset()
        name = session.name
        if self._sessions.get(name) is not session:
            return
        del self._sessions[name]
        log_event("agent:lost", agent=name, worker=session.worker, reason=reason)
        self._remove_worker(session)
        if self._routes is not None:
            self._routes.remove_agent(session)

    def reset_liveness_timers(self, late_s: float) -> None:
        """Exclude a time in which this process was late from the liveness timers of all links."""
        for session in self._sessions.values():
            session.link.reset_liveness(late_s)

    def tick(self, now: float) -> None:
        """Send heartbeats and close unresponsive links."""
        assert self._routes is not None
        busy = self._scheduler.get_busy_workers()
        for session in list(self._sessions.values()):
            # An agent that has to respond about lost peers gets the shorter timeout, too.
            is_busy = session.worker in busy or self._routes.is_awaiting(session)
            if is_busy:
                self._mark_active(session)
            else:
                session.active_since = None
            self._keep_alive(session, is_busy=is_busy, now=now)

    def _keep_alive(self, session: AgentSession, *, is_busy: bool, now: float) -> None:
        times = self._times
        link = session.link
        if now - link.sent_at >= (
            times.heartbeat_interval_s if is_busy else times.idle_heartbeat_interval_s
        ):
            link.send(LinkHeartbeat())
        heard_at = max(link.received_at, session.active_since or 0.0)
        silence_s = now - heard_at
        if silence_s > (times.link_timeout_s if is_busy else times.idle_link_timeout_s):
            self.end_session(session, f"no message received for {silence_s:.2f} s")

    def _mark_active(self, session: AgentSession) -> None:
        if session.active_since is None:
            session.active_since = clock.monotonic()

    def _make_sent_at(self) -> SentAt:
        """Return the time stamp for a frame: when this process was last known not to be paused.

        The current time would be too late if the process was paused between a decision and the
        sending of it.
        """
        return SentAt(at_ms=int(self._get_checked_at() * 1000))

    def _send_clock_response(self, session: AgentSession, request: ClockRequest) -> None:
        received_at_ms = math.ceil(clock.monotonic() * 1000)
        session.link.send(
            ClockResponse(sent_at_ms=request.sent_at_ms, received_at_ms=received_at_ms)
        )

    def _greet(self, session: AgentSession, hello: AgentHello) -> None:
        previous = self._sessions.get(hello.name)
        if previous is not None and previous is not session:
            self.end_session(previous, "replaced")
        session.hello = hello
        self._sessions[hello.name] = session
        # Later changes are sent to greeted agents only, so the current state is sent here. No start
        # is sent before it.
        evacuations = self._evacuations.make_update()
        if evacuations is not None:
            session.link.send(evacuations)
        session.link.send(MemberUpdate(members=tuple(to_row(m) for m in self._book.members)))
        log_event("agent:link", agent=hello.name)
        if self._routes is not None:
            self._routes.add_agent(session)

    def _handle_worker(self, session: AgentSession, message: WorkerReport) -> None:
        hello = session.hello
        if hello is None:
            return
        capacity = Resources(cpu=message.cpu, memory_mb=message.memory_mb, gpu=message.gpu)
        if message.id and message.id == session.worker:
            # The agent has repeated its report. The stops that resulted from the first one were
            # sent then, so only the capacity is updated.
            self._scheduler.resize_worker(message.id, capacity)
            session.link.send(Reconciled(number=message.number))
            return
        self._remove_worker(session)
        if not message.id:
            return
        view = WorkerView(
            name=message.id,
            service=message.service,
            capacity=capacity,
            labels=frozenset(message.labels),
            data_centre=hello.data_centre,
            is_same_data_centre=hello.data_centre == self._member.data_centre,
        )
        session.worker = message.id
        self._by_worker[message.id] = session
        self._scheduler.add_worker(view, now=clock.monotonic())
        listed_runs = [(row.job, TaskKey(row.step, row.position), row.run) for row in message.runs]
        log_event(
            "worker:in-reach",
            worker=message.id,
            agent=hello.name,
            cpu=message.cpu,
            runs=len(listed_runs),
        )
        now = clock.monotonic()
        actions = self._scheduler.reconcile(
            message.id, listed_runs, now=now, answered_at=now - message.answered_ago_s
        )
        # Sent between the stops and the starts: until then the agent refuses starts, since one that
        # was in flight while it listed its runs is missing in the list and counts as ended here.
        self._apply([action for action in actions if isinstance(action, StopTask)])
        session.link.send(Reconciled(number=message.number))
        self._apply([action for action in actions if not isinstance(action, StopTask)])

    def _remove_worker(self, session: AgentSession) -> None:
        if not session.worker:
            return
        worker = session.worker
        session.worker = ""
        if self._by_worker.get(worker) is session:
            del self._by_worker[worker]
            self._apply(self._scheduler.lose_worker(worker, now=clock.monotonic()))

    def _update_capacity(self, session: AgentSession, message: CapacityFrame) -> None:
        report = CapacityReport(
            seen=message.seen,
            free=Resources(cpu=message.cpu, memory_mb=message.memory_mb, gpu=message.gpu),
            is_accepting=message.is_accepting,
            pace=message.pace,
            answered_ago_s=message.answered_ago_s,
        )
        now = clock.monotonic()
        self._apply(self._scheduler.update_worker(session.worker, report, now=now))

    def _record_capacity_releases(self, session: AgentSession, message: CapacityReleases) -> None:
        rows = tuple(CapacityRelease(in_s=row.in_s, cpu=row.cpu) for row in message.rows)
        self._scheduler.note_capacity_releases(session.worker, rows, now=clock.monotonic())

    def _record_departure(self, session: AgentSession, message: WorkerDeparture) -> None:
        if not session.worker:
            return
        in_s = None if message.in_s < 0 else message.in_s
        log_event("worker:leaving", worker=session.worker, leaves_in_s=in_s)
        self._scheduler.note_departure(session.worker, in_s, now=clock.monotonic())

    def _record_speed(self, session: AgentSession, message: WorkerSlowness) -> None:
        speed = WorkerSpeed(slowness=message.slowness, runs=message.runs)
        self._scheduler.note_speed(session.worker, speed)
        view = self._scheduler.workers.get(session.worker)
        log_event(
            "worker:speed",
            worker=session.worker,
            told=message.slowness,
            runs=message.runs,
            believed=view.baseline_slowness if view else None,
        )

    def _record_departure_risk(self, session: AgentSession, message: RunDepartureRisk) -> None:
        row = message.run
        report = DepartureRisk(left_s=message.left_s, leaves_in_s=message.leaves_in_s)
        key = TaskKey(row.step, row.position)
        actions = self._scheduler.note_departure_risk(
            session.worker, row.job, key, row.run, report, now=clock.monotonic()
        )
        self._apply(actions)

    def _handle_crash(self, message: WorkerCrashed) -> None:
        """Handle a crash, and notify the peers of the crashed tasks that this entry owns.

        A withdrawal comes from the agent of a run whose owner is lost, and has reached all entries
        that the agent is linked with.
        """
        if message.is_withdrawn:
            self._record_crash(message, is_relayed=False)
            return
        own = tuple(row for row in message.tasks if row.job in self._scheduler.open_jobs)
        if own:
            self._notify_peers(
                WorkerCrashed(worker=message.worker, tasks=own, is_observed=message.is_observed)
            )
        self._record_crash(message, is_relayed=False)

    def handle_relayed_reports(self, message: WorkerCrashed) -> None:
        """Handle a crash that a peer reports."""
        self._record_crash(message, is_relayed=True)

    def make_relayed_reports(self) -> list[WorkerCrashed]:
        """Return the known crashes, to be sent to a new peer."""
        crashes = self._scheduler.list_crashes().items()
        return [
            make_worker_crashed(
                end.incarnation, rows, is_observed=end.is_observed, is_lasting=end.is_lasting
            )
            for end, rows in crashes
        ]

    def _withdraw_start(self, message: RunEnded, worker: str) -> None:
        """Withdraw at the peers an announced start that was not executed."""
        row = message.run
        key = TaskKey(row.step, row.position)
        if message.reason not in NEVER_STARTED:
            return
        if not self._scheduler.has_hidden_end(row.job, key):
            # Its start was not announced.
            return
        if self._scheduler.has_recorded(row.job, key, (worker, row.run)):
            # Another owner's run of this number was executed there.
            return
        task = CrashedTask(job_id=row.job, task=key, age_s=None, run=row.run)
        self._notify_peers(make_withdrawal(worker, task))

    def _record_crash(self, message: WorkerCrashed, *, is_relayed: bool) -> None:
        if message.is_withdrawn:
            self._scheduler.withdraw_crash(message.worker, read_crashed_tasks(message))
            return
        actions = self._scheduler.note_crash(
            message.worker,
            read_crashed_tasks(message),
            now=clock.monotonic(),
            is_observed=message.is_observed,
            is_relayed=is_relayed,
            is_lasting=message.is_lasting,
        )
        self._apply(actions)

    def _handle_run_end(self, session: AgentSession, message: RunEnded) -> None:
        row = message.run
        if message.reason in LOGGED_END_REASONS and row.job in self._scheduler.open_jobs:
            log_event(
                "run:ended",
                job=row.job,
                step=row.step,
                position=row.position,
                run=row.run,
                worker=session.worker,
                reason=message.reason.value,
                run_s=round(message.run_s, 3),
            )
        self._record_run_end(message, session.worker)
        self._withdraw_start(message, session.worker)
        actions = self._scheduler.end_run(
            session.worker,
            row.job,
            TaskKey(row.step, row.position),
            row.run,
            message.reason,
            run_s=message.run_s,
            now=clock.monotonic(),
        )
        self._apply(actions)

    def _handle_slow_run(self, session: AgentSession, message: RunSlow) -> None:
        row = message.run
        report = SlowRun(
            age_s=message.age_s,
            total_s=message.total_s,
            worker_pace=message.worker_pace,
            is_stalled=message.is_stalled,
        )
        key = TaskKey(row.step, row.position)
        now = clock.monotonic()
        actions = self._scheduler.handle_slow_run(
            session.worker, row.job, key, row.run, report, now=now
        )
        if actions:
            log_event(
                "run:moved",
                cause="slow",
                job=row.job,
                step=row.step,
                position=row.position,
                worker=session.worker,
                age_s=message.age_s,
                total_s=message.total_s,
                worker_pace=message.worker_pace,
                is_stalled=message.is_stalled,
            )
        self._apply(actions)
