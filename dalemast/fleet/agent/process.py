"""The process of an agent: puts its parts together and keeps its clock."""

from __future__ import annotations

import asyncio
import time

from dalemast.core.supervision import Supervisor, SupervisorLimits
from dalemast.fleet.agent.owners import OwnerLinks
from dalemast.fleet.agent.worker import WorkerLoop
from dalemast.fleet.backends import load_backend
from dalemast.fleet.base import BaseMemberStore, BaseRegistration, BaseWorkerDriver
from dalemast.fleet.book import AddressBook
from dalemast.fleet.operators import MetricsListener
from dalemast.fleet.pauses import PauseWatch
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics, log_event
from dalemast.process import BaseProcess, make_incarnation
from dalemast.settings import FleetAgentSettings

__all__ = ["FleetAgentProcess"]

TICK_S = 0.05
"""The grain of time-outs; the shortest, a beat, is 0.12 s."""
SEEDS_PATIENCE_S = 2.0
"""How long the seeds are tried before the store is read for other entries."""
STORE_RETRY_S = 3.0
"""Pause between two such readings; each is priced."""


class FleetAgentProcess(BaseProcess):
    """An agent on a platform with leased workers."""

    def __init__(self, *, settings: FleetAgentSettings) -> None:
        self._settings = settings
        self._times = FleetTimes.fit(
            resend_s=settings.resend_ms / 1000,
            lease_max_s=settings.lease_max_ms / 1000,
            stop_s=settings.stop_ms / 1000,
        )
        self._metrics = Metrics()
        self._book = AddressBook()
        limits = SupervisorLimits(
            owner_patience_s=self._times.owner_patience_s, stop_s=self._times.stop_s
        )
        self._supervisor = Supervisor(limits=limits)
        self._store: BaseMemberStore = load_backend(settings.backends.store, settings=settings)
        driver: BaseWorkerDriver = load_backend(
            settings.backends.worker, settings=settings, lease_s=self._times.lease_s
        )
        self._worker = WorkerLoop(supervisor=self._supervisor, driver=driver, metrics=self._metrics)
        self._owners = OwnerLinks(
            name=settings.name,
            incarnation=make_incarnation(),
            data_centre=settings.data_centre,
            book=self._book,
            supervisor=self._supervisor,
            times=self._times,
            start=self._worker.start,
            stop=self._worker.stop,
            check_pause=self._check_pause,
        )
        self._worker.set_owners(self._owners)
        self._registration: BaseRegistration = load_backend(
            settings.backends.registration, settings=settings, observer=self._worker
        )
        self._pauses = PauseWatch(limit_s=self._times.owner_patience_s)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen to the worker, dial the entries."""
        self._registration.start()
        self._metrics_listener = MetricsListener(
            address=self._settings.metrics.address,
            metrics=self._metrics,
            get_state=self.get_state,
        )
        self._metrics_listener.start()
        self._owners.dial_all()
        self._book.add_addresses(self._settings.seeds)
        self._tasks = [
            asyncio.create_task(self._worker.run()),
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._find_entries()),
        ]
        log_event("process:started", seeds=self._settings.seeds)

    async def drain(self) -> None:
        """Take no more starts and let what runs come to its end."""
        log_event("process:stopping", runs=len(self._supervisor.runs))
        self._worker.apply(self._supervisor.drain())
        end_by = time.monotonic() + self._settings.drain_limit_s
        while not self._supervisor.is_idle and time.monotonic() < end_by:
            await asyncio.sleep(TICK_S)
        log_event("process:stopped", runs=len(self._supervisor.runs))

    def get_unfinished(self) -> list[str]:
        """Return the runs that ending now would cut off."""
        return [f"run {run_id}" for run_id in self._supervisor.runs]

    async def close(self) -> None:
        """End every task and socket."""
        self._owners.stop_all()
        for task in self._tasks:
            task.cancel()
        await self._registration.close()
        await self._metrics_listener.close()

    def reload(self, settings: FleetAgentSettings) -> None:
        """Take new seeds; addresses and names can't change while the process lives."""
        log_event("process:reloaded", seeds=settings.seeds)
        self._book.add_addresses(settings.seeds)

    def get_state(self) -> dict[str, object]:
        """Return the dump."""
        life = self._supervisor.life
        return {
            "name": self._settings.name,
            "worker": life.id if life else None,
            "is_accepting": self._supervisor.is_accepting(now=time.monotonic()),
            "is_doubted": self._supervisor.health.is_doubted,
            "free_cpu": self._supervisor.get_free().cpu,
            "runs": len(self._supervisor.runs),
            "entries": len(self._owners),
        }

    def _check_pause(self) -> bool:
        """Drop all links if this process stood still: what waited there may be out of date."""
        paused_s = self._pauses.check()
        if not paused_s:
            return False
        log_event("process:stood-still", seconds=round(paused_s, 3))
        self._owners.reset_all()
        return True

    async def _tick_forever(self) -> None:
        was_accepting = False
        while True:
            await asyncio.sleep(TICK_S)
            self._check_pause()
            now = time.monotonic()
            self._worker.tick(now)
            is_accepting = self._supervisor.is_accepting(now=now)
            if is_accepting != was_accepting:
                was_accepting = is_accepting
                self._owners.mark_room()
            self._owners.tick(now)

    async def _find_entries(self) -> None:
        """Read the store for entries while none is in reach."""
        while True:
            await asyncio.sleep(SEEDS_PATIENCE_S)
            if len(self._owners):
                continue
            members = await self._store.list_members()
            log_event("entries:read", entries=len(members))
            self._book.learn(members)
            await asyncio.sleep(STORE_RETRY_S)
