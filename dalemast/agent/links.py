"""The agent's side of a link: a WebSocket opened by an entry."""

from __future__ import annotations

import contextlib
from typing import Any

import msgspec
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from dalemast.agent.engine import AgentEngine
from dalemast.core.wire import EntryHello
from dalemast.http.links import LinkWriter
from dalemast.http.security import SYSTEM_HEADER, SystemProof
from dalemast.observability import log_error, log_event
from dalemast.settings import EmulationSettings

__all__ = ["LinkHandler"]

POLICY_VIOLATION = 1008


class LinkHandler(WebSocketHandler):
    """One link. The first message is a hello, all later ones are frames."""

    def initialize(
        self, engine: AgentEngine, proof: SystemProof, data_centre: str, delays: EmulationSettings
    ) -> None:
        """Set the dependencies given in the route."""
        self._engine = engine
        self._proof = proof
        self._data_centre = data_centre
        self._delays = delays
        self._hello: EntryHello | None = None
        self._writer: LinkWriter | None = None

    def prepare(self) -> None:
        """Reject connections without a valid system proof."""
        if not self._proof.is_valid(self.request.headers.get(SYSTEM_HEADER, "")):
            self.set_status(401)
            self.finish()

    def open(self, *args: str, **kwargs: str) -> None:
        """Start the writer task."""
        self.set_nodelay(True)
        self._writer = LinkWriter(write=self._write, close=self.close, delay_s=0.0)

    async def _write(self, data: bytes) -> None:
        with contextlib.suppress(WebSocketClosedError):
            await self.write_message(data, binary=False)

    def on_message(self, message: Any) -> None:
        """Pass a message to the engine; close the link if it does not parse."""
        try:
            if self._hello is None:
                self._handle_hello(message)
            else:
                self._engine.receive(self._hello.owner, message)
        except msgspec.MsgspecError as error:
            log_error("agent:bad-frame", reason=str(error))
            self.close(POLICY_VIOLATION, "malformed frame")

    def on_close(self) -> None:
        """Unregister the link."""
        if self._writer is not None:
            self._writer.end()
        if self._hello is not None and self._writer is not None:
            self._engine.close_link(self._hello, self._writer)

    def _handle_hello(self, message: Any) -> None:
        hello = msgspec.json.decode(message, type=EntryHello)
        assert self._writer is not None
        is_same_data_centre = hello.data_centre == self._data_centre
        delay_ms = self._delays.near_ms if is_same_data_centre else self._delays.far_ms
        self._writer.set_delay(delay_ms / 1000.0)
        if not self._engine.open_link(hello, self._writer):
            self.close(POLICY_VIOLATION, "link refused")
            return
        self._hello = hello
        log_event("agent:link", entry=hello.entry, owner=hello.owner)
