"""The entry's links with other entries; they carry claims, declarations, members and demand.

Each entry dials every other one. Its own link carries its claims; the other's link carries theirs.
While two entries can't reach each other, agents that hear both relay these links for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.fleet.address_book import AddressBook, to_member, to_row
from dalemast.fleet.base import Member
from dalemast.fleet.entry.claims import JobClaims, OwnJobs
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.fleet.entry.demand import DemandExchange
from dalemast.fleet.entry.news import ConfigurationExchange
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.entry.routes import PeerRoutes
from dalemast.fleet.evacuations import EvacuationsInForce
from dalemast.fleet.frames import (
    Claim,
    ClaimResponse,
    ConfigurationDeferred,
    ConfigurationRequest,
    ConfigurationUpdate,
    DemandReport,
    EvacuationUpdate,
    Goodbye,
    LinkHeartbeat,
    MemberUpdate,
    PeerHello,
    PeerMessage,
    Release,
    VersionAnnouncement,
    WorkerCrashed,
    Yield,
)
from dalemast.fleet.links import BaseLink, Dialer, Link, RelayedLink
from dalemast.fleet.paths import PEERS_PATH
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import log_event

__all__ = ["PeerLinks"]

BEAT_S = 0.2
"""Shortest pause between beats to another entry."""
BEATS_PER_S = 40
"""Beats that an entry sends in a second, to all others together. With more than eight of them the
pause grows, since the beats of a whole fleet of entries grow with their square."""
SILENT_BEATS = 2.5
"""Pauses between beats after which an entry counts as silent: two misses and some."""
DEAF_LINK_S = 1.0
"""Age from which an own link is given up when the other entry says that it hears nothing on it.
A younger one may have its first message still under way."""


class PeerLinks:
    """All other entries."""

    def __init__(
        self,
        *,
        member: Member,
        book: AddressBook,
        configuration: ConfigurationInForce,
        evacuations: EvacuationsInForce,
        times: FleetTimes,
        jobs: OwnJobs,
        tell_agents: Callable[[Iterable[Member]], None],
        take_crash: Callable[[WorkerCrashed], None],
        make_crashes: Callable[[], list[WorkerCrashed]],
        demand: DemandExchange,
    ) -> None:
        self._member = member
        self._book = book
        self._evacuations = evacuations
        self._times = times
        self._jobs = jobs
        self._tell_agents = tell_agents
        self._take_crash = take_crash
        self._make_crashes = make_crashes
        self._demand = demand
        self._dialers: dict[str, Dialer] = {}
        self._dialled: dict[str, PeerSession] = {}
        self._accepted: dict[str, PeerSession] = {}
        self._sessions: set[PeerSession] = set()
        self._met: set[str] = set()
        """Names of the entries that have greeted; one that is lost after that is looked for."""
        self._lost_owners: dict[str, Member] = {}
        """Peers whose own link ended without a goodbye, and that agents may hear all the same."""
        self._alone_since: float | None = None
        """Since when no agent answers while a peer is lost, or None."""
        self._news = ConfigurationExchange(configuration=configuration, dialled=self._dialled)
        self._routes = PeerRoutes(
            incarnation=member.incarnation, dialled=self._dialled, receiver=self
        )
        self._claims = JobClaims(
            member=member,
            jobs=jobs,
            lapse_s=times.lost_run_s,
            dialled=self._dialled,
            accepted=self._accepted,
            has_met_all=self._has_met_all,
            search=self._routes,
        )

    @property
    def peers(self) -> list[str]:
        """Names of the entries in reach."""
        return sorted(self._dialled)

    @property
    def claims(self) -> JobClaims:
        """The claims on job ids that these links carry."""
        return self._claims

    @property
    def is_cut_off(self) -> bool:
        """Whether this entry has reached neither agents nor a peer that it had for a while.

        The others may count it as gone, and then they grant its ids once its claims have lapsed.
        That is later by :attr:`FleetTimes.lost_run_s`; as it gives its jobs up after less than half
        of that, the two can't meet, though they may notice a cut some tenths of a second apart.
        """
        since = self._alone_since
        return since is not None and clock.monotonic() - since >= self._times.link_timeout_s

    @property
    def routes(self) -> PeerRoutes:
        """The ways to entries that can't be reached directly."""
        return self._routes

    def start(self) -> None:
        """Dial every entry that is known now or later."""
        for address in self._book.addresses:
            self._dial(address)
        self._book.on_address(self._dial)
        self._news.start()

    def stop(self) -> None:
        """Say goodbye and end all links."""
        for session in self._sessions:
            session.link.send(Goodbye())
            session.link.flush()
        for dialer in self._dialers.values():
            dialer.stop()

    def accept(self, link: Link) -> PeerSession:
        """Greet an entry that opened a link."""
        return self._open(link, is_dialled=False)

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        """Greet an entry on a link that an agent relays."""
        return self._open(link, is_dialled=is_dialled, is_relayed=True)

    def note_routes_changed(self) -> None:
        """Let the claims lapse of lost entries that no agent hears."""
        for incarnation, member in list(self._lost_owners.items()):
            if self._routes.is_gone(incarnation):
                del self._lost_owners[incarnation]
                log_event("peer:gone", peer=member.name, incarnation=incarnation)
                self._claims.note_owner_lost(member)

    def tell_evacuations(self, _: Evacuations) -> None:
        """Tell all entries what is evacuated by now; the store may turn some of them away."""
        news = self._evacuations.make_update()
        for session in self._dialled.values():
            session.link.send(news)

    def tell_crash(self, crashed: WorkerCrashed) -> None:
        """Tell all entries of tasks here under which a worker has crashed.

        The caller may ask any of them next, and not every one has a link with that worker's agent.
        """
        for session in self._dialled.values():
            session.link.send(crashed)

    def learn(self, members: Iterable[Member]) -> None:
        """Take in entries, and pass on those that are news."""
        news = self._book.add_members(members)
        if not news:
            return
        for session in self._dialled.values():
            session.link.send(MemberUpdate(members=tuple(to_row(member) for member in news)))
        self._tell_agents(news)

    def take(self, session: PeerSession, message: PeerMessage) -> None:
        """Take in one message."""
        match message:
            case PeerHello():
                self._greet(session, message)
            case MemberUpdate():
                self.learn([to_member(row) for row in message.members])
            case EvacuationUpdate():
                self._take_evacuations(session, message)
            case VersionAnnouncement():
                self._take_version(session, message)
            case ConfigurationRequest():
                self._news.give(session, message)
            case ConfigurationDeferred():
                self._news.take_later(session)
            case ConfigurationUpdate():
                self._news.take_configuration(session, message)
            case Claim():
                self._claims.answer(session, message)
            case ClaimResponse():
                self._claims.take_answer(message)
            case Release():
                self._claims.take_release(session, message)
            case Yield():
                self._claims.take_yield(session, message)
            case WorkerCrashed():
                self._take_crash(message)
            case DemandReport():
                self._take_demand(session, message)
            case Goodbye():
                session.is_ending = True
            case LinkHeartbeat():
                self._check_own_link(session, is_heard=message.is_receiving)

    def end_session(self, session: PeerSession) -> None:
        """Note that a link has ended."""
        session.link.reset()
        self._sessions.discard(session)
        member = session.member
        if member is None:
            return
        if session.is_dialled and self._dialled.get(member.name) is session:
            self._lose_dialled(session, member)
        if not session.is_dialled and self._accepted.get(member.incarnation) is session:
            self._lose_accepted(session, member)

    def note_process_pause(self) -> None:
        """Meet the others anew after this process stood still; they may have given it up."""
        self._met.clear()
        self._claims.note_process_pause()

    def reset_liveness_timers(self, late_s: float) -> None:
        """Take a time in which this entry did not listen off the silence of all others."""
        for session in self._sessions:
            session.link.reset_liveness(late_s)

    def tick(self, now: float) -> None:
        """Send beats, give up silent links, forget owners that are gone."""
        beat_s = max(BEAT_S, len(self._dialled) / BEATS_PER_S)
        self._demand.tick(self._dialled.values(), beat_s=beat_s, now=now)
        for session in list(self._sessions):
            hears_other = self._hears_on_accepted(session, now, beat_s)
            # What a busy link carries stands for its beats, but does not tell of the other link.
            is_due = now - session.link.sent_at >= beat_s or not hears_other
            if is_due and self._carries_beats(session):
                session.link.send(LinkHeartbeat(is_receiving=hears_other))
            if now - self._get_heard_at(session) > SILENT_BEATS * beat_s:
                log_event("peer:silent", peer=session.member.name if session.member else "")
                self.end_session(session)
        self._routes.tick(now)
        self.note_routes_changed()
        self._note_alone(now)
        self._claims.sweep(now)
        self._news.tick(now)

    def _take_demand(self, session: PeerSession, news: DemandReport) -> None:
        """Take in what waits at a peer, if it comes by the link that the peer uses now."""
        member = session.member
        if member is not None and self._accepted.get(member.incarnation) is session:
            self._demand.take(member, news)

    def _note_alone(self, now: float) -> None:
        if self._routes.is_answered or not self._claims.has_lost_peers:
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now

    def _lose_dialled(self, session: PeerSession, member: Member) -> None:
        """Note that an own link has ended, which carried this entry's claims."""
        del self._dialled[member.name]
        log_event(
            "peer:lost",
            peer=member.name,
            is_planned=session.is_ending,
            is_relayed=session.is_relayed,
        )
        self._news.forget(member.name)
        self._claims.doubt_home(member, is_planned=session.is_ending)
        self._claims.forget(session)
        if not session.is_ending:
            self._routes.suspect(member.incarnation)
        self._claims.move_all()

    def _lose_accepted(self, session: PeerSession, member: Member) -> None:
        """Note that a peer's link has ended; it may have another one by way of an agent."""
        others = [
            other
            for other in self._sessions
            if not other.is_dialled and other.member == member and other.link.is_open
        ]
        if others:
            self._accepted[member.incarnation] = others[0]
            return
        del self._accepted[member.incarnation]
        self._demand.forget(member.incarnation)
        if session.is_ending:
            self._claims.note_owner_lost(member)
            return
        self._lost_owners[member.incarnation] = member
        self._routes.suspect(member.incarnation)

    def _hears_on_accepted(self, session: PeerSession, now: float, beat_s: float) -> bool:
        """Tell whether the entry at the other end is heard on the link that it has dialled."""
        member = session.member
        accepted = None if member is None else self._accepted.get(member.incarnation)
        return accepted is not None and now - accepted.link.received_at <= SILENT_BEATS * beat_s

    def _check_own_link(self, session: PeerSession, *, is_heard: bool) -> None:
        """Dial an entry anew that does not hear this one though its own link works.

        A connection can fall silent alone. Its claims would go unanswered for as long as the
        other link kept both ends in reach.
        """
        own = None if session.member is None else self._dialled.get(session.member.name)
        if is_heard or session.is_dialled or own is None:
            return
        if clock.monotonic() - own.opened_at < DEAF_LINK_S:
            return
        log_event("peer:deaf", peer=own.member.name if own.member else "")
        self.end_session(own)

    def _carries_beats(self, session: PeerSession) -> bool:
        """Tell whether beats go out here: of two links with one entry, on the dialled one."""
        member = session.member
        return session.is_dialled or member is None or member.name not in self._dialled

    def _get_heard_at(self, session: PeerSession) -> float:
        """Return when the entry at the other end was last heard, on either of its links."""
        heard_at = session.link.received_at
        member = session.member
        if member is None:
            return heard_at
        if session.is_dialled:
            other = self._accepted.get(member.incarnation)
        else:
            other = self._dialled.get(member.name)
        if other is None or other.member != member:
            return heard_at
        return max(heard_at, other.link.received_at)

    def _dial(self, address: str) -> None:
        if address in self._dialers:
            return
        self._dialers[address] = Dialer(
            url=f"ws://{address}{PEERS_PATH}",
            message_type=PeerMessage,
            make_receiver=lambda link: self._open(link, is_dialled=True),
        )

    def _open(self, link: BaseLink, *, is_dialled: bool, is_relayed: bool = False) -> PeerSession:
        session = PeerSession(link=link, links=self, is_dialled=is_dialled, is_relayed=is_relayed)
        self._sessions.add(session)
        session.told = tuple(self._jobs.get_claimed_ids())
        link.send(PeerHello(member=to_row(self._member), jobs=session.told))
        self._tell_declarations(session)
        return session

    def _tell_declarations(self, session: PeerSession) -> None:
        """Tell what operators have declared: evacuations, and the configuration's version.

        In this order: with its first configuration a young entry begins to serve callers.
        """
        evacuations = self._evacuations.make_update()
        if evacuations is not None:
            session.link.send(evacuations)
        if not session.is_relayed:
            self._news.greet(session)

    def _greet(self, session: PeerSession, hello: PeerHello) -> None:
        member = to_member(hello.member)
        session.member = member
        self._met.add(member.name)
        self.learn([member])
        session.link.send(MemberUpdate(members=tuple(to_row(m) for m in self._book.members)))
        self._claims.take_open_ids(session, hello.jobs)
        self._claims.note_greeted(session)
        if session.is_dialled:
            self._greet_dialled(session, member)
        else:
            self._greet_accepted(session, member)

    def _greet_dialled(self, session: PeerSession, member: Member) -> None:
        before = self._dialled.get(member.name)
        if before is not None and session.is_relayed and not before.is_relayed:
            self.end_session(session)
            return
        self._dialled[member.name] = session
        # Changes since the link opened were told to greeted entries alone.
        self._tell_declarations(session)
        for crashed in self._make_crashes():
            # A peer that began anew may be asked for a job that has cost workers before.
            session.link.send(crashed)
        log_event(
            "peer:link",
            peer=member.name,
            peers=len(self._dialled),
            is_relayed=session.is_relayed,
        )
        if before is not None and before is not session:
            self.end_session(before)
        self._claims.move_all()

    def _greet_accepted(self, session: PeerSession, member: Member) -> None:
        self._lost_owners.pop(member.incarnation, None)
        self._claims.note_owner_back(member)
        before = self._accepted.get(member.incarnation)
        if before is not None and session.is_relayed and not before.is_relayed:
            # It takes the place of the other once that has ended.
            return
        self._accepted[member.incarnation] = session
        if before is not None and before is not session and not before.is_relayed:
            self.end_session(before)

    def _take_version(self, session: PeerSession, news: VersionAnnouncement) -> None:
        """Take in a version, unless it could come by way of an agent alone."""
        if not session.is_relayed:
            self._news.take_version(session, news)

    def _take_evacuations(self, session: PeerSession, news: EvacuationUpdate) -> None:
        answer = self._evacuations.handle_update(news, source=session.name or "peer")
        if answer is not None:
            session.link.send(answer)

    def _has_met_all(self) -> bool:
        """Tell whether every entry that is known has said which jobs it has."""
        known = {member.name for member in self._book.members}
        greeted = {s.member.name for s in self._sessions if s.member is not None}
        return bool(known) and known <= greeted | self._met
