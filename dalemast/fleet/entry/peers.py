"""The links of an entry with other entries: they carry claims, declarations, members and demand.

Each entry dials every other one, and sends its claims on the links that it has dialled. While two
entries can't reach each other, agents that reach both relay these links for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.fleet.address_book import (
    AddressBook,
    to_member,
    to_row,
)
from dalemast.fleet.base import Member
from dalemast.fleet.entry.claims import JobClaims, OwnJobs
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.fleet.entry.configuration_exchange import ConfigurationExchange
from dalemast.fleet.entry.demand import DemandExchange
from dalemast.fleet.entry.partitions import PartitionGuard
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
from dalemast.fleet.links import (
    BaseLink,
    Dialer,
    Link,
    RelayedLink,
)
from dalemast.fleet.paths import PEERS_PATH
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event

__all__ = ["PeerLinks"]

MIN_BEAT_S = 0.2
"""Minimum interval between heartbeats to another entry."""
MAX_BEATS_PER_S = 40
"""Maximum rate of heartbeats to all other entries together. It lengthens the interval in large
fleets, where heartbeats would otherwise grow with the square of the number of entries."""
LIVENESS_TIMEOUT_BEATS = 2.5
"""Heartbeat intervals without a message after which an entry counts as unresponsive."""
MIN_UNHEARD_LINK_AGE_S = 1.0
"""Minimum age of a dialled link that is closed because the other entry reports that it receives
nothing on it. On a younger link the first message may still be in flight."""


class PeerLinks:
    """The links of this entry with all other entries."""

    def __init__(
        self,
        *,
        member: Member,
        book: AddressBook,
        configuration: ConfigurationInForce,
        evacuations: EvacuationsInForce,
        times: FleetTimes,
        jobs: OwnJobs,
        notify_agents: Callable[[Iterable[Member]], None],
        handle_crash: Callable[[WorkerCrashed], None],
        make_crashes: Callable[[], list[WorkerCrashed]],
        demand: DemandExchange,
        metrics: Metrics,
    ) -> None:
        self._member = member
        self._book = book
        self._evacuations = evacuations
        self._times = times
        self._jobs = jobs
        self._notify_agents = notify_agents
        self._handle_crash = handle_crash
        self._make_crashes = make_crashes
        self._demand = demand
        self._dialers: dict[str, Dialer] = {}
        self._dialled: dict[str, PeerSession] = {}
        self._accepted: dict[str, PeerSession] = {}
        self._sessions: set[PeerSession] = set()
        self._greeted: set[str] = set()
        """Names of the entries that have sent a greeting."""
        self._lost_owners: dict[str, Member] = {}
        """Peers lost without a goodbye, by incarnation. Agents may still reach them."""
        self._isolated_since: float | None = None
        """Since when no agent responds while a peer is lost, or None."""
        self._configuration_exchange = ConfigurationExchange(
            configuration=configuration, dialled=self._dialled
        )
        self._routes = PeerRoutes(
            incarnation=member.incarnation, dialled=self._dialled, receiver=self
        )
        self._partitions = PartitionGuard(
            member=member,
            book=book,
            dialled=self._dialled,
            routes=self._routes,
            times=times,
            metrics=metrics,
        )
        self._started_at = clock.monotonic()
        self._claims = JobClaims(
            member=member,
            jobs=jobs,
            lapse_s=times.lost_run_s,
            dialled=self._dialled,
            accepted=self._accepted,
            has_all_greetings=self._has_all_greetings,
            search=self._routes,
            partitions=self._partitions,
        )

    @property
    def peers(self) -> list[str]:
        """Names of the reachable entries."""
        return sorted(self._dialled)

    @property
    def claims(self) -> JobClaims:
        """The claims on job ids, which use these links."""
        return self._claims

    @property
    def is_isolated(self) -> bool:
        """Whether other entries may treat this one as gone, and grant its ids after a while.

        So it is if a peer is lost and no agent has responded for a while, or if this entry is in
        the smaller part of a divided network. It drops its jobs in less than half the time that
        the others wait, so that no job runs on both sides.
        """
        return self._reaches_no_agent or self._partitions.is_refusing

    @property
    def partitions(self) -> PartitionGuard:
        """The decisions that this entry may make while others are unreachable."""
        return self._partitions

    @property
    def _reaches_no_agent(self) -> bool:
        since = self._isolated_since
        return since is not None and clock.monotonic() - since >= self._times.link_timeout_s

    @property
    def routes(self) -> PeerRoutes:
        """The routes to entries that can't be reached directly."""
        return self._routes

    def start(self) -> None:
        """Dial all known entries, and those that become known later."""
        for address in self._book.addresses:
            self._dial(address)
        self._book.on_address(self._dial)
        self._configuration_exchange.start()

    def stop(self) -> None:
        """Send a goodbye on all links, and stop dialling."""
        for session in self._sessions:
            session.link.send(Goodbye())
            session.link.flush()
        for dialer in self._dialers.values():
            dialer.stop()

    def accept(self, link: Link) -> PeerSession:
        """Start a session on a link that another entry has opened."""
        return self._open(link, is_dialled=False)

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        """Start a session on a link that an agent relays."""
        return self._open(link, is_dialled=is_dialled, is_relayed=True)

    def handle_routes_changed(self) -> None:
        """Let the claims of lost entries lapse once no agent reaches them."""
        for incarnation, member in list(self._lost_owners.items()):
            if self._partitions.is_over(member):
                del self._lost_owners[incarnation]
                log_event("peer:gone", peer=member.name, incarnation=incarnation)
                self._claims.record_owner_lost(member)

    def send_evacuations(self, _: Evacuations) -> None:
        """Send the evacuations in force to all entries; some may have no access to the store."""
        message = self._evacuations.make_update()
        for session in self._dialled.values():
            session.link.send(message)

    def send_crash(self, crashed: WorkerCrashed) -> None:
        """Send a crash to all entries, with the tasks of this entry that ran on the worker.

        The caller may submit the job to any of them next, and not all have links with the agent of
        that worker.
        """
        for session in self._dialled.values():
            session.link.send(crashed)

    def add_members(self, members: Iterable[Member]) -> None:
        """Add entries to the address book, and forward the new ones to peers and agents."""
        new_members = self._book.add_members(members)
        if not new_members:
            return
        for session in self._dialled.values():
            session.link.send(MemberUpdate(members=tuple(to_row(member) for member in new_members)))
        self._notify_agents(new_members)

    def handle_message(self, session: PeerSession, message: PeerMessage) -> None:
        """Handle a message from another entry."""
        match message:
            case PeerHello():
                self._greet(session, message)
            case MemberUpdate():
                self.add_members([to_member(row) for row in message.members])
            case EvacuationUpdate():
                self._handle_evacuations(session, message)
            case VersionAnnouncement():
                self._handle_version(session, message)
            case ConfigurationRequest():
                self._configuration_exchange.send_configuration(session, message)
            case ConfigurationDeferred():
                self._configuration_exchange.handle_deferred(session)
            case ConfigurationUpdate():
                self._configuration_exchange.handle_configuration(session, message)
            case Claim():
                self._claims.handle_claim(session, message)
            case ClaimResponse():
                self._claims.handle_response(message)
            case Release():
                self._claims.handle_release(session, message)
            case Yield():
                self._claims.handle_yield(session, message)
            case WorkerCrashed():
                self._handle_crash(message)
            case DemandReport():
                self._handle_demand(session, message)
            case Goodbye():
                session.is_ending = True
            case LinkHeartbeat():
                self._check_dialled_link(session, is_received=message.is_receiving)

    def end_session(self, session: PeerSession) -> None:
        """Close a link and handle its loss."""
        session.link.reset()
        self._sessions.discard(session)
        member = session.member
        if member is None:
            return
        if session.is_dialled and self._dialled.get(member.name) is session:
            self._handle_dialled_lost(session, member)
        if not session.is_dialled and self._accepted.get(member.incarnation) is session:
            self._handle_accepted_lost(session, member)

    def note_process_pause(self) -> None:
        """Require new greetings after a pause of this process, as peers may have dropped it."""
        self._greeted.clear()
        self._partitions.restart_waits()
        self._claims.note_process_pause()

    def reset_liveness_timers(self, late_s: float) -> None:
        """Exclude a time in which this process was late from the liveness timers of all links."""
        for session in self._sessions:
            session.link.reset_liveness(late_s)

    def tick(self, now: float) -> None:
        """Send heartbeats, close unresponsive links, and remove owners that are gone."""
        beat_s = max(MIN_BEAT_S, len(self._dialled) / MAX_BEATS_PER_S)
        self._demand.tick(self._dialled.values(), beat_s=beat_s, now=now)
        for session in list(self._sessions):
            hears_other = self._receives_on_accepted(session, now, beat_s)
            # Other messages replace heartbeats, but don't report a failure of the other link.
            is_due = now - session.link.sent_at >= beat_s or not hears_other
            if is_due and self._carries_beats(session):
                session.link.send(LinkHeartbeat(is_receiving=hears_other))
            if now - self._get_last_received_at(session) > LIVENESS_TIMEOUT_BEATS * beat_s:
                log_event("peer:silent", peer=session.member.name if session.member else "")
                self.end_session(session)
        self._routes.tick(now)
        self._update_isolation(now)
        self._partitions.tick(now, beat_s=beat_s)
        self.handle_routes_changed()
        self._claims.sweep(now)
        self._configuration_exchange.tick(now)

    def _handle_demand(self, session: PeerSession, message: DemandReport) -> None:
        """Handle a peer's report of queued work, unless it arrives on a replaced link."""
        member = session.member
        if member is not None and self._accepted.get(member.incarnation) is session:
            self._demand.handle_report(member, message)

    def _update_isolation(self, now: float) -> None:
        if self._routes.has_agent_response or not self._claims.has_lost_peers:
            if self._reaches_no_agent:
                self._partitions.restart_waits()
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now

    def _handle_dialled_lost(self, session: PeerSession, member: Member) -> None:
        """Handle the loss of a dialled link, which carried this entry's claims."""
        del self._dialled[member.name]
        log_event(
            "peer:lost",
            peer=member.name,
            is_planned=session.is_ending,
            is_relayed=session.is_relayed,
        )
        self._configuration_exchange.remove_peer(member.name)
        self._claims.suspect_home(member, is_planned=session.is_ending)
        self._partitions.record_lost(member, is_planned=session.is_ending)
        self._claims.cancel_pending(session)
        if not session.is_ending:
            self._routes.suspect(member.incarnation)
        self._claims.announce_all()

    def _handle_accepted_lost(self, session: PeerSession, member: Member) -> None:
        """Handle the loss of an accepted link. The peer may have another one that is relayed."""
        others = [
            other
            for other in self._sessions
            if not other.is_dialled and other.member == member and other.link.is_open
        ]
        if others:
            self._accepted[member.incarnation] = others[0]
            return
        del self._accepted[member.incarnation]
        self._demand.remove_peer(member.incarnation)
        if session.is_ending:
            self._claims.record_owner_lost(member)
            return
        self._lost_owners[member.incarnation] = member
        self._routes.suspect(member.incarnation)

    def _receives_on_accepted(self, session: PeerSession, now: float, beat_s: float) -> bool:
        """Return whether messages arrive on the link that the other entry has dialled."""
        member = session.member
        accepted = None if member is None else self._accepted.get(member.incarnation)
        return (
            accepted is not None
            and now - accepted.link.received_at <= LIVENESS_TIMEOUT_BEATS * beat_s
        )

    def _check_dialled_link(self, session: PeerSession, *, is_received: bool) -> None:
        """Close the dialled link if the other entry receives nothing on it. It is then redialled.

        One connection may stop working while the other still shows both entries as reachable.
        Claims sent on the broken one would stay unanswered.
        """
        dialled = None if session.member is None else self._dialled.get(session.member.name)
        if is_received or session.is_dialled or dialled is None:
            return
        if clock.monotonic() - dialled.opened_at < MIN_UNHEARD_LINK_AGE_S:
            return
        log_event("peer:deaf", peer=dialled.member.name if dialled.member else "")
        self.end_session(dialled)

    def _carries_beats(self, session: PeerSession) -> bool:
        """Return whether heartbeats are sent on a link: of two with one entry, the dialled one."""
        member = session.member
        return session.is_dialled or member is None or member.name not in self._dialled

    def _get_last_received_at(self, session: PeerSession) -> float:
        """Return when a message was last received from an entry, on either of its links."""
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
        session.announced_ids = tuple(self._jobs.get_claimed_ids())
        age_s = clock.monotonic() - self._started_at
        hello = PeerHello(
            member=to_row(self._member),
            jobs=session.announced_ids,
            age_s=age_s,
            agents=self._routes.known_agents if self._partitions.knows_all_agents else (),
        )
        link.send(hello)
        self._claims.announce_cancelled(session)
        self._send_declarations(session)
        return session

    def _send_declarations(self, session: PeerSession) -> None:
        """Send the operators' declarations: evacuations, and the version of the configuration.

        The evacuations go first, since an entry serves callers once it has a configuration.
        """
        evacuations = self._evacuations.make_update()
        if evacuations is not None:
            session.link.send(evacuations)
        if not session.is_relayed:
            self._configuration_exchange.announce(session)

    def _greet(self, session: PeerSession, hello: PeerHello) -> None:
        member = to_member(hello.member)
        session.member = member
        session.peer_started_at = clock.monotonic() - hello.age_s
        self._greeted.add(member.name)
        self._routes.add_known_agents(hello.agents)
        self.add_members([member])
        session.link.send(MemberUpdate(members=tuple(to_row(m) for m in self._book.members)))
        self._claims.handle_open_ids(session, hello.jobs)
        self._claims.record_greeting(session)
        if session.is_dialled:
            self._greet_dialled(session, member)
        else:
            self._greet_accepted(session, member)

    def _greet_dialled(self, session: PeerSession, member: Member) -> None:
        previous = self._dialled.get(member.name)
        if previous is not None and session.is_relayed and not previous.is_relayed:
            self.end_session(session)
            return
        self._dialled[member.name] = session
        self._partitions.record_linked(member)
        # Changes made since the link was opened were sent to greeted entries only.
        self._send_declarations(session)
        log_event(
            "peer:link",
            peer=member.name,
            peers=len(self._dialled),
            is_relayed=session.is_relayed,
        )
        if previous is not None and previous is not session:
            self.end_session(previous)
        self._claims.announce_all()

    def _greet_accepted(self, session: PeerSession, member: Member) -> None:
        for crashed in self._make_crashes():
            # A restarted peer may receive a job whose tasks have crashed workers before. On this
            # link they precede the responses to its claims.
            session.link.send(crashed)
        self._lost_owners.pop(member.incarnation, None)
        self._claims.record_owner_back(member)
        previous = self._accepted.get(member.incarnation)
        if previous is not None and session.is_relayed and not previous.is_relayed:
            # The relayed link replaces the direct one once that has ended.
            return
        self._accepted[member.incarnation] = session
        if previous is not None and previous is not session and not previous.is_relayed:
            self.end_session(previous)

    def _handle_version(self, session: PeerSession, message: VersionAnnouncement) -> None:
        """Handle a version, unless it comes on a relayed link, which carries no configurations."""
        if not session.is_relayed:
            self._configuration_exchange.handle_version(session, message)

    def _handle_evacuations(self, session: PeerSession, message: EvacuationUpdate) -> None:
        response = self._evacuations.handle_update(message, source=session.name or "peer")
        if response is not None:
            session.link.send(response)

    def _has_all_greetings(self) -> bool:
        """Return whether all known entries have sent a greeting, and their claims with it."""
        known = {member.name for member in self._book.members}
        greeted = {s.member.name for s in self._sessions if s.member is not None}
        return bool(known) and known <= greeted | self._greeted
