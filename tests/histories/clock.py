"""Virtual time, and event loops that never wait in real time."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import selectors
from collections.abc import Callable
from typing import Any

__all__ = ["EPOCH_S", "ModelHost", "ModelLoop", "Timeline"]

EPOCH_S = 1_700_000_000.0
"""Unix time that corresponds to virtual time 0; fencing tokens need it to increase."""
START_S = 1_000.0
"""Initial value of the monotonic clock. Not 0, which some code uses for "never"."""


class Timeline:
    """The virtual clock, and scheduled events outside of all processes."""

    def __init__(self) -> None:
        self.now = START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def get_now(self) -> float:
        """Return the monotonic clock."""
        return self.now

    def get_time_of_day(self) -> float:
        """Return the Unix time."""
        return EPOCH_S + self.now

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time; calls for the same time run in the order of scheduling."""
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now + delay_s, call)

    def get_next(self) -> float:
        """Return when the next event is due."""
        return self._events[0][0] if self._events else float("inf")

    def run_due(self) -> None:
        """Run all events that are due."""
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()


class IdleSelector(selectors.SelectSelector):
    """Never waits and never reports events; data arrives through :meth:`ModelHost.deliver`."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return no events."""
        return []


class ModelLoop(asyncio.SelectorEventLoop):
    """An event loop that is run one turn at a time."""

    def __init__(self, *, timeline: Timeline) -> None:
        super().__init__(IdleSelector())
        self._timeline = timeline
        self.connect: Callable[..., Any] | None = None
        """Opens a modelled connection to an address."""
        self.host: ModelHost | None = None

    @property
    def uncounted_s(self) -> float:
        """Total time that the host's monotonic clock has not counted."""
        return 0.0 if self.host is None else self.host.uncounted_s

    def time(self) -> float:
        """Return the host's monotonic clock."""
        return self._timeline.now - self.uncounted_s

    def get_next(self) -> float:
        """Return when this loop has to run next."""
        if self._ready:
            return self._timeline.now
        if not self._scheduled:
            return float("inf")
        first = self._scheduled[0]
        # A cancelled timer needs a turn too, which removes it.
        return self._timeline.now if first.cancelled() else first.when() + self.uncounted_s

    def turn(self) -> None:
        """Run the ready callbacks and the due timers once."""
        self.stop()
        self.run_forever()

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None) -> Any:
        """Open a modelled connection and attach a protocol to it."""
        assert self.connect is not None
        end = await self.connect(f"{host}:{port}")
        protocol = factory()
        end.attach(receive=protocol.data_received, lose=lambda: protocol.connection_lost(None))
        protocol.connection_made(end)
        return end, protocol

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Wait as long as connecting to the address takes."""
        assert self.connect is not None
        end = await self.connect(f"{address[0]}:{address[1]}")
        end.abort()


class ModelHost:
    """A process or a worker, up or down, which handles arriving data in order.

    Without an event loop, arrivals are handled at once unless the host is paused.
    """

    def __init__(self, *, name: str, timeline: Timeline) -> None:
        self.name = name
        self.loop: ModelLoop | None = None
        self.paused_until = 0.0
        self.uncounted_s = 0.0
        """Total time of suspensions, which its monotonic clock has not counted."""
        self.is_up = True
        self.process: Any = None
        self._timeline = timeline
        self._arrived: list[Callable[[], None]] = []

    def deliver(self, call: Callable[[], None]) -> None:
        """Handle arriving data by a call, as soon as this process is running."""
        if not self.is_up:
            return
        if self.loop is not None:
            self._arrived.append(call)
        elif self._timeline.now < self.paused_until:
            self._timeline.call_at(self.paused_until, lambda: self.deliver(call))
        else:
            call()

    def get_next(self) -> float:
        """Return when this process has to run next."""
        if self.loop is None or not self.is_up:
            return float("inf")
        now = self._timeline.now
        wanted = now if self._arrived else self.loop.get_next()
        return max(wanted, self.paused_until, now)

    def turn(self) -> None:
        """Run one turn; arrivals are handled before timers, as in any event loop."""
        assert self.loop is not None
        arrived, self._arrived = self._arrived, []
        for call in arrived:
            self.loop.call_soon(call)
        self.loop.turn()

    def start(self, loop: ModelLoop) -> None:
        """Start a new incarnation with its own event loop."""
        self.loop = loop
        self.is_up = True
        self.paused_until = 0.0
        self._arrived = []

    def suspend(self, for_s: float) -> None:
        """Pause for a time that the monotonic clock does not count."""
        until = self._timeline.now + for_s
        self.uncounted_s += max(0.0, until - max(self.paused_until, self._timeline.now))
        self.paused_until = max(self.paused_until, until)

    def end(self) -> None:
        """End at once, as if killed."""
        self.is_up = False
        self._arrived = []
