"""The session of an entry on a link with an agent."""

from __future__ import annotations

from typing import Protocol

from dalemast.fleet.frames import AgentHello, AgentMessage
from dalemast.fleet.links import Link

__all__ = ["AgentSession", "AgentSessionHandler"]


class AgentSessionHandler(Protocol):
    """Handles the messages and the end of a link."""

    def begin_frame(self) -> None:
        """Prepare for the messages of a frame."""

    def handle_message(self, session: AgentSession, message: AgentMessage) -> None:
        """Handle a message."""

    def end_session(self, session: AgentSession, reason: str) -> None:
        """Close a link."""


class AgentSession:
    """The session with one agent, from the opening of its link to the end of it."""

    def __init__(self, *, link: Link, links: AgentSessionHandler) -> None:
        self._link = link
        self._links = links
        self.hello: AgentHello | None = None
        self.worker = ""
        self.is_ending = False
        self.active_since: float | None = None
        """Since when the link has carried runs, or a request that waits for its response."""

    @property
    def name(self) -> str:
        """The agent's name, or an empty string before its greeting."""
        return self.hello.name if self.hello else ""

    @property
    def link(self) -> Link:
        """The link of this session."""
        return self._link

    def receive(self, messages: list[AgentMessage]) -> None:
        """Handle the messages of a frame."""
        self._links.begin_frame()
        for message in messages:
            self._links.handle_message(self, message)

    def close(self) -> None:
        """Handle the end of the link."""
        self._links.end_session(self, "closed")
