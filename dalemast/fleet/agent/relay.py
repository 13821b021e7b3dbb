"""An agent between entries that can't reach each other: it says whom it hears and relays frames.

It keeps no routes. A frame goes to the receiver's link as it is now, or the sender is told that its
route has ended; both ends of a route watch its beats, so that frames that were lost with a link end
it as the loss of a connection would.
"""

from __future__ import annotations

import time
from collections.abc import Mapping

from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import EntriesAsk, EntriesHeard, Relayed, RouteEnded

__all__ = ["EntryRelay"]


class EntryRelay:
    """Serves entries that ask for one another.

    ``sessions`` are the links with entries, by owner; their keeper adds to them and takes away.
    """

    def __init__(self, *, sessions: Mapping[str, OwnerSession]) -> None:
        self._sessions = sessions

    def take_ask(self, session: OwnerSession, ask: EntriesAsk) -> None:
        """Answer an entry now and from now on, and find out whether its suspects are there."""
        session.entries_asked = ask.number
        now = time.monotonic()
        for owner in ask.suspects:
            suspect = self._sessions.get(owner)
            if suspect is not None:
                suspect.probe(now=now)
        session.entries_told = self._list_others(session)
        session.link.send(EntriesHeard(number=ask.number, entries=session.entries_told))

    def pass_on(self, session: OwnerSession, message: Relayed | RouteEnded) -> None:
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

    def tell_changes(self) -> None:
        """Tell the entries that have asked, if the links are others by now."""
        for session in self._sessions.values():
            if session.entries_asked is None:
                continue
            entries = self._list_others(session)
            if entries != session.entries_told:
                session.entries_told = entries
                session.link.send(EntriesHeard(number=session.entries_asked, entries=entries))

    def _list_others(self, session: OwnerSession) -> tuple[str, ...]:
        return tuple(sorted(owner for owner in self._sessions if owner != session.owner))
