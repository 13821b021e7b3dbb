"""Links: WebSockets that carry frames, with liveness of their own.

A peer behind a cut says nothing, and bytes that a cut holds up arrive once it heals unless their
sender resets the connection. So a silent link is reset, not closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import msgspec
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import HTTPTimeoutError
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    WebSocketHandler,
    websocket_connect,
)

from dalemast.fleet.frames import decode_frame
from dalemast.observability import log_error

__all__ = ["Dialer", "Link", "LinkHandler", "encode_message"]

OPEN_TIMEOUT_S = 0.8
"""Longest time from a try to an open link. A slowed host answers within tenths of a second."""
FIRST_CONNECT_S = 0.1
"""How long the first try waits for a connection; each further one waits twice as long, up to
:data:`OPEN_TIMEOUT_S`. A host that is just starting says nothing at first, and the kernel sends the
opening packet again only after a second: a new try reaches it sooner."""
FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.25
"""Bounds on the pause between tries. A restarted process is back within about a second."""
DOUBTED_RETRY_S = 1.0
"""Pause once an address has not answered for :data:`RESTART_S`."""
RESTART_S = 5.0
"""In this time a process that was killed or stopped is back, as a rule."""
GIVE_UP_RETRY_S = 4.0
"""Pause once an address has not answered for :data:`DOUBT_AFTER_S`: its host is likely gone."""
DOUBT_AFTER_S = 20.0
MAX_DOUBLINGS = 4
"""Enough for both pauses to reach their bounds."""
PROBE_PAUSE_S = 1
"""Pause of the kernel's keep-alive probes. A host that lost power and is back answers the first one
with a reset, so its peers dial again within about a second."""
PROBES = 2
"""Unanswered probes after which the kernel gives a connection up."""
UNACKNOWLEDGED_MS = 1500
"""The kernel gives a connection up when bytes stay unacknowledged for this long. Its probes watch
idle connections alone, and its own patience with bytes under way is minutes: the link would stay
open for as long, and no new one would be dialled. A slowed host still acknowledges in tenths."""
MAX_FRAME_BYTES = 4 * 1024 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

encoder = msgspec.json.Encoder()


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message that goes to many links, which take it as :class:`msgspec.Raw`."""
    return encoder.encode(message)


class Link:
    """One open link. Messages sent within one turn of the loop share a frame."""

    def __init__(
        self,
        *,
        write: Callable[[bytes], asyncio.Future[None]],
        get_stream: Callable[[], IOStream | None],
        message_type: Any,
    ) -> None:
        self._write = write
        self._get_stream = get_stream
        self._message_type = message_type
        self._outgoing: list[msgspec.Struct | msgspec.Raw] = []
        self._is_scheduled = False
        self._is_open = True
        self.heard_at = time.monotonic()
        self.sent_at = self.heard_at

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._is_open

    def send(self, message: msgspec.Struct | msgspec.Raw) -> None:
        """Send a message with the next frame; nothing happens on a closed link."""
        if not self._is_open:
            return
        self._outgoing.append(message)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write the frame that is due."""
        self._is_scheduled = False
        if not self._outgoing or not self._is_open:
            return
        data = encoder.encode(self._outgoing)
        self._outgoing = []
        self.sent_at = time.monotonic()
        try:
            self._write(data).add_done_callback(_forget_closed)
        except (WebSocketClosedError, StreamClosedError):
            self._is_open = False

    def decode(self, data: str | bytes) -> list[Any]:
        """Decode what arrived and note that the peer is alive."""
        self.heard_at = time.monotonic()
        return decode_frame(data, self._message_type)

    def forgive(self, late_s: float) -> None:
        """Count the peer's silence as shorter, by a time in which this process did not listen."""
        self.heard_at = min(self.heard_at + late_s, time.monotonic())

    def reset(self) -> None:
        """Close at once, so that nothing held up on the way is delivered later."""
        self._is_open = False
        self._outgoing = []
        stream = self._get_stream()
        if stream is None or stream.closed():
            return
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.close()

    def mark_closed(self) -> None:
        """Note that the connection has ended."""
        self._is_open = False


def _forget_closed(future: asyncio.Future[None]) -> None:
    """Take note of a write that failed; the end of the link is reported where it is read."""
    if not future.cancelled():
        future.exception()


def watch_connection(stream: IOStream) -> None:
    """Let the kernel notice that the other end is gone, which costs neither side's processor."""
    sock = stream.socket
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PAUSE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PAUSE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    except OSError as error:
        log_error("link:no-probes", reason=str(error))


