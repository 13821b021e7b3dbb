"""Open links, at the dialling or the accepting end."""

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
"""Interval of the kernel's TCP keep-alive probes, in seconds. A host that has rebooted answers the
first one with a reset, so a short interval lets its peers reconnect soon."""
MAX_PROBES = 2
"""Number of unanswered probes after which the kernel closes a connection."""
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500
"""The kernel closes a connection when sent bytes stay unacknowledged for this long. Keep-alive
probes cover only idle connections, and the kernel's default timeout is minutes, during
which the link would stay open and no new one would be dialled."""
MAX_FRAME_BYTES = 4 * 1024 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_KEEP_ALIVES = frozenset({WSMsgType.PING, WSMsgType.PONG})

encoder = msgspec.json.Encoder()


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message once to send it on many links as :class:`msgspec.Raw`."""
    return encoder.encode(message)


class LinkReceiver(Protocol):
    """Handles the frames and the end of one link."""

    def receive(self, messages: list[Any]) -> None:
        """Handle the messages of a frame."""

    def close(self) -> None:
        """Handle the end of the link."""


class BaseLink(abc.ABC):
    """An open link. Messages sent in one iteration of the event loop share a frame."""

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
        """Start each frame with a message, made when the first other message is queued."""
        self._make_head = make_head

    def send(self, message: msgspec.Struct | msgspec.Raw) -> None:
        """Send a message with the next frame; do nothing if the link is closed."""
        if not self._is_open:
            return
        if not self._outgoing and self._make_head is not None:
            self._outgoing.append(self._make_head())
        self._outgoing.append(message)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write the queued messages as one frame."""
        self._is_scheduled = False
        if not self._outgoing or not self._is_open:
            return
        data = encoder.encode(self._outgoing)
        self._outgoing = []
        self.sent_at = clock.monotonic()
        self._write(data)

    def decode(self, data: str | bytes | memoryview) -> list[Any]:
        """Decode a received frame and restart the link timeout."""
        self.received_at = clock.monotonic()
        return decode_frame(data, self._message_type)

    def reset_liveness(self, late_s: float) -> None:
        """Extend the link timeout by a time in which this process did not read its sockets."""
        self.received_at = min(self.received_at + late_s, clock.monotonic())

    def reset(self) -> None:
        """Abort the connection, so that data still in transit is not delivered later."""
        self._is_open = False
        self._outgoing = []
        self._abort()

    def mark_closed(self) -> None:
        """Mark the link as closed after its connection has ended."""
        self._is_open = False

    @abc.abstractmethod
    def _write(self, data: bytes) -> None:
        """Write an encoded frame to the transport."""

    @abc.abstractmethod
    def _abort(self) -> None:
        """End the connection and discard data that is not sent yet."""


class Link(BaseLink):
    """A link over its own WebSocket connection."""

    def __init__(self, *, transport: WSTransport, message_type: Any) -> None:
        super().__init__(message_type=message_type)
        self._transport = transport

    def end(self) -> None:
        """Close the connection after the queued messages are written."""
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
            # setsockopt fails if the socket is already closed.
            sock = stream.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.abort()


class LinkSocket(WSListener):  # type: ignore[misc]
    """The WebSocket of a link, from the handshake to its end.

    ``make_receiver`` is called with the link once it is open and returns its receiver.
    """

    def __init__(self, *, message_type: Any, make_receiver: Callable[[Link], LinkReceiver]) -> None:
        super().__init__()
        self._message_type = message_type
        self._make_receiver = make_receiver
        self._receiver: LinkReceiver | None = None
        self._link: Link | None = None
        self._is_given_up = False
        self.ended = asyncio.get_running_loop().create_future()
        """Future that is done once the link has ended."""

    @property
    def link(self) -> Link | None:
        """The link, or None before it is open."""
        return self._link

    def give_up(self) -> None:
        """Reset the link, and abort the connection if it opens later.

        A host that was paused accepts all pending connections when it resumes. If each became a
        link, runs that were started on one would be missing in the run lists sent on another.
        """
        self._is_given_up = True
        if self._link is not None:
            self._link.reset()

    def on_ws_connected(self, transport: WSTransport) -> None:
        """Open the link; called by picows."""
        if self._is_given_up:
            transport.underlying_transport.abort()
            return
        _watch(transport)
        self._link = Link(transport=transport, message_type=self._message_type)
        self._receiver = self._make_receiver(self._link)

    def on_ws_frame(self, transport: WSTransport, frame: WSFrame) -> None:
        """Pass a frame to the receiver; reset the link if it is invalid or the receiver fails."""
        link, receiver = self._link, self._receiver
        if link is None or receiver is None or not link.is_open:
            return
        if frame.msg_type == WSMsgType.CLOSE:
            transport.disconnect()
            return
        if frame.msg_type in _KEEP_ALIVES:
            return
        if frame.msg_type != WSMsgType.TEXT or not frame.fin:
            # The link is reset, since a skipped frame may carry a start or an end that the peer
            # would count as delivered.
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
        """Close the link and its receiver; called by picows."""
        if self._link is not None:
            self._link.mark_closed()
        if self._receiver is not None:
            self._receiver.close()
        if not self.ended.done():
            self.ended.set_result(None)


def _watch(transport: WSTransport) -> None:
    """Make the kernel detect a lost peer, without any work for either process."""
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
