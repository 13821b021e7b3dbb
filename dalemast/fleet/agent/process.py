"""The process of an agent: puts its parts together and keeps its clock."""

from __future__ import annotations

import asyncio

import msgspec

from dalemast import clock
from dalemast.core.evacuations import Evacuations
from dalemast.core.ownership import LinkBounds
from dalemast.core.scheduling import LoadPolicy, Want
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
"""How long the seeds are tried before the store is read for other entries."""
STORE_RETRY_S = 3.0
"""Pause between two such readings; each is priced."""


class FleetAgentProcess(BaseFleetProcess):
    """An agent on a platform with leased workers."""

    _settings: FleetAgentSettings

    def __init__(self, *, settings: FleetAgentSettings) -> None:
        super().__init__(settings=settings, book=AddressBook())
        limits = SupervisorLimits(
            owner_patience_s=self._times.owner_timeout_s,
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
        self._evacuations.on_change(self._spare_evacuated)
        self._owners = OwnerLinks(
            name=settings.name,
            incarnation=make_incarnation(),
            data_centre=settings.data_centre,
            book=self._book,
            bounds=LinkBounds(near=settings.max_near_links, far=settings.max_far_links),
            supervisor=self._supervisor,
            evacuations=self._evacuations,
            times=self._times,
            policy=LoadPolicy(**msgspec.structs.asdict(settings.load)),
            metrics=self._metrics,
            start=self._worker.start,
            stop=self._worker.stop,
            handle_capacity_request=self._worker.handle_capacity_request
            if settings.load.preempts
            else _pass_over,
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
        """Listen to the worker, dial the entries."""
        self._registration.start()
        self._start_metrics()
        self._owners.dial_all()
        self._book.add_addresses(self._settings.seeds)
        self._start_tasks(self._worker.run(), self._tick_forever(), self._find_entries())
        log_event("process:started", seeds=self._settings.seeds)

    async def drain(self) -> None:
        """Take no more starts and let what runs come to its end."""
        log_event("process:stopping", runs=len(self._supervisor.runs))
        self._worker.apply(self._supervisor.drain())
        end_by = clock.monotonic() + self._get_drain_s()
        while not self._supervisor.is_idle and clock.monotonic() < end_by:
            await asyncio.sleep(TICK_S)
        log_event("process:stopped", runs=len(self._supervisor.runs))

    def get_unfinished(self) -> list[str]:
        """Return the runs that ending now would cut off."""
        return [f"run {run_id}" for run_id in self._supervisor.runs]

    def get_state(self) -> dict[str, object]:
        """Return the dump."""
        life = self._supervisor.life
        left_s = self._supervisor.get_left_s(now=clock.monotonic())
        speed = self._supervisor.speeds.get_speed()
        return {
            "name": self._settings.name,
            "worker": life.id if life else None,
            "is_accepting": self._supervisor.is_accepting(now=clock.monotonic()),
            "evacuated": sorted(self._evacuations.data_centres),
            "leaves_in_s": None if left_s is None else round(left_s, 3),
            "is_doubted": self._supervisor.health.is_doubted,
            "free_cpu": self._supervisor.get_free().cpu,
            "coming": [
                (row.in_s, row.cpu) for row in self._supervisor.get_coming(now=clock.monotonic())
            ],
            "runs": len(self._supervisor.runs),
            "preemption": {
                "takeovers": len(self._supervisor.takeovers),
                "budget_core_s": round(self._supervisor.budget_core_s, 3),
            },
            "slowness": speed.slowness if speed else None,
            "entries": len(self._owners),
        }

    def _spare_evacuated(self, evacuations: Evacuations) -> None:
        """Take no starts while the worker's data centre is evacuated."""
        self._worker.apply(self._supervisor.set_evacuated(evacuations.data_centres))

    async def _close_parts(self) -> None:
        self._owners.stop_all()
        await self._registration.close()

    def _reset_liveness_timers(self, late_s: float) -> None:
        """Take the time that this process was late itself off the silence of all links."""
        self._owners.reset_liveness_timers(late_s)

    def _recover_from_pause(self) -> None:
        """Drop all links: what waited there may be out of date."""
        self._owners.reset_all()

    @property
    def _is_busy(self) -> bool:
        """Whether something runs on the worker."""
        return self._supervisor.has_work

    def _tick(self) -> None:
        self._check_pause()
        now = clock.monotonic()
        # Links first: a silent owner's runs are stopped in the same turn, and count no more then.
        self._owners.tick(now)
        self._worker.tick(now)

    async def _find_entries(self) -> None:
        """Read the store for entries while none is in reach."""
        while True:
            await asyncio.sleep(SEEDS_TIMEOUT_S)
            if len(self._owners):
                continue
            members = await self._store.list_members()
            log_event("entries:read", entries=len(members))
            self._book.add_members(members)
            await asyncio.sleep(STORE_RETRY_S)


def _pass_over(owner: str, want: Want | None, said_at: float) -> None:
    """Make no room for an owner: the deployment does not ask for preemption."""
