"""Which data centre a job goes to, and a placement that follows it.

Load patterns: waves of demand whose phases differ by data centre; a data centre that is lost or
evacuated, whose callers come by the others; a rack whose data many jobs want at once.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.demand import DemandTracker
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import START_MARGIN, Job
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.racks import RackDemand
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import (
    JobRequest,
    Resources,
    StepRequest,
)

__all__ = ["BalancedPlacement", "DataCentreOption", "SpillOver"]

SPLIT_COST = START_MARGIN
"""Share of run time that a single task must gain to leave its job's data centre. A job ends with
its slowest task, and has this much time to spare: a task that gains less serves nobody alone."""
SWITCH_GAIN = 0.1
"""Share of run time that work must gain before it turns to other data centres, and in which those
count as alike. Room is seen late, so that small differences swing."""
WORD_AGE_S = 1.0
"""Until when what is told of room that comes free counts."""
SHORTEST_S = 0.001


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreOption:
    """What a job would find in one data centre now.

    ``cost`` is the run time of its slowest task there over the usual one, ``wait`` how long its
    last task waits for room, in usual run times. ``room`` is what is free, in thousandths of a
    core.
    """

    data_centre: str
    is_near: bool
    cost: float
    wait: float
    room: int


class SpillOver:
    """Chooses data centres; work that has turned far stays so until the near one is as good."""

    def __init__(self, *, far_penalty: float) -> None:
        self._far_penalty = far_penalty
        self._spilling: set[str] = set()

    @property
    def spilling(self) -> frozenset[str]:
        """The services whose work goes to other data centres by now."""
        return frozenset(self._spilling)

    def choose(
        self, job_id: str, service: str, outlooks: Iterable[DataCentreOption], *, is_bound: bool
    ) -> str | None:
        """Return the data centre for a job, or None if there is none.

        ``is_bound`` tells that the job has data somewhere, so that it says nothing of demand.
        """
        ways = list(outlooks)
        near = min((self._get_cost(way) for way in ways if way.is_near), default=None)
        far = min((self._get_cost(way) for way in ways if not way.is_near), default=None)
        is_spilling = self._turn(service, near, far, is_bound=is_bound)
        chosen = [way for way in ways if way.is_near is not is_spilling]
        if not chosen:
            return None
        # Those that are alike share what spills over by their room: owners don't all turn to one.
        least = min(self._get_cost(way) for way in chosen)
        alike = [way for way in chosen if self._get_cost(way) <= least + SWITCH_GAIN]
        return max(alike, key=lambda way: _draw(job_id, way)).data_centre

    def _get_cost(self, way: DataCentreOption) -> float:
        return way.cost + way.wait + (0.0 if way.is_near else self._far_penalty)

    def _turn(self, service: str, near: float | None, far: float | None, *, is_bound: bool) -> bool:
        """Return whether a job goes far, and remember it for the next ones."""
        if near is None or far is None:
            return near is None
        if is_bound:
            return far < near
        was_spilling = service in self._spilling
        is_spilling = far < near if was_spilling else far + SWITCH_GAIN < near
        if is_spilling:
            self._spilling.add(service)
        else:
            self._spilling.discard(service)
        return is_spilling


class BalancedPlacement(FastestPlacement):
    """Keeps a job in one data centre, and room on racks whose data is wanted."""

    def __init__(self, *, remote_factor: float, far_penalty: float) -> None:
        super().__init__(remote_factor=remote_factor, far_penalty=far_penalty)
        self._spill_over = SpillOver(far_penalty=far_penalty)
        self._racks = RackDemand()
        self._loads: dict[str, float] = {}
        self._demand = DemandTracker()
        self._planned: Counter[str] = Counter()
        """By data centre, how often it was chosen for a job."""

    def describe(self) -> dict[str, object]:
        """Return where jobs go and which racks are wanted."""
        return {
            "spilling": sorted(self._spill_over.spilling),
            "planned": dict(self._planned),
            "rack_loads": {rack: round(load, 3) for rack, load in self._loads.items()},
        }

    def note_job(self, request: JobRequest, run_times: RunTimes, *, now: float) -> None:
        """Count what racks a job's data makes wanted."""
        self._racks.note_job(request, run_times, now=now)

    def set_demand(self, demand: DemandTracker) -> None:
        """Take what waits at the other entries from a book."""
        self._demand = demand

    def plan(
        self, job: Job, workers: Iterable[WorkerView], run_times: RunTimes, *, now: float
    ) -> None:
        """Choose a job's data centre, unless it has begun in one that still takes tasks."""
        views = list(workers)
        service = job.request.queue.service
        self._loads = self._racks.get_loads(service, views, now=now)
        if job.has_begun and any(view.data_centre == job.data_centre for view in views):
            return
        step = job.waiting[0].step
        usual_s = run_times.expect(queue=job.request.queue.name, declared_s=step.estimate_s)
        by_data_centre: dict[str, list[WorkerView]] = {}
        for view in views:
            by_data_centre.setdefault(view.data_centre, []).append(view)
        waiting = self._demand.get_core_s_ahead_by_data_centre(
            service, job.request.queue.priority, now
        )
        outlooks = [
            self._look(place, there, job, step, waiting.get(place, 0.0), usual_s, now)
            for place, there in by_data_centre.items()
        ]
        is_bound = any(step.data_rack for step in job.request.steps)
        job.data_centre = self._spill_over.choose(
            job.request.id, service, outlooks, is_bound=is_bound
        )
        if job.data_centre is not None:
            self._planned[job.data_centre] += 1

    def _look(
        self,
        place: str,
        views: list[WorkerView],
        job: Job,
        step: StepRequest,
        waiting_core_s: float,
        usual_s: float,
        now: float,
    ) -> DataCentreOption:
        """Return what a job would find in a data centre."""
        wanted = len(job.waiting)
        costs: list[float] = []
        ways = sorted(
            ((self._get_task_cost(step, view, now), view) for view in views),
            key=lambda way: way[0],
        )
        for cost, view in ways:
            room = min(_count_room(step.resources, view.free), wanted - len(costs))
            costs += [cost] * room
            if len(costs) == wanted:
                break
        missing = wanted - len(costs)
        cores = sum(view.capacity.cpu for view in views) / 1000
        wait_s = waiting_core_s / cores if cores > 0 else 0.0
        if missing:
            wait_s += _expect_wait_s(step.resources, views, missing, usual_s, now)
            # What does not fit is started elsewhere, since nothing waits while there is room.
            costs.append(SPLIT_COST + ways[0][0])
        return DataCentreOption(
            data_centre=place,
            is_near=any(view.is_same_data_centre for view in views),
            cost=max(costs),
            wait=wait_s / max(usual_s, SHORTEST_S),
            room=sum(max(view.free.cpu, 0) for view in views),
        )

    def _get_task_cost(self, step: StepRequest, view: WorkerView, now: float) -> float:
        return view.get_slowness(now) * self.get_run_factor(step, view)

    def _get_location_cost(self, job: Job, step: StepRequest, worker: WorkerView) -> float:
        """Return what a worker costs for where it stands, in run times."""
        if job.data_centre is None:
            border = super()._get_location_cost(job, step, worker)
        else:
            border = 0.0 if worker.data_centre == job.data_centre else SPLIT_COST
        return border + self._get_rack_charge(step, worker)

    def _get_rack_charge(self, step: StepRequest, worker: WorkerView) -> float:
        """Return what a task that does not need a rack costs those that do, by their chance."""
        if not self._loads or step.data_rack in worker.labels:
            return 0.0
        wanted = max(map(self._loads.__getitem__, self._loads.keys() & worker.labels), default=0.0)
        return wanted * (self.remote_factor - 1.0)


