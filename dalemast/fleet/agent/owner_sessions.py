"""The links with entries, as this agent sees each one."""

from __future__ import annotations

from typing import Protocol

from dalemast.core.supervision import RoomAudience
from dalemast.fleet.base import Member
from dalemast.fleet.frames import EntryMessage
from dalemast.fleet.links import Link

__all__ = ["OwnerSession", "OwnerSessionKeeper"]


class OwnerSessionKeeper(Protocol):
    """Takes what happens on a link."""

    def receive(self, session: OwnerSession, messages: list[EntryMessage]) -> None:
        """Take in a frame."""

    def end_session(self, session: OwnerSession) -> None:
        """Note that a link has ended."""


class OwnerSession:
    """One link with an entry."""

    def __init__(self, *, link: Link, links: OwnerSessionKeeper) -> None:
        self.link = link
        self.member: Member | None = None
        self.is_near = False
        """Whether the entry is in the agent's data centre, once it has greeted."""
        self.seen = 0
        """The number of the last start that arrived on this link."""
        self.audience = RoomAudience()
        self._links = links

    @property
    def owner(self) -> str:
        """The entry's incarnation, which owns the runs that it starts."""
        return self.member.incarnation if self.member else ""

    def receive(self, messages: list[EntryMessage]) -> None:
        """Take in a frame."""
        self._links.receive(self, messages)

    def close(self) -> None:
        """Note that the link has ended."""
        self._links.end_session(self)
