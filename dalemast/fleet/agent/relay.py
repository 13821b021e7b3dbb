"""An agent between entries that can't reach each other: it says whom it hears and relays frames.

It keeps no routes. A frame goes to the receiver's link as it is now, or the sender is told that its
route has ended; both ends of a route watch its beats, so that frames that were lost with a link end
it as the loss of a connection would.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dalemast import clock
from dalemast.core.supervision import Supervisor
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import ReachableEntries, ReachableEntriesRequest, Relayed, RouteEnded

__all__ = ["EntryRelay"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReachableState:
    """The owners that are linked, and the jobs that still run for others."""

    owners: frozenset[str] = frozenset()
    left_jobs: frozenset[str] = frozenset()


class EntryRelay:
    """Serves entries that ask for one another.

    ``sessions`` are the links with entries, by owner; their keeper adds to them and takes away.
    """

    def __init__(self, *, sessions: Mapping[str, OwnerSession], supervisor: Supervisor) -> None:
        self._sessions = sessions
        self._supervisor = supervisor
        self._told = ReachableState()
        """What was so when entries were told last."""

    def handle_request(self, session: OwnerSession, ask: ReachableEntriesRequest) -> None:
        """Answer an entry now and from now on, and find out whether its suspects are there."""
        session.entries_request = ask.number
        now = clock.monotonic()
        for owner in ask.suspects:
            suspect = self._sessions.get(owner)
            if suspect is not None:
                suspect.probe(now=now)
        self._tell(session, self._hear())

    def forward(self, session: OwnerSession, message: Relayed | RouteEnded) -> None:
        """Pass a frame or the end of a route on to its receiver."""
        receiver = self._sessions.get(message.receiver)
        if message.sender != session.owner:
            # Another life of this entry has this link by now; the one that sent it is over.
            return
        if receiver is not None and receiver.link.is_open:
            receiver.link.send(message)
        elif isinstance(message, Relayed):
            ended = RouteEnded(
                route=message.route, sender=message.receiver, receiver=message.sender
            )
            session.link.send(ended)

    def report_changes(self) -> None:
        """Tell the entries that have asked, if something is other than they were told last."""
        heard = self._hear()
        if heard == self._told:
            return
        self._told = heard
        for session in self._sessions.values():
            if session.entries_request is not None:
                self._tell(session, heard)

    def _hear(self) -> ReachableState:
        runs = self._supervisor.runs.values()
        left = {
            run.request.run_id.job_id for run in runs if run.request.owner not in self._sessions
        }
        left.update(run_id.job_id for run_id in self._supervisor.strays)
        return ReachableState(owners=frozenset(self._sessions), left_jobs=frozenset(left))

    def _tell(self, session: OwnerSession, heard: ReachableState) -> None:
        news = ReachableEntries(
            number=session.entries_request or 0,
            entries=tuple(sorted(heard.owners - {session.owner})),
            left_jobs=tuple(sorted(heard.left_jobs)),
        )
        session.link.send(news)
