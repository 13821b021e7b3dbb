"""The links between entries, as this entry sees each one."""

from __future__ import annotations

from typing import Protocol

from dalemast import clock
from dalemast.core.scheduling.demand_reports import DemandSubscriber
from dalemast.fleet.base import Member
from dalemast.fleet.frames import PeerMessage
from dalemast.fleet.links import BaseLink

__all__ = ["PeerSession", "PeerSessionHandler"]


class PeerSessionHandler(Protocol):
    """Takes what happens on a link."""

    def handle_message(self, session: PeerSession, message: PeerMessage) -> None:
        """Take in one message."""

    def end_session(self, session: PeerSession) -> None:
        """Note that a link has ended."""


class PeerSession:
    """One link with another entry, dialled or accepted."""

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
        """Whether an agent passes its frames on, for lack of a connection."""
        self.member: Member | None = None
        self.is_ending = False
        self.announced_ids: tuple[str, ...] = ()
        """The ids that this entry's own greeting told as claimed."""
        self.demand = DemandSubscriber()
        """What the other entry was told on this link of the work that waits."""
        self._links = links

    @property
    def name(self) -> str:
        """The other entry's name, or an empty text before its greeting."""
        return self.member.name if self.member else ""

    def receive(self, messages: list[PeerMessage]) -> None:
        """Take in a frame."""
        for message in messages:
            self._links.handle_message(self, message)

    def close(self) -> None:
        """Note that the link has ended."""
        self._links.end_session(self)
