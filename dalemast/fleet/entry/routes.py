"""Routes to entries that this one can't reach directly, relayed by agents that reach both.

An unresponsive peer may be gone, or unreachable from this entry alone. Agents keep links with all
entries, or with many of them in a large system. After a peer was lost without a goodbye, all
reachable agents are therefore asked which entries they reach, like the indirect probes of the SWIM
protocol. If an agent reaches the peer, a link by way of this agent is opened, which carries the
claims. A peer that no agent reaches has no runs that a reachable agent knows of, and is treated as
gone.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from dalemast import clock
from dalemast.fleet.entry.agent_sessions import AgentSession
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import (
    PeerMessage,
    ReachableEntries,
    ReachableEntriesRequest,
    Relayed,
    RouteEnded,
)
from dalemast.fleet.links import RelayedLink
from dalemast.observability import log_error, log_event

__all__ = ["PeerRoutes", "RouteReceiver"]

MISSING_S = 60.0
"""How long an agent that was lost without a goodbye counts as missing, in seconds.
It may be serving entries that this one can't reach."""
DIRECT_DIAL_S = 0.3
"""How long to wait for a direct link with a newly reported entry before a route to it is opened.
While a system starts, agents report most entries before this entry has dialled them."""


class RouteReceiver(Protocol):
    """Receives the links that agents relay."""

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        """Start a session on a relayed link that was opened here, or by the peer."""

    def handle_routes_changed(self) -> None:
        """Handle a new report of an agent, or the loss of one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentReport:
    """An agent's response to the request ``request_number`` for the entries that it can reach.

    ``entries`` holds their incarnations; ``left_jobs`` holds the ids of jobs that have runs on the
    agent's worker but whose owner the agent cannot reach.
    """

    request_number: int
    entries: frozenset[str]
    left_jobs: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A relayed link, its session, and the incarnation of the peer."""

    link: RelayedLink
    session: PeerSession
    peer: str


