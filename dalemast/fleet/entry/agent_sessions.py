"""The links with agents, as this entry sees each one."""

from __future__ import annotations

from typing import Protocol

from dalemast.fleet.frames import AgentHello, AgentMessage
from dalemast.fleet.links import Link

__all__ = ["AgentSession", "AgentSessionHandler"]


class AgentSessionHandler(Protocol):
    """Takes what happens on a link."""

    def begin_frame(self) -> None:
        """Prepare for a frame's messages."""

    def handle_message(self, session: AgentSession, message: AgentMessage) -> None:
        """Take in one message."""

    def end_session(self, session: AgentSession, reason: str) -> None:
        """Give a link up."""


class AgentSession:
    """One agent's link, from its hello to its end."""

    def __init__(self, *, link: Link, links: AgentSessionHandler) -> None:
        self._link = link
        self._links = links
        self.hello: AgentHello | None = None
        self.worker = ""
        self.is_ending = False
        self.active_since: float | None = None
        """Since when the link has carried runs."""

    @property
    def name(self) -> str:
        """The agent's name, or an empty text before its greeting."""
        return self.hello.name if self.hello else ""

    @property
    def link(self) -> Link:
        """The link."""
        return self._link

    def receive(self, messages: list[AgentMessage]) -> None:
        """Take in a frame."""
        self._links.begin_frame()
        for message in messages:
            self._links.handle_message(self, message)

    def close(self) -> None:
        """Note that the link has ended."""
        self._links.end_session(self, "closed")
