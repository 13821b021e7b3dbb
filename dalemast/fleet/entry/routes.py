"""Ways to entries that this one can't reach itself: by way of agents that hear both.

A peer that is silent may be gone, or cut off from this entry alone. Agents know: they keep links
with all entries, or with many in a large system. So after a peer was lost without a goodbye all
agents in reach are asked whom they hear, as indirect probes do in the SWIM protocol. A peer that
one of them hears gets a link that this agent relays, and its claims go on by it. A peer that none
of them hears has no run that an agent in reach knows of, and counts as gone.

Load: a question to each agent and an answer for each peer that is lost without a goodbye, and a
further answer at each change; beats by one agent for as long as a peer is reached by it. With 100
agents in reach that is some 300 messages for a lost peer, and none in calm.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Mapping
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

DIAL_FIRST_S = 0.3
"""How long a peer that was never lost is left to be reached directly, once agents hear it: an entry
that is up is dialled within 0.1 s, and as a system starts agents hear most of them before."""


class RouteReceiver(Protocol):
    """Takes the links that agents relay."""

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        """Begin a session on a link that was opened here, or by the peer."""

    def note_routes_changed(self) -> None:
        """Note that agents have told whom they hear, or that one was lost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentView:
    """The incarnations that an agent hears, as of the question that it answered last.

    ``left_jobs`` are the jobs that still run there for an owner that it does not hear.
    """

    answered: int
    entries: frozenset[str]
    left_jobs: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A relayed link, and who uses it."""

    link: RelayedLink
    session: PeerSession
    peer: str


class PeerRoutes:
    """What agents hear of other entries, and the links that they relay.

    ``incarnation`` is this entry's, and ``dialled`` are the links that carry its claims, by the
    peer's name; their keeper adds to them and takes away.
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
        self._views: dict[AgentSession, AgentView] = {}
        self._asked = 0
        """The number of the last question; later answers show what was so after it."""
        self._suspects: dict[str, int] = {}
        """Incarnations that were lost, each with the number of the first question about it."""
        self._unlinked_since: dict[str, float] = {}
        self._routes: dict[tuple[AgentSession, str], Route] = {}
        self._numbers = itertools.count(1)

    @property
    def is_answered(self) -> bool:
        """Whether any agent has answered the last question, and so is surely in reach."""
        return any(view.answered >= self._asked for view in self._views.values())

    @property
    def is_searching(self) -> bool:
        """Whether a peer may be there that this entry has no link with.

        So it is before the agents have answered, and while they hear one that is not linked yet.
        Without agents nothing is known, and nothing could be started either.
        """
        if not self._views:
            return True
        return self._is_waiting() or bool(self._find_unlinked())

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether no agent hears a peer that was lost, by answers that are newer than that."""
        number = self._suspects.get(incarnation, self._asked)
        views = self._views.values()
        return bool(views) and all(
            view.answered >= number and incarnation not in view.entries for view in views
        )

    def has_left_runs(self, job_id: str) -> bool:
        """Tell whether something of a job still runs for an owner that its agent does not hear."""
        return any(job_id in view.left_jobs for view in self._views.values())

    def awaits(self, session: AgentSession) -> bool:
        """Tell whether an agent has not answered yet."""
        view = self._views.get(session)
        return view is not None and view.answered < self._asked

    def add_agent(self, session: AgentSession) -> None:
        """Ask an agent that was just met."""
        self._views[session] = AgentView(answered=-1, entries=frozenset())
        self._ask(session)

    def remove_agent(self, session: AgentSession) -> None:
        """Note that an agent is out of reach, with all that it relays."""
        if self._views.pop(session, None) is None:
            return
        for key in [key for key in self._routes if key[0] is session]:
            self._lose_route(key)
        self._receiver.note_routes_changed()

    def suspect(self, incarnation: str) -> None:
        """Note that a peer was lost without a goodbye, and ask all agents about it."""
        if incarnation in self._suspects:
            return
        self._asked += 1
        self._suspects[incarnation] = self._asked
        for session in self._views:
            self._ask(session)

    def take_heard(self, session: AgentSession, news: ReachableEntries) -> None:
        """Take in whom an agent hears."""
        if session not in self._views:
            return
        self._views[session] = AgentView(
            answered=news.number,
            entries=frozenset(news.entries),
            left_jobs=frozenset(news.left_jobs),
        )
        self._open_routes(now=clock.monotonic())
        self._receiver.note_routes_changed()

    def take_frame(self, session: AgentSession, message: Relayed) -> None:
        """Take in a frame that an agent relays."""
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

    def take_end(self, session: AgentSession, message: RouteEnded) -> None:
        """Note that nothing more comes by a route."""
        self._lose_route((session, message.route))

    def tick(self, now: float) -> None:
        """Look for ways to peers that were not reached directly in time, and try anew."""
        self._open_routes(now=now)
        linked = self._get_linked()
        for incarnation in [row for row in self._suspects if row in linked or self.is_gone(row)]:
            del self._suspects[incarnation]

    def _ask(self, session: AgentSession) -> None:
        ask = ReachableEntriesRequest(number=self._asked, suspects=tuple(self._suspects))
        session.link.send(ask)

    def _is_waiting(self) -> bool:
        return any(view.answered < self._asked for view in self._views.values())

    def _get_linked(self) -> set[str]:
        members = (session.member for session in self._dialled.values())
        return {self._incarnation, *(member.incarnation for member in members if member)}

    def _find_unlinked(self) -> set[str]:
        """Return the incarnations that agents hear and that this entry has no link with."""
        heard: set[str] = set()
        for view in self._views.values():
            heard |= view.entries
        return heard - self._get_linked()

    def _open_routes(self, *, now: float) -> None:
        unlinked = self._find_unlinked()
        since = {row: at for row, at in self._unlinked_since.items() if row in unlinked}
        self._unlinked_since = since
        opening = {route.peer for route in self._routes.values() if route.session.is_dialled}
        for incarnation in sorted(unlinked):
            since.setdefault(incarnation, now)
            if incarnation not in self._suspects and now - since[incarnation] < DIAL_FIRST_S:
                continue
            # One that can't be dialled may be gone, and agents with idle links not know it yet.
            self.suspect(incarnation)
            if incarnation not in opening:
                self._open_route(incarnation)

    def _open_route(self, incarnation: str) -> None:
        """Open a link with a peer by way of one of the agents that hear it."""
        hearing = [row for row, view in self._views.items() if incarnation in view.entries]
        agent = random.choice(hearing)
        name = f"{self._incarnation}/{next(self._numbers)}"
        self._make_route(agent, name, incarnation, is_dialled=True)
        log_event(
            "peer:relayed",
            peer=incarnation,
            agent=agent.name,
            agents=len(hearing),
            of=len(self._views),
            route=name,
        )

    def _accept(self, agent: AgentSession, message: Relayed) -> Route:
        return self._make_route(agent, message.route, message.sender, is_dialled=False)

    def _make_route(self, agent: AgentSession, name: str, peer: str, *, is_dialled: bool) -> Route:
        firsts = itertools.chain([is_dialled], itertools.repeat(False))

        def pass_on(frame: str) -> None:
            agent.link.send(
                Relayed(
                    route=name,
                    sender=self._incarnation,
                    receiver=peer,
                    frame=frame,
                    is_first=next(firsts),
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
        """Note that a route has ended at the agent or beyond it."""
        route = self._routes.pop(key, None)
        if route is not None:
            route.link.mark_closed()
            route.session.close()
