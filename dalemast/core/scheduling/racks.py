"""The demand for racks that hold the data of jobs.

Guards against a rack that is filled with tasks that could run anywhere, while many jobs have their
data on it and take longer on any other rack.
"""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import JobRequest

__all__ = ["RackDemand"]

HALF_LIFE_S = 2.0
"""Time after which a job counts half as much in the demand, in seconds."""
MAX_RACKS = 1024
"""Maximum number of racks stored per service, since callers may name any rack."""
MIN_CORE_S = 1e-6
"""Work below this is dropped, in core-seconds."""


class _ServiceDemand:
    """The recent work of one service in total and by rack, in core-seconds that decay over time."""

    def __init__(self) -> None:
        self.total = 0.0
        self.by_rack: dict[str, float] = {}
        self._decayed_at = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay since the last call."""
        share = float(0.5 ** (max(now - self._decayed_at, 0.0) / HALF_LIFE_S))
        self._decayed_at = now
        self.total *= share
        self.by_rack = {
            rack: core_s * share
            for rack, core_s in self.by_rack.items()
            if core_s * share > MIN_CORE_S
        }

    def add(self, rack: str, core_s: float) -> None:
        """Add the work of a step."""
        self.total += core_s
        if rack and (rack in self.by_rack or len(self.by_rack) < MAX_RACKS):
            self.by_rack[rack] = self.by_rack.get(rack, 0.0) + core_s


class RackDemand:
    """The recent jobs of one owner, started or not, by the racks of their data.

    An owner receives a random share of all jobs. So it compares the share of its own work that
    needs a rack with the share of the service's CPU on that rack.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDemand] = {}

    def note_job(self, request: JobRequest, run_times: RunTimes, *, now: float) -> None:
        """Add the work of a job that has arrived."""
        queue = request.queue
        demand = self._services.setdefault(queue.service, _ServiceDemand())
        demand.decay(now)
        for step in request.steps:
            run_s = run_times.expect(queue=queue.name, declared_s=step.estimate_s)
            demand.add(step.data_rack, step.count * run_s * step.resources.cpu / 1000)

    def get_loads(
        self, service: str, workers: Iterable[WorkerView], *, now: float
    ) -> dict[str, float]:
        """Return the share of each rack that is needed for work on its data, from 0 to 1.

        The share is 1 if that part of the service's current CPU use would fill the whole rack.
        """
        demand = self._services.get(service)
        if demand is None:
            return {}
        demand.decay(now)
        if not demand.by_rack or demand.total <= 0.0:
            return {}
        used = 0
        capacity_by_rack: dict[str, int] = {}
        for view in workers:
            used += view.capacity.cpu - view.free.cpu
            for rack in demand.by_rack.keys() & view.labels:
                capacity_by_rack[rack] = capacity_by_rack.get(rack, 0) + view.capacity.cpu
        return {
            rack: min(max(demand.by_rack[rack] / demand.total * used / cpu, 0.0), 1.0)
            for rack, cpu in capacity_by_rack.items()
            if cpu > 0
        }
