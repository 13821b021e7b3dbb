"""The base class of the entry and agent processes."""

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
"""Interval at which timeouts are checked while work is in progress, in seconds."""
IDLE_TICK_S = 0.15
"""The same while idle. It must stay well below the limit of :class:`PauseWatch`, or a normal tick
would count as a process pause."""
LATE_TICK_S = 0.1
"""Delay of a tick, in seconds, from which link timeouts are extended: messages of the peers may
still be waiting in the sockets of this process."""


END_MARGIN_S = 0.4
"""Part of the grace period, in seconds, that a stopping process reserves for answering the
remaining requests and closing its links before it is killed."""
PROCESS_PAUSES = "process.stood-still"
"""Counter of process pauses that were long enough to abandon the work in progress."""


class BaseFleetProcess(BaseProcess):
    """Base class of the fleet's roles, with their timeouts, metrics, store and timer."""

    _pauses: PauseWatch
    """Set by the role after its components are loaded: loading must not count as a pause."""

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
        """Cancel all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await self._close_parts()
        await self._metrics_listener.close()

    def reload(self, settings: FleetSettings) -> None:
        """Add new seeds. Other settings can't change while the process runs."""
        log_event("process:reloaded", seeds=settings.seeds)
        self._book.add_addresses(settings.seeds)

    @abc.abstractmethod
    def get_state(self) -> dict[str, object]:
        """Return the state for the operators' endpoint ``/state``."""

    @property
    @abc.abstractmethod
    def _is_busy(self) -> bool:
        """Whether jobs or runs with short timeouts are in progress."""

    @abc.abstractmethod
    def _tick(self) -> None:
        """Check timeouts; called every :data:`TICK_S`, or :data:`IDLE_TICK_S` when idle."""

    @abc.abstractmethod
    def _recover_from_pause(self) -> None:
        """Drop state that may be out of date after a process pause."""

    @abc.abstractmethod
    def _reset_liveness_timers(self, late_s: float) -> None:
        """Extend the timeouts of all links by the delay of this process."""

    @abc.abstractmethod
    async def _close_parts(self) -> None:
        """Close the links and listeners of the role."""

    def _get_drain_s(self) -> float:
        """Return how long a planned stop may wait for work in progress, in seconds."""
        return max(self._settings.grace_s - END_MARGIN_S, 0.0)

    def _start_metrics(self) -> None:
        """Start the operators' listener."""
        self._metrics_listener = MetricsListener(
            address=self._settings.metrics.address,
            metrics=self._metrics,
            get_state=self.get_state,
        )
        self._metrics_listener.start()

    def _start_tasks(self, *coroutines: Coroutine[Any, Any, None]) -> None:
        """Run the coroutines until the process closes."""
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    def _check_pause(self) -> bool:
        """Recover if this process was paused; return whether it was."""
        paused_s = self._pauses.check()
        if not paused_s:
            return False
        log_event("process:stood-still", seconds=round(paused_s, 3))
        self._metrics.count(PROCESS_PAUSES)
        self._recover_from_pause()
        return True

    async def _tick_forever(self) -> None:
        while True:
            interval_s = TICK_S if self._is_busy else IDLE_TICK_S
            due_at = clock.monotonic() + interval_s
            await asyncio.sleep(interval_s)
            late_s = clock.monotonic() - due_at
            if late_s > LATE_TICK_S:
                self._reset_liveness_timers(late_s)
            self._tick()
