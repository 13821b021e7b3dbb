"""The choice of a data centre for each job, and a placement that follows it.

Balances demand that peaks at different times in different data centres, demand that moves to the
others when a data centre is lost or evacuated, and demand for the data of a single rack.
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
"""Share of its run time that a task must gain to be placed outside its job's data centre. A job
ends with its slowest task, so a smaller gain of a single task does not help it."""
SWITCH_GAIN = 0.1
"""Share of the run time that work must gain before it moves to other data centres. Costs that
differ by less count as equal. Guards against oscillation, as capacity reports arrive late."""
MAX_REPORT_AGE_S = 1.0
"""Maximum age of a report on capacity releases, in seconds."""
MIN_RUN_S = 0.001
"""Shorter run times count as this long, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreOption:
    """What a job would get in one data centre now.

    ``cost`` is the run time of its slowest task there, and ``wait`` the time until its last task
    has capacity, both as multiples of the expected run time. ``free_cpu`` is the free capacity, in
    thousandths of a core.
    """

    data_centre: str
    is_near: bool
    cost: float
    wait: float
    free_cpu: int


class SpillOver:
    """Chooses data centres, with hysteresis.

    Work of a service that spills over to other data centres continues to do so until the entry's
    own data centre is as good.
    """

    def __init__(self, *, far_penalty: float) -> None:
        self._far_penalty = far_penalty
        self._spilling: set[str] = set()

    @property
    def spilling(self) -> frozenset[str]:
        """The services whose work currently goes to other data centres."""
        return frozenset(self._spilling)

    def choose(
        self,
        job_id: str,
        service: str,
        candidates: Iterable[DataCentreOption],
        *,
        needs_rack_data: bool,
    ) -> str | None:
        """Return the data centre for a job, or None if there is none.

        With ``needs_rack_data`` a rack holds data of the job. It is then placed by its own costs,
        and does not change where other jobs go.
        """
        options = list(candidates)
        own_cost = min(
            (self._get_cost(option) for option in options if option.is_near), default=None
        )
        other_cost = min(
            (self._get_cost(option) for option in options if not option.is_near), default=None
        )
        is_spilling = self._update_spilling(
            service, own_cost, other_cost, needs_rack_data=needs_rack_data
        )
        chosen = [option for option in options if option.is_near is not is_spilling]
        if not chosen:
            return None
        # Data centres of equal cost share the work by free capacity, so that the owners don't all
        # choose the same one.
        least = min(self._get_cost(option) for option in chosen)
        equal = [option for option in chosen if self._get_cost(option) <= least + SWITCH_GAIN]
        return max(equal, key=lambda option: _get_random_rank(job_id, option)).data_centre

    def _get_cost(self, option: DataCentreOption) -> float:
        return option.cost + option.wait + (0.0 if option.is_near else self._far_penalty)

    def _update_spilling(
        self,
        service: str,
        own_cost: float | None,
        other_cost: float | None,
        *,
        needs_rack_data: bool,
    ) -> bool:
        """Return whether a job goes to another data centre, and store it for the next jobs."""
        if own_cost is None or other_cost is None:
            return own_cost is None
        if needs_rack_data:
            return other_cost < own_cost
        was_spilling = service in self._spilling
        is_spilling = other_cost < own_cost if was_spilling else other_cost + SWITCH_GAIN < own_cost
        if is_spilling:
            self._spilling.add(service)
        else:
            self._spilling.discard(service)
        return is_spilling


