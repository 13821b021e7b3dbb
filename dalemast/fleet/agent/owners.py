"""The agent's links with entries, over which it receives orders and reports runs."""

from __future__ import annotations

from collections.abc import Callable

from dalemast import clock
from dalemast.core.ownership import LinkBounds
from dalemast.core.scheduling import (
    CapacityRequest,
    CrashedTask,
    LoadPolicy,
)
from dalemast.core.supervision import (
    ReportDeparture,
    ReportDepartureRisk,
    ReportEnd,
    ReportSlow,
    RunId,
    RunPhase,
    StartRequest,
    Supervisor,
)
from dalemast.core.workloads import Resources, TaskKey
from dalemast.fleet.address_book import AddressBook, to_member
from dalemast.fleet.agent.dialling import OwnerDialling
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.agent.relay import EntryRelay
from dalemast.fleet.agent.reports import (
    WorkerReports,
    make_departure,
    to_capacity_request,
    to_row,
)
from dalemast.fleet.base import Member
from dalemast.fleet.crashes import CrashMemory, make_withdrawal, make_worker_crashed
from dalemast.fleet.evacuations import EvacuationsInForce
from dalemast.fleet.frames import (
    AgentHello,
    CapacityRequestUpdate,
    ClockResponse,
    EntryHello,
    EntryMessage,
    EvacuationUpdate,
    Goodbye,
    LinkHeartbeat,
    MemberUpdate,
    ReachableEntriesRequest,
    Reconciled,
    Relayed,
    RouteEnded,
    RunDepartureRisk,
    RunEnded,
    RunSlow,
    SentAt,
    Starts,
    Stop,
)
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event

__all__ = ["OwnerLinks"]


