"""Connections between hosts: ordered, and held, silenced or reset by faults.

A reset loses the data that is held by a cut, but not what has reached the receiver's socket. A host
that a cut keeps from receiving a reset detects it later, by the answer to its next bytes or by the
kernel's keepalive probes.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from picows import WSMsgType

from tests.histories.clock import ModelHost, Timeline

__all__ = ["End", "Network"]

LATENCY_S = (0.0002, 0.001)
"""Range of packet latencies inside a data centre."""
RETRANSMIT_S = (0.0, 0.25)
"""Range of delays from the end of a cut to the retransmission of held bytes (kernel backoff)."""
UNACKNOWLEDGED_S = 1.5
"""Time after which unacknowledged bytes end a connection; see dalemast/fleet/links."""
PROBED_S = (1.0, 3.0)
"""Range of times until the kernel's keepalive probes detect a dead idle connection."""
SOCKET = SimpleNamespace(setsockopt=lambda *arguments: None)


class End(asyncio.Transport):
    """One end of a connection. It carries bytes, and calls that open a WebSocket on it."""

    peer: End

    def __init__(self, *, network: Network, host: ModelHost) -> None:
        super().__init__()
        self.network = network
        self.host = host
        self.is_closed = False
        self.is_silent = False
        self.held: deque[tuple[float, Any]] = deque()
        self.next_at = 0.0
        self._receive: Callable[[Any], None] = lambda item: None
        self._lose: Callable[[], None] = lambda: None

    def attach(self, *, receive: Callable[[Any], None], lose: Callable[[], None]) -> None:
        """Set the callbacks for received items and for the end of the connection."""
        self._receive, self._lose = receive, lose

    def write(self, data: Any) -> None:
        """Send bytes."""
        if not self.is_closed:
            self.network.carry(self, bytes(data) if not callable(data) else data)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_closed:
            self._end_here()
            self.network.reset(self)

    def close(self) -> None:
        """Close after all sent bytes."""
        if not self.is_closed:
            self.network.carry(self, None)
            self._end_here()

    def is_closing(self) -> bool:
        """Whether this end is closed."""
        return self.is_closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a socket that takes any option."""
        return SOCKET

    def deliver(self, item: Any) -> None:
        """Handle an item in the host's turn; None is the end of the connection."""
        if self.is_closed:
            return
        if item is None:
            self.handle_close()
        elif callable(item):
            item(self)
        else:
            self._receive(item)

    def handle_close(self) -> None:
        """End the connection after the other side or the kernel has ended it."""
        if not self.is_closed:
            self.is_closed = True
            self._lose()

    def _end_here(self) -> None:
        self.is_closed = True
        lose = self._lose
        self.host.deliver(lambda: lose())