class BalancedPlacement(FastestPlacement):
    """Keeps a job in one data centre, and capacity free on racks whose data is in demand."""

    def __init__(self, *, remote_factor: float, far_penalty: float) -> None:
        super().__init__(remote_factor=remote_factor, far_penalty=far_penalty)
        self._spill_over = SpillOver(far_penalty=far_penalty)
        self._racks = RackDemand()
        self._loads: dict[str, float] = {}
        self._demand = DemandTracker()
        self._planned: Counter[str] = Counter()
        """How often each data centre was chosen for a job."""

    def describe(self) -> dict[str, object]:
        """Return where jobs go and which racks are in demand."""
        return {
            "spilling": sorted(self._spill_over.spilling),
            "planned": dict(self._planned),
            "rack_loads": {rack: round(load, 3) for rack, load in self._loads.items()},
        }

    def note_job(self, request: JobRequest, run_times: RunTimes, *, now: float) -> None:
        """Count a job towards the demand for the racks of its data."""
        self._racks.note_job(request, run_times, now=now)

    def set_demand(self, demand: DemandTracker) -> None:
        """Use this tracker for the queued work of other entries."""
        self._demand = demand

    def plan(
        self, job: Job, workers: Iterable[WorkerView], run_times: RunTimes, *, now: float
    ) -> None:
        """Choose a job's data centre, unless it has started in one that still accepts tasks."""
        views = list(workers)
        service = job.request.queue.service
        self._loads = self._racks.get_loads(service, views, now=now)
        if job.has_begun and any(view.data_centre == job.data_centre for view in views):
            return
        step = job.waiting[0].step
        expected_s = run_times.expect(queue=job.request.queue.name, declared_s=step.estimate_s)
        by_data_centre: dict[str, list[WorkerView]] = {}
        for view in views:
            by_data_centre.setdefault(view.data_centre, []).append(view)
        waiting = self._demand.get_core_s_ahead_by_data_centre(
            service, job.request.queue.priority, now
        )
        options = [
            self._make_option(
                data_centre, members, job, step, waiting.get(data_centre, 0.0), expected_s, now
            )
            for data_centre, members in by_data_centre.items()
        ]
        needs_rack_data = any(step.data_rack for step in job.request.steps)
        job.data_centre = self._spill_over.choose(
            job.request.id, service, options, needs_rack_data=needs_rack_data
        )
        if job.data_centre is not None:
            self._planned[job.data_centre] += 1

    def _make_option(
        self,
        data_centre: str,
        views: list[WorkerView],
        job: Job,
        step: StepRequest,
        waiting_core_s: float,
        expected_s: float,
        now: float,
    ) -> DataCentreOption:
        """Return what a job would get in a data centre."""
        needed_tasks = len(job.waiting)
        costs: list[float] = []
        options = sorted(
            ((self._get_task_cost(step, view, now), view) for view in views),
            key=lambda option: option[0],
        )
        for cost, view in options:
            fitting = min(_count_fitting(step.resources, view.free), needed_tasks - len(costs))
            costs += [cost] * fitting
            if len(costs) == needed_tasks:
                break
        missing = needed_tasks - len(costs)
        cores = sum(view.capacity.cpu for view in views) / 1000
        wait_s = waiting_core_s / cores if cores > 0 else 0.0
        if missing:
            wait_s += _expect_wait_s(step.resources, views, missing, expected_s, now)
            # Tasks that don't fit start in another data centre while it has free capacity.
            costs.append(SPLIT_COST + options[0][0])
        return DataCentreOption(
            data_centre=data_centre,
            is_near=any(view.is_same_data_centre for view in views),
            cost=max(costs),
            wait=wait_s / max(expected_s, MIN_RUN_S),
            free_cpu=sum(max(view.free.cpu, 0) for view in views),
        )

    def _get_task_cost(self, step: StepRequest, view: WorkerView, now: float) -> float:
        return view.get_slowness(now) * self.get_run_factor(step, view)

    def _get_location_cost(self, job: Job, step: StepRequest, worker: WorkerView) -> float:
        """Return the cost of a worker's location, as a share of the run time."""
        if job.data_centre is None:
            distance_cost = super()._get_location_cost(job, step, worker)
        else:
            distance_cost = 0.0 if worker.data_centre == job.data_centre else SPLIT_COST
        return distance_cost + self._get_rack_cost(step, worker)

    def _get_rack_cost(self, step: StepRequest, worker: WorkerView) -> float:
        """Return the expected cost, to tasks that need a rack, of placing another task there."""
        if not self._loads or step.data_rack in worker.labels:
            return 0.0
        load = max(map(self._loads.__getitem__, self._loads.keys() & worker.labels), default=0.0)
        return load * (self.remote_factor - 1.0)


def _count_fitting(needed: Resources, free: Resources) -> int:
    """Return how many tasks fit into free capacity."""
    pairs = ((free.cpu, needed.cpu), (free.memory_mb, needed.memory_mb), (free.gpu, needed.gpu))
    return max(min((has // needs for has, needs in pairs if needs > 0), default=0), 0)


def _expect_wait_s(
    needed: Resources, views: list[WorkerView], missing: int, expected_s: float, now: float
) -> float:
    """Return the time until there is capacity for ``missing`` more tasks, in seconds.

    It is taken from the reported capacity releases. If they are not enough, all workers are assumed
    to be running tasks like these.
    """
    slots = sum(_count_fitting(needed, view.capacity) for view in views)
    if not slots:
        return float("inf")
    steps = sorted(
        (max(release.in_s - (now - view.releases_reported_at), 0.0), release.cpu)
        for view in views
        if now - view.releases_reported_at <= MAX_REPORT_AGE_S
        for release in view.releases
        if 0.0 <= release.in_s < float("inf") and release.cpu > 0
    )
    left = missing * needed.cpu
    for in_s, cpu in steps:
        left -= cpu
        if left <= 0:
            return in_s
    return missing * expected_s / slots


def _get_random_rank(job_id: str, option: DataCentreOption) -> float:
    """Return a random rank that is the same at all owners.

    An option has the highest rank with a probability equal to its share of the free capacity.
    """
    digest = hashlib.blake2b(f"{job_id} {option.data_centre}".encode(), digest_size=8).digest()
    share = (int.from_bytes(digest, "big") + 1) / 2**64
    return math.log(share) / max(option.free_cpu, 1)
