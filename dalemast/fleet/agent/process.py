"""The agent process: creates the components and checks their timeouts."""

from __future__ import annotations

import asyncio

import msgspec

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.core.ownership import LinkBounds
from dalemast.core.scheduling import CapacityRequest, LoadPolicy
from dalemast.core.supervision import Supervisor, SupervisorLimits
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.agent.owners import OwnerLinks
from dalemast.fleet.agent.worker import WorkerLoop
from dalemast.fleet.backends import load_backend
from dalemast.fleet.base import BaseRegistration, BaseWorkerDriver
from dalemast.fleet.evacuations import EvacuationsInForce
from dalemast.fleet.pauses import PauseWatch
from dalemast.fleet.process import TICK_S, BaseFleetProcess
from dalemast.observability import log_event
from dalemast.process import make_incarnation
from dalemast.settings import FleetAgentSettings

__all__ = ["FleetAgentProcess"]

SEEDS_TIMEOUT_S = 2.0
"""How long the agent tries the seeds before it reads other entries from the store, in seconds."""
STORE_RETRY_S = 3.0
"""Interval between reads of the store, in seconds; the platform charges for each read."""


class FleetAgentProcess(BaseFleetProcess):
    """An agent on a platform with leased workers."""

    _settings: FleetAgentSettings

    def __init__(self, *, settings: FleetAgentSettings) -> None:
        super().__init__(settings=settings, book=AddressBook())
        limits = SupervisorLimits(
            owner_timeout_s=self._times.owner_timeout_s,
            lease_s=self._times.lease_s,
            stop_s=self._times.stop_s,
        )
        policy = LoadPolicy(**msgspec.structs.asdict(settings.load))
        self._supervisor = Supervisor(limits=limits, policy=policy)
        driver: BaseWorkerDriver = load_backend(
            settings.backends.worker, settings=settings, lease_s=self._times.lease_s
        )
        self._worker = WorkerLoop(supervisor=self._supervisor, driver=driver, metrics=self._metrics)
        self._evacuations = EvacuationsInForce(metrics=self._metrics)
        self._evacuations.on_change(self._apply_evacuations)
        self._owners = OwnerLinks(
            name=settings.name,
            incarnation=make_incarnation(),
            data_centre=settings.data_centre,
            book=self._book,
            bounds=LinkBounds(
                same_data_centre=settings.max_near_links, other_data_centres=settings.max_far_links
            ),
            supervisor=self._supervisor,
            evacuations=self._evacuations,
            times=self._times,
            policy=LoadPolicy(**msgspec.structs.asdict(settings.load)),
            metrics=self._metrics,
            start=self._worker.start,
            stop=self._worker.stop,
            handle_capacity_request=self._worker.handle_capacity_request
            if settings.load.preempts
            else _ignore_request,
            check_pause=self._check_pause,
        )
        self._worker.set_owners(self._owners)
        self._registration: BaseRegistration = load_backend(
            settings.backends.registration,
            settings=settings,
            observer=self._worker,
            metrics=self._metrics,
        )
        self._pauses = PauseWatch(limit_s=self._times.owner_timeout_s)

    async def start(self) -> None:
        """Start to listen to the worker and to dial the entries."""
        self._registration.start()
        self._start_metrics()
        self._owners.dial_all()
        self._book.add_addresses(self._settings.seeds)
        self._start_tasks(self._worker.run(), self._tick_forever(), self._find_entries())
        log_event("process:started", seeds=self._settings.seeds)

    async def drain(self) -> None:
        """Refuse further starts and wait for the current runs to end."""
        log_event("process:stopping", runs=len(self._supervisor.runs))
        self._worker.apply(self._supervisor.drain())
        end_by = clock.monotonic() + self._get_drain_s()
        while not self._supervisor.is_idle and clock.monotonic() < end_by:
            await asyncio.sleep(TICK_S)
        log_event("process:stopped", runs=len(self._supervisor.runs))

    def get_unfinished(self) -> list[str]:
        """Return the runs that a stop of this process would interrupt."""
        return [f"run {run_id}" for run_id in self._supervisor.runs]

    def get_state(self) -> dict[str, object]:
        """Return the state for the operators' endpoint ``/state``."""
        incarnation = self._supervisor.incarnation
        left_s = self._supervisor.get_remaining_s(now=clock.monotonic())
        speed = self._supervisor.speeds.get_speed()
        return {
            "name": self._settings.name,
            "worker": incarnation.id if incarnation else None,
            "is_accepting": self._supervisor.is_accepting(now=clock.monotonic()),
            "evacuated": sorted(self._evacuations.data_centres),
            "leaves_in_s": None if left_s is None else round(left_s, 3),
            "is_doubted": self._supervisor.health.is_suspected,
            "free_cpu": self._supervisor.get_free().cpu,
            "coming": [
                (row.in_s, row.cpu) for row in self._supervisor.get_releases(now=clock.monotonic())
            ],
            "runs": len(self._supervisor.runs),
            "preemption": {
                "takeovers": len(self._supervisor.reservations),
                "budget_core_s": round(self._supervisor.budget_core_s, 3),
            },
            "slowness": speed.slowness if speed else None,
            "entries": len(self._owners),
        }

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        """Refuse starts while the worker's data centre is evacuated."""
        self._worker.apply(self._supervisor.set_evacuated(evacuations.data_centres))

    async def _close_parts(self) -> None:
        self._owners.stop_all()
        await self._registration.close()

    def _reset_liveness_timers(self, late_s: float) -> None:
        """Extend the timeouts of all links by the delay of this process."""
        self._owners.reset_liveness_timers(late_s)

    def _recover_from_pause(self) -> None:
        """Reset all links: the frames that wait there may be out of date."""
        self._owners.reset_all()

    @property
    def _is_busy(self) -> bool:
        """Whether the worker must be polled, as in :attr:`Supervisor.has_work`."""
        return self._supervisor.has_work

    def _tick(self) -> None:
        self._check_pause()
        now = clock.monotonic()
        # Links first, so that runs which the worker loop stops in this tick still count as active.
        self._owners.tick(now)
        self._worker.tick(now)

    async def _find_entries(self) -> None:
        """Read entries from the store while none is reachable."""
        while True:
            await asyncio.sleep(SEEDS_TIMEOUT_S)
            if len(self._owners):
                continue
            members = await self._store.list_members()
            log_event("entries:read", entries=len(members))
            self._book.add_members(members)
            await asyncio.sleep(STORE_RETRY_S)


def _ignore_request(owner: str, request: CapacityRequest | None, sent_at: float) -> None:
    """Ignore a capacity request: preemption is disabled in the settings."""