class Network:
    """All connections and listeners."""

    def __init__(self, *, timeline: Timeline, rng: random.Random) -> None:
        self._timeline = timeline
        self._rng = rng
        self._listeners: dict[str, tuple[ModelHost, Callable[[End], None]]] = {}
        self._cuts: dict[tuple[str, str], float] = {}
        self._ends: list[End] = []

    def listen(
        self, address: str, host: ModelHost, accept: Callable[[End], None] | None = None
    ) -> None:
        """Accept connections at an address; ``accept`` receives the local end of each."""
        self._listeners[address] = (host, accept or (lambda end: None))

    async def connect(self, host: ModelHost, address: str) -> End:
        """Open a connection at kernel level; never returns if a cut drops the handshake."""
        loop = asyncio.get_running_loop()
        opened: asyncio.Future[End] = loop.create_future()
        listener = self._listeners.get(address)

        def arrive() -> None:
            # A cut also drops the refusal of a host without a listener.
            if listener is not None and not self._is_open(host.name, listener[0].name):
                return
            if listener is not None and not self._is_open(listener[0].name, host.name):
                return
            if listener is None or not listener[0].is_up:
                host.deliver(lambda: _fail(opened))
                return
            end = self._make_pair(host, listener[0])
            listener[1](end.peer)
            self._timeline.call_later(self._draw_latency(), lambda: finish(end))

        def finish(end: End) -> None:
            host.deliver(lambda: end.abort() if opened.done() else opened.set_result(end))

        self._timeline.call_later(self._draw_latency(), arrive)
        return await opened

    def carry(self, end: End, item: Any) -> None:
        """Send an item to the other end in order; a cut holds it back."""
        if end.held or end.is_silent or not self._is_open(end.host.name, end.peer.host.name):
            entry = (self._timeline.now, item)
            end.held.append(entry)
            self._timeline.call_later(UNACKNOWLEDGED_S, lambda: self._give_up(end, entry))
            return
        self._send(end, item, self._timeline.now)

    def reset(self, end: End) -> None:
        """Send a reset to the other end; items that are still held are lost."""
        end.held.clear()
        if not end.is_silent and self._is_open(end.host.name, end.peer.host.name):
            self._send(end, None, self._timeline.now)
        else:
            delay_s = self._rng.uniform(*PROBED_S)
            self._timeline.call_later(delay_s, lambda: self._probe(end.peer))

    def cut(self, sender: str, receiver: str, *, until: float) -> None:
        """Hold back everything from one host to another until a time."""
        self._cuts[sender, receiver] = max(until, self._cuts.get((sender, receiver), 0.0))
        self._timeline.call_at(until, lambda: self._heal(sender, receiver))

    def silence(self, first: str, second: str) -> None:
        """Stop the open connections between two hosts from passing data, permanently."""
        for end in self._ends:
            if {end.host.name, end.peer.host.name} == {first, second} and not end.is_closed:
                end.is_silent = True

    def drop(self, first: str, second: str) -> None:
        """Reset the connections between two hosts at both ends."""
        for end in self._ends:
            if {end.host.name, end.peer.host.name} == {first, second} and not end.is_closed:
                end.held.clear()
                end.host.deliver(end.handle_close)

    def end_host(self, host: ModelHost) -> None:
        """Reset the open connections of a process that has ended."""
        for end in self._ends:
            if end.host is host and not end.is_closed:
                end.is_closed = True
                self.reset(end)

    def _make_pair(self, host: ModelHost, other: ModelHost) -> End:
        local, remote = End(network=self, host=host), End(network=self, host=other)
        local.peer, remote.peer = remote, local
        self._ends = [end for end in self._ends if not (end.is_closed and end.peer.is_closed)]
        self._ends += [local, remote]
        return local

    def _send(self, end: End, item: Any, at: float) -> None:
        end.next_at = max(end.next_at, at + self._draw_latency())
        self._timeline.call_at(end.next_at, lambda: self._arrive(end, item))

    def _arrive(self, end: End, item: Any) -> None:
        peer = end.peer
        if not peer.is_closed:
            peer.host.deliver(lambda: peer.deliver(item))
        elif item is not None and not end.is_closed:
            # The peer's kernel answers data on an unknown connection with a reset.
            self._send(peer, None, self._timeline.now)

    def _heal(self, sender: str, receiver: str) -> None:
        if not self._is_open(sender, receiver):
            return
        for end in list(self._ends):
            if (end.host.name, end.peer.host.name) == (sender, receiver) and not end.is_silent:
                delay_s = self._rng.uniform(*RETRANSMIT_S)
                self._timeline.call_later(delay_s, lambda end=end: self._flush(end))

    def _flush(self, end: End) -> None:
        if end.is_silent or not self._is_open(end.host.name, end.peer.host.name):
            return
        held, end.held = end.held, deque()
        for _, item in held:
            self._send(end, item, self._timeline.now)

    def _give_up(self, end: End, entry: tuple[float, Any]) -> None:
        if any(held is entry for held in end.held):
            end.held.clear()
            end.host.deliver(end.handle_close)

    def _probe(self, end: End) -> None:
        if end.is_closed:
            return
        if end.is_silent or self._is_open(end.peer.host.name, end.host.name):
            end.host.deliver(end.handle_close)
        else:
            self._timeline.call_later(PROBED_S[0], lambda: self._probe(end))

    def _is_open(self, sender: str, receiver: str) -> bool:
        return self._timeline.now >= self._cuts.get((sender, receiver), 0.0)

    def _draw_latency(self) -> float:
        return self._rng.uniform(*LATENCY_S)


class ModelWebSocket:
    """The part of a WebSocket that links use, on one end of a connection."""

    def __init__(self, *, end: End, listener: Any) -> None:
        self.underlying_transport = end
        self._listener = listener
        end.attach(receive=self._receive, lose=lambda: listener.on_ws_disconnected(self))

    def send(self, kind: WSMsgType, data: bytes) -> None:
        """Send a frame."""
        self.underlying_transport.write(data)

    def disconnect(self, graceful: bool = True) -> None:
        """Close the connection."""
        self.underlying_transport.close()

    def _receive(self, data: bytes) -> None:
        frame = SimpleNamespace(
            msg_type=WSMsgType.TEXT, fin=True, get_payload_as_memoryview=lambda: memoryview(data)
        )
        self._listener.on_ws_frame(self, frame)


def open_socket(end: End, listener: Any) -> None:
    """Open a WebSocket on one end of a connection."""
    listener.on_ws_connected(ModelWebSocket(end=end, listener=listener))


def _fail(opened: asyncio.Future[End]) -> None:
    if not opened.done():
        opened.set_exception(ConnectionRefusedError("no listener at this address"))
