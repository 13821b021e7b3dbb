"""The session of an entry on a link with another entry."""

from __future__ import annotations

from typing import Protocol

from dalemast import clock
from dalemast.core.scheduling.demand_reports import DemandSubscriber
from dalemast.fleet.base import Member
from dalemast.fleet.frames import PeerMessage
from dalemast.fleet.links import BaseLink

__all__ = ["PeerSession", "PeerSessionHandler"]


class PeerSessionHandler(Protocol):
    """Handles the messages and the end of a link."""

    def handle_message(self, session: PeerSession, message: PeerMessage) -> None:
        """Handle a message."""

    def end_session(self, session: PeerSession) -> None:
        """Close a link."""


class PeerSession:
    """The session on a link with another entry, dialled or accepted."""

    def __init__(
        self,
        *,
        link: BaseLink,
        links: PeerSessionHandler,
        is_dialled: bool,
        is_relayed: bool = False,
    ) -> None:
        self.link = link
        self.opened_at = clock.monotonic()
        self.is_dialled = is_dialled
        self.is_relayed = is_relayed
        """Whether an agent relays the frames, as there is no direct connection."""
        self.member: Member | None = None
        self.peer_started_at = self.opened_at
        """When the other entry started, on the monotonic clock; not earlier than it did."""
        self.is_ending = False
        self.announced_ids: tuple[str, ...] = ()
        """The claimed ids that this entry announced in its greeting."""
        self.demand = DemandSubscriber()
        """The queued demand that was reported to the other entry on this link."""
        self._links = links

    @property
    def name(self) -> str:
        """The other entry's name, or an empty string before its greeting."""
        return self.member.name if self.member else ""

    def receive(self, messages: list[PeerMessage]) -> None:
        """Handle the messages of a frame."""
        for message in messages:
            self._links.handle_message(self, message)

    def close(self) -> None:
        """Handle the end of the link."""
        self._links.end_session(self)