class PeerRoutes:
    """Tracks which entries the agents reach, and the links that they relay.

    ``incarnation`` is that of this entry. ``dialled`` holds the links that carry its claims, by the
    name of the peer; the caller keeps it up to date.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        dialled: Mapping[str, PeerSession],
        receiver: RouteReceiver,
    ) -> None:
        self._incarnation = incarnation
        self._dialled = dialled
        self._receiver = receiver
        self._reports: dict[AgentSession, AgentReport] = {}
        self._last_request_number = 0
        """The number of the last request. A response with this number is newer than the request."""
        self._suspects: dict[str, int] = {}
        """Lost incarnations, each with the number of the first request about it."""
        self._unlinked_since: dict[str, float] = {}
        self._routes: dict[tuple[AgentSession, str], Route] = {}
        self._missing_agents: dict[str, float] = {}
        """Names of agents that were lost without a goodbye, or that only peers reach, with the time
        since when."""
        self._numbers = itertools.count(1)

    @property
    def has_agent_response(self) -> bool:
        """Whether any agent has responded to the last request, which shows that it is reachable."""
        return any(
            report.request_number >= self._last_request_number for report in self._reports.values()
        )

    @property
    def may_have_unlinked_peer(self) -> bool:
        """Whether a peer may be running that has no link with this entry.

        True until all agents have responded, and while they reach an entry that is not linked yet.
        Also true without any agent, since nothing is known then.
        """
        if not self._reports:
            return True
        return self._is_awaiting_responses() or bool(self._list_unlinked())

    @property
    def has_missing_agent(self) -> bool:
        """Whether an agent that this entry or a peer was linked with may be out of reach."""
        return bool(self._missing_agents)

    @property
    def missing_agents(self) -> list[str]:
        """Names of the agents that were lost without a goodbye, or that only peers reach."""
        return sorted(self._missing_agents)

    @property
    def known_agents(self) -> tuple[str, ...]:
        """Names of the reachable agents and of those that are missing."""
        return tuple(sorted(self._get_reachable_agents().union(self._missing_agents)))

    def add_known_agents(self, names: Iterable[str]) -> None:
        """Count agents as missing that a peer knows, until they are linked here, too."""
        for name in set(names) - self._get_reachable_agents():
            self._missing_agents.setdefault(name, clock.monotonic())

    def is_gone(self, incarnation: str) -> bool:
        """Return whether no agent reaches a lost peer, by responses newer than the loss."""
        number = self._suspects.get(incarnation, self._last_request_number)
        reports = self._reports.values()
        return bool(reports) and all(
            report.request_number >= number and incarnation not in report.entries
            for report in reports
        )

    def has_orphaned_runs(self, job_id: str) -> bool:
        """Return whether a job has runs left for an owner that is unreachable from their agent."""
        return any(job_id in report.left_jobs for report in self._reports.values())

    def is_awaiting(self, session: AgentSession) -> bool:
        """Return whether an agent has not responded to the last request yet."""
        report = self._reports.get(session)
        return report is not None and report.request_number < self._last_request_number

    def add_agent(self, session: AgentSession) -> None:
        """Send a request to an agent with a new link."""
        self._missing_agents.pop(session.name, None)
        self._reports[session] = AgentReport(request_number=-1, entries=frozenset())
        self._send_request(session)

    def remove_agent(self, session: AgentSession) -> None:
        """Remove an agent that is unreachable, with the routes that it relays."""
        if self._reports.pop(session, None) is None:
            return
        if not session.is_ending:
            self._missing_agents[session.name] = clock.monotonic()
        for key in [key for key in self._routes if key[0] is session]:
            self._lose_route(key)
        self._receiver.handle_routes_changed()

    def suspect(self, incarnation: str) -> None:
        """Ask all agents about a peer that was lost without a goodbye."""
        if incarnation in self._suspects:
            return
        self._last_request_number += 1
        self._suspects[incarnation] = self._last_request_number
        for session in self._reports:
            self._send_request(session)

    def handle_reachable_entries(self, session: AgentSession, message: ReachableEntries) -> None:
        """Handle a report of the entries that an agent reaches."""
        if session not in self._reports:
            return
        self._reports[session] = AgentReport(
            request_number=message.number,
            entries=frozenset(message.entries),
            left_jobs=frozenset(message.left_jobs),
        )
        self._open_routes(now=clock.monotonic())
        self._receiver.handle_routes_changed()

    def handle_frame(self, session: AgentSession, message: Relayed) -> None:
        """Handle a frame that an agent relays."""
        key = session, message.route
        route = self._routes.get(key)
        if route is None and message.is_first and message.receiver == self._incarnation:
            route = self._accept(session, message)
        if route is None:
            self._end_route(session, message.route, message.sender)
            return
        try:
            messages = route.link.decode(message.frame)
        except msgspec.MsgspecError as error:
            log_error("link:bad-frame", reason=str(error))
            route.session.close()
            return
        route.session.receive(messages)

    def handle_route_ended(self, session: AgentSession, message: RouteEnded) -> None:
        """Handle the end of a route."""
        self._lose_route((session, message.route))

    def tick(self, now: float) -> None:
        """Open routes to peers that have no link yet, and drop suspects that are settled."""
        self._open_routes(now=now)
        self._missing_agents = {
            name: at for name, at in self._missing_agents.items() if now - at < MISSING_S
        }
        linked = self._get_linked()
        for incarnation in [
            suspect for suspect in self._suspects if suspect in linked or self.is_gone(suspect)
        ]:
            del self._suspects[incarnation]

    def _get_reachable_agents(self) -> set[str]:
        return {session.name for session in self._reports}

    def _send_request(self, session: AgentSession) -> None:
        request = ReachableEntriesRequest(
            number=self._last_request_number, suspects=tuple(self._suspects)
        )
        session.link.send(request)

    def _is_awaiting_responses(self) -> bool:
        return any(
            report.request_number < self._last_request_number for report in self._reports.values()
        )

    def _get_linked(self) -> set[str]:
        members = (session.member for session in self._dialled.values())
        return {self._incarnation, *(member.incarnation for member in members if member)}

    def _list_unlinked(self) -> set[str]:
        """Return the incarnations that agents reach and with which this entry has no link."""
        reported: set[str] = set()
        for report in self._reports.values():
            reported |= report.entries
        return reported - self._get_linked()

    def _open_routes(self, *, now: float) -> None:
        unlinked = self._list_unlinked()
        since = {entry: at for entry, at in self._unlinked_since.items() if entry in unlinked}
        self._unlinked_since = since
        opening = {route.peer for route in self._routes.values() if route.session.is_dialled}
        for incarnation in sorted(unlinked):
            since.setdefault(incarnation, now)
            if incarnation not in self._suspects and now - since[incarnation] < DIRECT_DIAL_S:
                continue
            # An entry that can't be dialled may be gone without agents on idle links noticing yet.
            self.suspect(incarnation)
            if incarnation not in opening:
                self._open_route(incarnation)

    def _open_route(self, incarnation: str) -> None:
        """Open a link with a peer by way of one of the agents that reach it."""
        agents = [
            session for session, report in self._reports.items() if incarnation in report.entries
        ]
        agent = random.choice(agents)
        name = f"{self._incarnation}/{next(self._numbers)}"
        self._create_route(agent, name, incarnation, is_dialled=True)
        log_event(
            "peer:relayed",
            peer=incarnation,
            agent=agent.name,
            agents=len(agents),
            of=len(self._reports),
            route=name,
        )

    def _accept(self, agent: AgentSession, message: Relayed) -> Route:
        return self._create_route(agent, message.route, message.sender, is_dialled=False)

    def _create_route(
        self, agent: AgentSession, name: str, peer: str, *, is_dialled: bool
    ) -> Route:
        first_flags = itertools.chain([is_dialled], itertools.repeat(False))

        def pass_on(frame: str) -> None:
            agent.link.send(
                Relayed(
                    route=name,
                    sender=self._incarnation,
                    receiver=peer,
                    frame=frame,
                    is_first=next(first_flags),
                )
            )

        def end() -> None:
            if self._routes.pop((agent, name), None) is not None:
                self._end_route(agent, name, peer)

        link = RelayedLink(message_type=PeerMessage, forward=pass_on, end_route=end)
        session = self._receiver.open_relayed(link, is_dialled=is_dialled)
        route = Route(link=link, session=session, peer=peer)
        self._routes[agent, name] = route
        return route

    def _end_route(self, agent: AgentSession, name: str, peer: str) -> None:
        agent.link.send(RouteEnded(route=name, sender=self._incarnation, receiver=peer))

    def _lose_route(self, key: tuple[AgentSession, str]) -> None:
        """Close the link of a route that has ended at the agent or beyond it."""
        route = self._routes.pop(key, None)
        if route is not None:
            route.link.mark_closed()
            route.session.close()
