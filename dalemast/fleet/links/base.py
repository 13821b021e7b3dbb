"""One open link, at either end."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from picows import WSFrame, WSListener, WSMsgType, WSTransport

from dalemast import clock
from dalemast.fleet.frames import decode_frame
from dalemast.observability import log_error

__all__ = [
    "MAX_FRAME_BYTES",
    "BaseLink",
    "Link",
    "LinkReceiver",
    "LinkSocket",
    "encode_message",
]

PROBE_INTERVAL_S = 1
"""Pause of the kernel's keep-alive probes. A host that lost power and is back answers the first one
with a reset, so its peers dial again within about a second."""
MAX_PROBES = 2
"""Unanswered probes after which the kernel gives a connection up."""
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500
"""The kernel gives a connection up when bytes stay unacknowledged for this long. Its probes watch
idle connections alone, and its own patience with bytes under way is minutes: the link would stay
open for as long, and no new one would be dialled. A slowed host still acknowledges in tenths."""
MAX_FRAME_BYTES = 4 * 1024 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_KEEP_ALIVES = frozenset({WSMsgType.PING, WSMsgType.PONG})

encoder = msgspec.json.Encoder()


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message that goes to many links, which take it as :class:`msgspec.Raw`."""
    return encoder.encode(message)


class LinkReceiver(Protocol):
    """Takes what happens on one link."""

    def receive(self, messages: list[Any]) -> None:
        """Take in a frame."""

    def close(self) -> None:
        """Note that the link has ended."""


class BaseLink(abc.ABC):
    """One open link. Messages sent within one turn of the loop share a frame."""

    def __init__(self, *, message_type: Any) -> None:
        self._message_type = message_type
        self._outgoing: list[msgspec.Struct | msgspec.Raw] = []
        self._is_scheduled = False
        self._is_open = True
        self._make_head: Callable[[], msgspec.Struct] | None = None
        self.received_at = clock.monotonic()
        self.sent_at = self.received_at

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._is_open

    def begin_frames(self, make_head: Callable[[], msgspec.Struct]) -> None:
        """Let each frame begin with a message, made as the first of its others is sent."""
        self._make_head = make_head

    def send(self, message: msgspec.Struct | msgspec.Raw) -> None:
        """Send a message with the next frame; nothing happens on a closed link."""
        if not self._is_open:
            return
        if not self._outgoing and self._make_head is not None:
            self._outgoing.append(self._make_head())
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
        self.sent_at = clock.monotonic()
        self._write(data)

    def decode(self, data: str | bytes | memoryview) -> list[Any]:
        """Decode what arrived and note that the peer is alive."""
        self.received_at = clock.monotonic()
        return decode_frame(data, self._message_type)

    def reset_liveness(self, late_s: float) -> None:
        """Count the peer's silence as shorter, by a time in which this process did not listen."""
        self.received_at = min(self.received_at + late_s, clock.monotonic())

    def reset(self) -> None:
        """Close at once, so that nothing held up on the way is delivered later."""
        self._is_open = False
        self._outgoing = []
        self._abort()

    def mark_closed(self) -> None:
        """Note that the connection has ended."""
        self._is_open = False

    @abc.abstractmethod
    def _write(self, data: bytes) -> None:
        """Send a frame on its way."""

    @abc.abstractmethod
    def _abort(self) -> None:
        """End the connection without waiting for what is under way."""


class Link(BaseLink):
    """A link over a connection of its own."""

    def __init__(self, *, transport: WSTransport, message_type: Any) -> None:
        super().__init__(message_type=message_type)
        self._transport = transport

    def end(self) -> None:
        """Close once what was sent is on its way."""
        self.flush()
        self._is_open = False
        self._transport.disconnect(graceful=True)

    def _write(self, data: bytes) -> None:
        self._transport.send(WSMsgType.TEXT, data)

    def _abort(self) -> None:
        stream = self._transport.underlying_transport
        if stream is None or stream.is_closing():
            return
        with contextlib.suppress(OSError):
            # A socket that can't be set any more is closed already.
            sock = stream.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.abort()


class LinkSocket(WSListener):  # type: ignore[misc]
    """The WebSocket under a link, from its greeting to its end.

    ``make_receiver`` gets the link once it is open and returns who takes its messages.
    """

    def __init__(self, *, message_type: Any, make_receiver: Callable[[Link], LinkReceiver]) -> None:
        super().__init__()
        self._message_type = message_type
        self._make_receiver = make_receiver
        self._receiver: LinkReceiver | None = None
        self._link: Link | None = None
        self._is_given_up = False
        self.ended = asyncio.get_running_loop().create_future()
        """Done once the link has ended."""

    @property
    def link(self) -> Link | None:
        """The link, once it is open."""
        return self._link

    def give_up(self) -> None:
        """End it, and let it never become a link if it opens only later.

        A host that stood still answers all tries at once when it goes on. Each of them became a
        link then, and what was sent on one was missing from the greeting on another.
        """
        self._is_given_up = True
        if self._link is not None:
            self._link.reset()

    def on_ws_connected(self, transport: WSTransport) -> None:
        """Begin; called by the WebSocket."""
        if self._is_given_up:
            transport.underlying_transport.abort()
            return
        _watch(transport)
        self._link = Link(transport=transport, message_type=self._message_type)
        self._receiver = self._make_receiver(self._link)

    def on_ws_frame(self, transport: WSTransport, frame: WSFrame) -> None:
        """Pass a frame on; one that does not parse, or a fault in who takes it, ends the link."""
        link, receiver = self._link, self._receiver
        if link is None or receiver is None or not link.is_open:
            return
        if frame.msg_type == WSMsgType.CLOSE:
            transport.disconnect()
            return
        if frame.msg_type in _KEEP_ALIVES:
            return
        if frame.msg_type != WSMsgType.TEXT or not frame.fin:
            # Passed over, it would be a start or an end that the peer believes to be known here.
            log_error("link:bad-frame", reason=f"{frame.msg_type.name}, whole: {frame.fin}")
            link.reset()
            return
        try:
            receiver.receive(link.decode(frame.get_payload_as_memoryview()))
        except msgspec.MsgspecError as error:
            log_error("link:bad-frame", reason=str(error))
            link.reset()
        except Exception as error:
            log_error("link:fault", reason=repr(error))
            link.reset()

    def on_ws_disconnected(self, transport: WSTransport) -> None:
        """Tell the receiver; called by the WebSocket."""
        if self._link is not None:
            self._link.mark_closed()
        if self._receiver is not None:
            self._receiver.close()
        if not self.ended.done():
            self.ended.set_result(None)


def _watch(transport: WSTransport) -> None:
    """Let the kernel notice that the other end is gone, which costs neither side's processor."""
    sock = transport.underlying_transport.get_extra_info("socket")
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
    except OSError as error:
        log_error("link:no-probes", reason=str(error))