def _count_room(needed: Resources, free: Resources) -> int:
    """Return how many tasks fit."""
    pairs = ((free.cpu, needed.cpu), (free.memory_mb, needed.memory_mb), (free.gpu, needed.gpu))
    return max(min((has // needs for has, needs in pairs if needs > 0), default=0), 0)


def _expect_wait_s(
    needed: Resources, views: list[WorkerView], missing: int, usual_s: float, now: float
) -> float:
    """Return when room for so many more tasks is free, in seconds.

    By agents' words on room that comes, and else as if tasks like these ran on all of them.
    """
    slots = sum(_count_room(needed, view.capacity) for view in views)
    if not slots:
        return float("inf")
    steps = sorted(
        (max(room.in_s - (now - view.releases_reported_at), 0.0), room.cpu)
        for view in views
        if now - view.releases_reported_at <= WORD_AGE_S
        for room in view.releases
        if 0.0 <= room.in_s < float("inf") and room.cpu > 0
    )
    left = missing * needed.cpu
    for in_s, cpu in steps:
        left -= cpu
        if left <= 0:
            return in_s
    return missing * usual_s / slots


def _draw(job_id: str, way: DataCentreOption) -> float:
    """Return a draw that all owners make alike; a way wins as often as its share of the room."""
    digest = hashlib.blake2b(f"{job_id} {way.data_centre}".encode(), digest_size=8).digest()
    share = (int.from_bytes(digest, "big") + 1) / 2**64
    return math.log(share) / max(way.room, 1)
