"""What the processes of entries and agents have in common."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Coroutine
from typing import Any

from dalemast import clock
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.backends import load_backend
from dalemast.fleet.base import BaseMemberStore
from dalemast.fleet.operators import MetricsListener
from dalemast.fleet.pauses import PauseWatch
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event
from dalemast.process import BaseProcess
from dalemast.settings import FleetSettings

__all__ = ["PROCESS_PAUSES", "TICK_S", "BaseFleetProcess"]

TICK_S = 0.05
"""The grain of time-outs; the shortest, a beat, is 0.12 s."""
IDLE_TICK_S = 0.15
"""The same while nothing is under way: what then runs out are pauses between beats, 0.2 s and more,
and a standstill of 0.45 s must still be told from a pause between two ticks."""
LATE_TICK_S = 0.1
"""From this delay of its own tick a process doubts its ear: what its peers sent meanwhile may wait
in its sockets still. On a crowded host ticks are late by up to some tenths of a second."""


END_MARGIN_S = 0.4
"""How long before it would be killed a stopping process ceases to wait for what is under way. Then
it answers what is left and closes its links, which takes some milliseconds on an idle host."""
PROCESS_PAUSES = "process.stood-still"
"""Counter of the times that this process did not run for so long that it gave up what had begun."""


class BaseFleetProcess(BaseProcess):
    """A role of the fleet: its times, its metrics, the platform's store, and a ticking clock."""

    _pauses: PauseWatch
    """Made by the role once its parts are loaded, since loading them must not count as a pause."""

    def __init__(self, *, settings: FleetSettings, book: AddressBook) -> None:
        self._settings = settings
        self._book = book
        self._times = FleetTimes.fit(
            resend_s=settings.resend_ms / 1000,
            lease_max_s=settings.lease_max_ms / 1000,
            stop_s=settings.stop_ms / 1000,
        )
        self._metrics = Metrics()
        self._book.set_metrics(self._metrics)
        self._store: BaseMemberStore = load_backend(
            settings.backends.store, settings=settings, metrics=self._metrics
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def close(self) -> None:
        """End every task and socket."""
        for task in self._tasks:
            task.cancel()
        await self._close_parts()
        await self._metrics_listener.close()

    def reload(self, settings: FleetSettings) -> None:
        """Take new seeds; addresses and names can't change while the process lives."""
        log_event("process:reloaded", seeds=settings.seeds)
        self._book.add_addresses(settings.seeds)

    @abc.abstractmethod
    def get_state(self) -> dict[str, object]:
        """Return the dump."""

    @property
    @abc.abstractmethod
    def _is_busy(self) -> bool:
        """Whether jobs or runs are under way, whose time-outs are short."""

    @abc.abstractmethod
    def _tick(self) -> None:
        """Let time-outs pass; called every :data:`TICK_S`, or :data:`IDLE_TICK_S` when idle."""

    @abc.abstractmethod
    def _recover_from_pause(self) -> None:
        """Give up what may be out of date after this process stood still."""

    @abc.abstractmethod
    def _reset_liveness_timers(self, late_s: float) -> None:
        """Take the time that this process was late itself off the silence of all links."""

    @abc.abstractmethod
    async def _close_parts(self) -> None:
        """End the role's own links and listeners."""

    def _get_drain_s(self) -> float:
        """Return how long a planned stop may wait for what is under way, in seconds."""
        return max(self._settings.grace_s - END_MARGIN_S, 0.0)

    def _start_metrics(self) -> None:
        """Listen to operators."""
        self._metrics_listener = MetricsListener(
            address=self._settings.metrics.address,
            metrics=self._metrics,
            get_state=self.get_state,
        )
        self._metrics_listener.start()

    def _start_tasks(self, *coroutines: Coroutine[Any, Any, None]) -> None:
        """Run these until the process closes."""
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    def _check_pause(self) -> bool:
        """Recover if this process stood still; return whether it did."""
        paused_s = self._pauses.check()
        if not paused_s:
            return False
        log_event("process:stood-still", seconds=round(paused_s, 3))
        self._metrics.count(PROCESS_PAUSES)
        self._recover_from_pause()
        return True

    async def _tick_forever(self) -> None:
        while True:
            pause_s = TICK_S if self._is_busy else IDLE_TICK_S
            due_at = clock.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            late_s = clock.monotonic() - due_at
            if late_s > LATE_TICK_S:
                self._reset_liveness_timers(late_s)
            self._tick()