class LinkHandler(WebSocketHandler):
    """The accepting end. ``accept`` returns who takes the messages, by the first of them."""

    def initialize(self, message_type: Any, accept: Callable[[Link], Any]) -> None:
        """Take what the routes give."""
        self._message_type = message_type
        self._accept = accept
        self._link: Link | None = None
        self._receiver: Any = None

    def open(self, *args: str, **kwargs: str) -> None:
        """Begin."""
        self.set_nodelay(True)
        stream = getattr(self.ws_connection, "stream", None)
        if stream is not None:
            watch_connection(stream)
        self._link = Link(
            write=lambda data: self.write_message(data, binary=False),
            get_stream=lambda: getattr(self.ws_connection, "stream", None),
            message_type=self._message_type,
        )
        self._receiver = self._accept(self._link)

    def on_message(self, message: Any) -> None:
        """Pass a frame on; what does not parse ends the link."""
        assert self._link is not None
        if not self._link.is_open:
            return
        try:
            messages = self._link.decode(message)
        except msgspec.MsgspecError as error:
            log_error("link:bad-frame", reason=str(error))
            self._link.reset()
            return
        self._receiver.receive(messages)

    def on_close(self) -> None:
        """Tell the receiver."""
        if self._link is not None:
            self._link.mark_closed()
        if self._receiver is not None:
            self._receiver.close()


class Dialer:
    """Keeps a link to one address open: connects, serves, and connects again.

    ``make_receiver`` gets each new link and returns an object with ``receive`` and ``close``.
    """

    def __init__(
        self,
        *,
        url: str,
        message_type: Any,
        make_receiver: Callable[[Link], Any],
    ) -> None:
        self._url = url
        self._message_type = message_type
        self._make_receiver = make_receiver
        self._connection: WebSocketClientConnection | None = None
        self._failing_since: float | None = time.monotonic()
        """Since when no link is open, or None while one is."""
        self._task = asyncio.create_task(self._keep())

    def is_failing(self, now: float, *, longer_than_s: float) -> bool:
        """Tell whether no link has been open for longer than this."""
        return self._failing_since is not None and now - self._failing_since > longer_than_s

    def stop(self) -> None:
        """End the link and connect no more."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _keep(self) -> None:
        tries = 0
        while True:
            connection = await self._connect(min(FIRST_CONNECT_S * 2**tries, OPEN_TIMEOUT_S))
            if connection is not None:
                tries = 0
                self._failing_since = None
                await self._serve_safely(connection)
                self._failing_since = time.monotonic()
            await asyncio.sleep(self._get_retry_s(tries) * (0.5 + random.random()))
            tries = min(tries + 1, MAX_DOUBLINGS)

    def _get_retry_s(self, tries: int) -> float:
        """Return the pause after so many tries in a row that failed."""
        now = time.monotonic()
        if self.is_failing(now, longer_than_s=DOUBT_AFTER_S):
            return GIVE_UP_RETRY_S
        if self.is_failing(now, longer_than_s=RESTART_S):
            return DOUBTED_RETRY_S
        return min(FIRST_RETRY_S * 2**tries, LONGEST_RETRY_S)

    async def _connect(self, connect_s: float) -> WebSocketClientConnection | None:
        """Open a link; ``connect_s`` bounds the wait for its connection alone."""
        request = HTTPRequest(self._url, connect_timeout=connect_s)
        connecting = websocket_connect(request, max_message_size=MAX_FRAME_BYTES)
        try:
            return await asyncio.wait_for(connecting, OPEN_TIMEOUT_S)
        except (OSError, HTTPError, HTTPTimeoutError, StreamClosedError, TimeoutError):
            # An address that does not answer is normal here: hosts go, restart and are cut off.
            # What follows from it (a lost owner or peer) is logged where it is decided.
            return None

    async def _serve_safely(self, connection: WebSocketClientConnection) -> None:
        """Serve a link. A fault in what takes the messages ends the link, not the dialling."""
        try:
            await self._serve(connection)
        except Exception as error:
            log_error("link:fault", url=self._url, reason=repr(error))

    async def _serve(self, connection: WebSocketClientConnection) -> None:
        self._connection = connection
        link = Link(
            write=lambda data: connection.write_message(data, binary=False),
            get_stream=lambda: getattr(connection.protocol, "stream", None),
            message_type=self._message_type,
        )
        stream = getattr(connection.protocol, "stream", None)
        if stream is not None:
            stream.set_nodelay(True)
            watch_connection(stream)
        receiver = self._make_receiver(link)
        try:
            while True:
                message = await connection.read_message()
                if message is None or not link.is_open:
                    return
                receiver.receive(link.decode(message))
        except msgspec.MsgspecError as error:
            log_error("link:bad-frame", url=self._url, reason=str(error))
        finally:
            link.reset()
            self._connection = None
            receiver.close()