class OwnerLinks:
    """The links with all entries that this agent can reach."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        data_centre: str,
        book: AddressBook,
        bounds: LinkBounds,
        supervisor: Supervisor,
        evacuations: EvacuationsInForce,
        times: FleetTimes,
        policy: LoadPolicy,
        metrics: Metrics,
        start: Callable[[StartRequest], None],
        stop: Callable[[RunId, str], None],
        handle_capacity_request: Callable[[str, CapacityRequest | None, float], None],
        check_pause: Callable[[], bool],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._book = book
        self._supervisor = supervisor
        self._evacuations = evacuations
        self._times = times
        self._start = start
        self._stop = stop
        self._handle_capacity_request = handle_capacity_request
        self._check_pause = check_pause
        self._dialling = OwnerDialling(
            name=name,
            data_centre=data_centre,
            book=book,
            bounds=bounds,
            make_receiver=lambda link: OwnerSession(link=link, handler=self),
        )
        self._sessions: dict[str, OwnerSession] = {}
        self._reports = WorkerReports(
            supervisor=supervisor, sessions=self._sessions, policy=policy, metrics=metrics
        )
        self._crashes = CrashMemory()
        self._relay = EntryRelay(sessions=self._sessions, supervisor=supervisor)

    def __len__(self) -> int:
        return len(self._sessions)

    def dial_all(self) -> None:
        """Dial the entries that are known now or later."""
        self._dialling.start()

    def stop_all(self) -> None:
        """Send a goodbye on all links and close them."""
        for session in self._sessions.values():
            session.link.send(Goodbye())
            session.link.flush()
        self._dialling.stop()

    def reset_all(self) -> None:
        """Reset all links and discard the frames that wait in their sockets."""
        for session in list(self._sessions.values()):
            session.link.reset()
            self.end_session(session)

    def receive(self, session: OwnerSession, messages: list[EntryMessage]) -> None:
        """Handle a frame, unless it waited in the socket during a process pause."""
        if self._check_pause():
            # A link that has not received its hello yet is not covered by reset_all().
            session.link.reset()
        if not session.link.is_open:
            return
        for message in messages:
            self._handle(session, message)
        if session.frame_sent_at > clock.monotonic():
            # This host's clock has lost time, for example while suspended: the age of the frame is
            # unknown.
            log_event("link:clock-lost-time", entry=session.owner)
            session.link.reset()
            self.end_session(session)
            return
        # After the stops in this frame: it must not keep alive the runs that it stops.
        self._supervisor.renew_owner(session.owner, sent_at=session.frame_sent_at)

    def end_session(self, session: OwnerSession) -> None:
        """Handle the end of a link; the owner's runs go on until the owner timeout."""
        if self._sessions.get(session.owner) is session:
            del self._sessions[session.owner]
            name = session.member.name if session.member else ""
            log_event("entry:lost", entry=name, runs=self._count_runs(session))
            self._relay.report_changes()

    def report_crash(
        self, worker: str, tasks: tuple[CrashedTask, ...], *, is_observed: bool
    ) -> None:
        """Report to all entries what ran on an incarnation that crashed or became unresponsive."""
        crashed = make_worker_crashed(worker, tasks, is_observed=is_observed)
        self._crashes.add(crashed)
        for session in self._sessions.values():
            session.link.send(crashed)

    def record_worker_alive(self, worker: str) -> None:
        """Record that a worker incarnation responds, so it has not ended."""
        self._crashes.record_alive(worker)

    def report_end(self, report: ReportEnd) -> None:
        """Report to the owner how a run ended, or to all entries if the owner is lost."""
        session = self._sessions.get(report.owner)
        if session is None:
            self._withdraw_run(report)
            return
        message = RunEnded(
            run=to_row(report.run_id), reason=report.reason, run_s=round(report.run_s, 4)
        )
        session.link.send(message)
        self._reports.note_end(session)

    def _withdraw_run(self, report: ReportEnd) -> None:
        """Report to all entries that a run of a lost owner has ended without a crash.

        The owner may have announced it to its peers as one that may crash its worker.
        """
        incarnation = self._supervisor.incarnation
        if incarnation is None or not report.is_confirmed:
            return
        job_id, task, run = report.run_id
        row = CrashedTask(job_id=job_id, task=task, age_s=None, run=run)
        for session in self._sessions.values():
            session.link.send(make_withdrawal(incarnation.id, row))

    def report_slow(self, report: ReportSlow) -> None:
        """Report to the owner that a run is slow."""
        session = self._sessions.get(report.owner)
        if session is None:
            return
        session.link.send(
            RunSlow(
                run=to_row(report.run_id),
                age_s=round(report.age_s, 3),
                total_s=round(report.total_s, 3),
                worker_pace=round(report.worker_pace, 2),
                is_stalled=report.is_stalled,
            )
        )

    def report_departure(self, report: ReportDeparture) -> None:
        """Report to all entries when the worker will stop at the earliest."""
        for session in self._sessions.values():
            session.link.send(make_departure(report.in_s))

    def report_departure_risk(self, report: ReportDepartureRisk) -> None:
        """Report to the owner that a run can't end before the worker stops."""
        session = self._sessions.get(report.owner)
        if session is None:
            return
        session.link.send(
            RunDepartureRisk(
                run=to_row(report.run_id),
                left_s=round(report.left_s, 3),
                leaves_in_s=round(report.leaves_in_s, 3),
            )
        )

    def mark_capacity_changed(self) -> None:
        """Handle a change of capacity; each entry gets a report when its interval is over."""
        self._reports.note_change(now=clock.monotonic())

    def reset_liveness_timers(self, late_s: float) -> None:
        """Extend the timeouts of all links by a time in which this process did not read them.

        This does not extend owner timeouts: runs are stopped even if the agent itself caused the
        delay, since a caller may have resubmitted the job to another entry in the meantime.
        """
        for session in self._sessions.values():
            session.reset_liveness(late_s)

    def tick(self, now: float) -> None:
        """Send heartbeats and due capacity reports; reset links that have timed out."""
        self._reports.refresh(now=now)
        runs = self._supervisor.runs.values()
        busy = {run.request.owner for run in runs}
        # An owner whose runs are all being stopped may have no reason to send heartbeats.
        active = {run.request.owner for run in runs if run.phase is not RunPhase.STOPPING}
        self._review_links(busy, now)
        self._reports.send_due(now=now)
        for session in list(self._sessions.values()):
            is_busy = session.owner in busy
            interval_s = (
                self._times.heartbeat_interval_s
                if is_busy
                else self._times.idle_heartbeat_interval_s
            )
            if now - session.clock_requested_at >= session.get_clock_interval_s():
                session.request_clock()
            elif now - session.link.sent_at >= interval_s:
                session.link.send(LinkHeartbeat())
            # A link may fail while its owner is alive. Its runs are stopped after this time anyway,
            # and the owner can use the worker again only over a new link.
            is_active = session.owner in active
            limit_s = self._times.link_timeout_s if is_active else self._times.idle_link_timeout_s
            if session.has_missed_probe(now=now) or now - session.link.received_at > limit_s:
                session.link.reset()
                self.end_session(session)
        self._relay.report_changes()

    def _review_links(self, busy: set[str], now: float) -> None:
        """Review the choice of entries; links of entries with runs here are kept."""
        names = {
            session.member.name
            for session in self._sessions.values()
            if session.member is not None and session.owner in busy
        }
        self._dialling.review(busy=names, is_linked=bool(self._sessions), now=now)

    def _handle(self, session: OwnerSession, message: EntryMessage) -> None:
        match message:
            case SentAt():
                session.record_sent_at(message)
            case ClockResponse():
                session.handle_clock(message)
            case EntryHello():
                self._handle_hello(session, message)
            case EvacuationUpdate():
                self._handle_evacuations(session, message)
            case MemberUpdate():
                self._book.add_members(to_member(row) for row in message.members)
            case Reconciled():
                session.handle_reconciled(message)
            case Starts():
                self._handle_starts(session, message)
            case Stop():
                row = message.run
                run_id = RunId(row.job, TaskKey(row.step, row.position), row.run)
                self._stop(run_id, session.owner)
            case CapacityRequestUpdate():
                self._reports.handle_capacity_request(
                    session, message.request, now=clock.monotonic()
                )
                self._handle_capacity_request(
                    session.owner, session.subscriber.request, session.frame_sent_at
                )
            case ReachableEntriesRequest():
                self._relay.handle_request(session, message)
            case Relayed() | RouteEnded():
                self._relay.forward(session, message)
            case LinkHeartbeat() | Goodbye():
                pass

    def _handle_evacuations(self, session: OwnerSession, update: EvacuationUpdate) -> None:
        """Apply an update. An entry that is behind gets the newer state from other entries."""
        self._evacuations.handle_update(
            update, source=session.member.name if session.member else "entry"
        )

    def _handle_hello(self, session: OwnerSession, hello: EntryHello) -> None:
        session.member = to_member(hello.member)
        session.is_same_data_centre = session.member.data_centre == self._data_centre
        before = self._sessions.get(session.owner)
        self._sessions[session.owner] = session
        if before is not None and before is not session:
            # Messages in transit on the old link are not covered by the report on this one.
            before.link.reset()
        self._end_earlier_incarnations(session.member)
        self._book.add_members([session.member])
        session.request_clock()
        session.link.send(
            AgentHello(
                name=self._name,
                incarnation=self._incarnation,
                data_centre=self._data_centre,
            )
        )
        for crashed in self._crashes.crashes:
            # Sent before the list of runs: a task missing in it may have crashed the worker.
            session.link.send(crashed)
        self._supervisor.reset_departure_reports(session.owner)
        self._reports.send_initial_reports(session, now=clock.monotonic())
        log_event("entry:link", entry=session.member.name, runs=self._count_runs(session))

    def _end_earlier_incarnations(self, member: Member) -> None:
        """Reset links with earlier incarnations of an entry.

        After a power loss such links stay open until they time out, and other entries would be told
        in the meantime that the earlier incarnation is reachable.
        """
        for session in list(self._sessions.values()):
            known = session.member
            if known is not None and known.name == member.name and known != member:
                session.link.reset()
                self.end_session(session)

    def _handle_starts(self, session: OwnerSession, starts: Starts) -> None:
        session.subscriber.request = to_capacity_request(starts.request)
        for row in starts.tasks:
            session.seen = max(session.seen, row.number)
            self._start(
                StartRequest(
                    owner=session.owner,
                    run_id=RunId(starts.job, TaskKey(row.step, row.position), row.run),
                    payload=starts.payload,
                    resources=Resources(cpu=row.cpu, memory_mb=row.memory_mb, gpu=row.gpu),
                    expected_s=row.expected_s,
                    number=row.number,
                    sent_at=session.frame_sent_at,
                    priority=starts.priority,
                    restart_slack_s=None if row.restart_slack_s < 0 else row.restart_slack_s,
                )
            )

    def _count_runs(self, session: OwnerSession) -> int:
        return len(self._supervisor.get_owner_runs(session.owner))
