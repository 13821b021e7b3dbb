"""The entry's links with agents: turns frames into the scheduler's calls and back."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.core.scheduling import (
    Action,
    AskRoom,
    ComingRoom,
    CutShort,
    EndReason,
    RoomReport,
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
from dalemast.fleet.crashes import make_worker_crashed, read_crashed_tasks
from dalemast.fleet.entry.agent_sessions import AgentSession
from dalemast.fleet.entry.routes import PeerRoutes
from dalemast.fleet.entry.rows import make_row, make_starts, make_want
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

LOGGED_ENDS = frozenset(
    {
        EndReason.FAILED,
        EndReason.STOPPED,
        EndReason.CRASHED,
        EndReason.NOT_TAKEN,
        EndReason.PREEMPTED,
    }
)
"""Ends with a line of their own. Under load several starts a job find no room; the line at the
job's end counts them."""
Apply = Callable[[list[Action]], None]


class AgentLinks:
    """All agents in reach of this entry."""

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
        note_end: Callable[[RunEnded, str], None],
        tell_peers: Callable[[WorkerCrashed], None],
    ) -> None:
        self._member = member
        self._book = book
        self._scheduler = scheduler
        self._evacuations = evacuations
        self._times = times
        self._apply = apply
        self._get_checked_at = get_checked_at
        self._check_pause = check_pause
        self._note_end = note_end
        self._tell_peers = tell_peers
        self._sessions: dict[str, AgentSession] = {}
        self._by_worker: dict[str, AgentSession] = {}
        self._routes: PeerRoutes | None = None

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def has_workers(self) -> bool:
        """Whether any worker is in reach."""
        return bool(self._by_worker)

    def set_routes(self, routes: PeerRoutes) -> None:
        """Take who hears what agents tell of other entries."""
        self._routes = routes

    def accept(self, link: Link) -> AgentSession:
        """Greet an agent that opened a link."""
        link.begin_frames(self._make_said)
        link.send(EntryHello(member=to_row(self._member)))
        return AgentSession(link=link, links=self)

    def tell_members(self, members: Iterable[Member]) -> None:
        """Pass on entries that were learned of."""
        news = MemberUpdate(members=tuple(to_row(member) for member in members))
        if news.members:
            for session in self._sessions.values():
                session.link.send(news)

    def tell_evacuations(self, _: Evacuations) -> None:
        """Tell all agents what is evacuated by now."""
        news = self._evacuations.make_update()
        for session in self._sessions.values():
            session.link.send(news)

    def send(self, starts: list[StartTask], stops: list[StopTask]) -> None:
        """Send starts and stops; all tasks of a job for one worker share its text."""
        groups: dict[tuple[str, str], list[StartTask]] = {}
        for start in starts:
            groups.setdefault((start.worker, start.job.id), []).append(start)
        for (worker, _), group in groups.items():
            session = self._by_worker.get(worker)
            if session is not None:
                self._mark_active(session)
                session.link.send(make_starts(group, self._scheduler.get_want(worker)))
        for stop in stops:
            session = self._by_worker.get(stop.worker)
            if session is not None:
                session.link.send(Stop(run=make_row(stop.job_id, stop.task, stop.run)))

    def ask(self, asked: AskRoom) -> None:
        """Tell agents what this entry lacks room for."""
        message = CapacityRequestUpdate(request=make_want(asked.want))
        for worker in asked.workers:
            session = self._by_worker.get(worker)
            if session is not None:
                session.link.send(message)

    def begin_frame(self) -> None:
        """Find out whether this process stood still before it acts on what waited meanwhile."""
        self._check_pause()

    def take(self, session: AgentSession, message: AgentMessage) -> None:
        """Take in one message."""
        assert self._routes is not None
        match message:
            case ClockRequest():
                self._answer_clock(session, message)
            case AgentHello():
                self._greet(session, message)
            case WorkerReport():
                self._meet_worker(session, message)
            case CapacityFrame():
                self._update_room(session, message)
            case CapacityReleases():
                self._note_coming_room(session, message)
            case WorkerSlowness():
                self._note_speed(session, message)
            case WorkerDeparture():
                self._note_leaving(session, message)
            case RunDepartureRisk():
                self._note_cut_short(session, message)
            case WorkerCrashed():
                self._note_crash(message)
            case RunEnded():
                self._end_run(session, message)
            case RunSlow():
                self._report_slow(session, message)
            case ReachableEntries():
                self._routes.take_heard(session, message)
            case Relayed():
                self._routes.take_frame(session, message)
            case RouteEnded():
                self._routes.take_end(session, message)
            case Goodbye():
                session.is_ending = True
            case LinkHeartbeat():
                pass

    def end_session(self, session: AgentSession, reason: str) -> None:
        """Give a link up: its worker's runs may go on for a while."""
        session.link.reset()
        name = session.name
        if self._sessions.get(name) is not session:
            return
        del self._sessions[name]
        log_event("agent:lost", agent=name, worker=session.worker, reason=reason)
        self._drop_worker(session)
        if self._routes is not None:
            self._routes.remove_agent(session)

    def reset_liveness_timers(self, late_s: float) -> None:
        """Take a time in which this entry did not listen off the silence of all agents."""
        for session in self._sessions.values():
            session.link.reset_liveness(late_s)

    def tick(self, now: float) -> None:
        """Send beats and give up silent links."""
        assert self._routes is not None
        busy = self._scheduler.get_busy_workers()
        for session in list(self._sessions.values()):
            # An agent that owes an answer is waited for no longer than one that carries runs.
            is_busy = session.worker in busy or self._routes.awaits(session)
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
            self.end_session(session, f"silent for {silence_s:.2f} s")

    def _mark_active(self, session: AgentSession) -> None:
        if session.active_since is None:
            session.active_since = clock.monotonic()

    def _make_said(self) -> SentAt:
        """Return when what follows is said: when this process last knew that it ran on.

        It may have stood still since, between a decision and its sending.
        """
        return SentAt(at_ms=int(self._get_checked_at() * 1000))

    def _answer_clock(self, session: AgentSession, asked: ClockRequest) -> None:
        received_at_ms = math.ceil(clock.monotonic() * 1000)
        session.link.send(ClockResponse(sent_at_ms=asked.sent_at_ms, received_at_ms=received_at_ms))

    def _greet(self, session: AgentSession, hello: AgentHello) -> None:
        before = self._sessions.get(hello.name)
        if before is not None and before is not session:
            self.end_session(before, "replaced")
        session.hello = hello
        self._sessions[hello.name] = session
        # Only now, since changes are told to greeted agents; no start goes out before.
        evacuations = self._evacuations.make_update()
        if evacuations is not None:
            session.link.send(evacuations)
        session.link.send(MemberUpdate(members=tuple(to_row(m) for m in self._book.members)))
        log_event("agent:link", agent=hello.name)
        if self._routes is not None:
            self._routes.add_agent(session)

    def _meet_worker(self, session: AgentSession, news: WorkerReport) -> None:
        hello = session.hello
        if hello is None:
            return
        capacity = Resources(cpu=news.cpu, memory_mb=news.memory_mb, gpu=news.gpu)
        if news.id and news.id == session.worker:
            # Told twice; the stops that followed from the first time are on their way.
            self._scheduler.resize_worker(news.id, capacity)
            session.link.send(Reconciled(number=news.number))
            return
        self._drop_worker(session)
        if not news.id:
            return
        view = WorkerView(
            name=news.id,
            service=news.service,
            capacity=capacity,
            labels=frozenset(news.labels),
            data_centre=hello.data_centre,
            is_near=hello.data_centre == self._member.data_centre,
        )
        session.worker = news.id
        self._by_worker[news.id] = session
        self._scheduler.add_worker(view, now=clock.monotonic())
        listed = [(row.job, TaskKey(row.step, row.position), row.run) for row in news.runs]
        log_event(
            "worker:in-reach", worker=news.id, agent=hello.name, cpu=news.cpu, runs=len(listed)
        )
        actions = self._scheduler.reconcile(news.id, listed, now=clock.monotonic())
        # Between the stops and the starts: the agent takes no start before, since one that was
        # under way as it told of its runs is missing there and counts as over here.
        self._apply([action for action in actions if isinstance(action, StopTask)])
        session.link.send(Reconciled(number=news.number))
        self._apply([action for action in actions if not isinstance(action, StopTask)])

    def _drop_worker(self, session: AgentSession) -> None:
        if not session.worker:
            return
        worker = session.worker
        session.worker = ""
        if self._by_worker.get(worker) is session:
            del self._by_worker[worker]
            self._apply(self._scheduler.lose_worker(worker, now=clock.monotonic()))

    def _update_room(self, session: AgentSession, news: CapacityFrame) -> None:
        report = RoomReport(
            seen=news.seen,
            free=Resources(cpu=news.cpu, memory_mb=news.memory_mb, gpu=news.gpu),
            is_accepting=news.is_accepting,
            pace=news.pace,
        )
        now = clock.monotonic()
        self._apply(self._scheduler.update_worker(session.worker, report, now=now))

    def _note_coming_room(self, session: AgentSession, news: CapacityReleases) -> None:
        rows = tuple(ComingRoom(in_s=row.in_s, cpu=row.cpu) for row in news.rows)
        self._scheduler.note_coming_room(session.worker, rows, now=clock.monotonic())

    def _note_leaving(self, session: AgentSession, news: WorkerDeparture) -> None:
        if not session.worker:
            return
        in_s = None if news.in_s < 0 else news.in_s
        log_event("worker:leaving", worker=session.worker, leaves_in_s=in_s)
        self._scheduler.note_leaving(session.worker, in_s, now=clock.monotonic())

    def _note_speed(self, session: AgentSession, news: WorkerSlowness) -> None:
        speed = WorkerSpeed(slowness=news.slowness, runs=news.runs)
        self._scheduler.note_speed(session.worker, speed)
        view = self._scheduler.workers.get(session.worker)
        log_event(
            "worker:speed",
            worker=session.worker,
            told=news.slowness,
            runs=news.runs,
            believed=view.kind_slowness if view else None,
        )

    def _note_cut_short(self, session: AgentSession, news: RunDepartureRisk) -> None:
        row = news.run
        report = CutShort(left_s=news.left_s, leaves_in_s=news.leaves_in_s)
        key = TaskKey(row.step, row.position)
        actions = self._scheduler.note_cut_short(
            session.worker, row.job, key, row.run, report, now=clock.monotonic()
        )
        self._apply(actions)

    def _note_crash(self, news: WorkerCrashed) -> None:
        """Take in a crash, and tell the peers of the tasks that this entry owns."""
        own = tuple(row for row in news.tasks if row.job in self._scheduler.open_jobs)
        if own:
            self._tell_peers(
                WorkerCrashed(worker=news.worker, tasks=own, is_observed=news.is_observed)
            )
        self._take_crash(news, is_hearsay=False)

    def take_hearsay(self, news: WorkerCrashed) -> None:
        """Take in a crash that a peer tells of."""
        self._take_crash(news, is_hearsay=True)

    def make_hearsay(self) -> list[WorkerCrashed]:
        """Return what is known of crashes, for a peer that was met."""
        crashes = self._scheduler.list_crashes().items()
        return [
            make_worker_crashed(end.life, rows, is_observed=end.is_seen) for end, rows in crashes
        ]

    def _take_crash(self, news: WorkerCrashed, *, is_hearsay: bool) -> None:
        actions = self._scheduler.note_crash(
            news.worker,
            read_crashed_tasks(news),
            now=clock.monotonic(),
            is_seen=news.is_observed,
            is_hearsay=is_hearsay,
        )
        self._apply(actions)

    def _end_run(self, session: AgentSession, news: RunEnded) -> None:
        row = news.run
        if news.reason in LOGGED_ENDS and row.job in self._scheduler.open_jobs:
            log_event(
                "run:ended",
                job=row.job,
                step=row.step,
                position=row.position,
                run=row.run,
                worker=session.worker,
                reason=news.reason.value,
                run_s=round(news.run_s, 3),
            )
        self._note_end(news, session.worker)
        actions = self._scheduler.end_run(
            session.worker,
            row.job,
            TaskKey(row.step, row.position),
            row.run,
            news.reason,
            run_s=news.run_s,
            now=clock.monotonic(),
        )
        self._apply(actions)

    def _report_slow(self, session: AgentSession, news: RunSlow) -> None:
        row = news.run
        report = SlowRun(
            age_s=news.age_s,
            total_s=news.total_s,
            worker_pace=news.worker_pace,
            is_stalled=news.is_stalled,
        )
        key = TaskKey(row.step, row.position)
        now = clock.monotonic()
        actions = self._scheduler.report_slow(
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
                age_s=news.age_s,
                total_s=news.total_s,
                worker_pace=news.worker_pace,
                is_stalled=news.is_stalled,
            )
        self._apply(actions)
