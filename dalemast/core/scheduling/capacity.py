"""When capacity will be released on workers, from agents' reports and this owner's own runs.

It shows whether long tasks will release their capacity in time for urgent jobs. Agents report
releases to some owners only. Capacity in use without a recent report is assumed to be released at
the same rate as the rest; on a single worker it may be released at any moment.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from dalemast.core.scheduling.workers import WorkerView

__all__ = [
    "OwnRun",
    "CapacityStep",
    "CapacityTimeline",
    "WorkerAvailability",
    "bound_run_s",
    "get_worker_availability",
]

MAX_RUNS = 64
"""Number of consecutive runs for which start times are computed; later ones use the mean rate."""
PRECISION = 0.02
"""Relative precision of a computed start time."""
MIN_TIME_S = 0.001
"""Times below this count as zero."""
MAX_RUN_S = 3600.0
"""A longer run ends too late for any waiting task."""


def bound_run_s(run_s: float) -> float:
    """Return a run time within bounds: callers may declare any value, NaN included."""
    return min(max(MIN_TIME_S, run_s), MAX_RUN_S)


class OwnRun(NamedTuple):
    """A run of this owner: thousandths of a core, time of placement, expected seconds left."""

    cpu: int
    placed_at: float
    left_s: float


class CapacityStep(NamedTuple):
    """Capacity that one worker releases at some time between two, in seconds from now."""

    first_s: float
    last_s: float
    cpu: int


class WorkerAvailability(NamedTuple):
    """The free capacity of a worker and its expected releases, the first one first.

    ``unknown`` is capacity in use without a known end. All are in thousandths of a core.
    """

    free: int
    steps: Sequence[CapacityStep]
    unknown: int = 0


def get_worker_availability(
    view: WorkerView, runs: Iterable[OwnRun], *, max_age_s: float, now: float
) -> WorkerAvailability:
    """Return the availability of a worker.

    ``runs`` are this owner's runs on it. A report older than ``max_age_s`` is ignored.
    """
    free = max(view.free.cpu, 0)
    left = max(view.capacity.cpu - free, 0)
    age_s = now - view.releases_reported_at
    reported_at = -math.inf
    steps: list[CapacityStep] = []
    if view.releases and 0.0 <= age_s <= max_age_s:
        reported_at = view.releases_reported_at
        before_s = math.inf
        for row in view.releases:
            last_s = row.in_s - age_s
            if not 0.0 <= last_s < math.inf:
                # It may have been released since, and taken by another owner.
                continue
            cpu = min(max(row.cpu, 0), left)
            # The first step is the end of a single run; a later one may combine several runs, and
            # is reported with the time of the last end.
            steps.append(CapacityStep(min(before_s, last_s), last_s, cpu))
            before_s = last_s
            left -= cpu
    for run in runs:
        # Runs placed before the report are included in it.
        if run.placed_at > reported_at:
            cpu = min(run.cpu, left)
            steps.append(CapacityStep(run.left_s, run.left_s, cpu))
            left -= cpu
    return WorkerAvailability(free, sorted(step for step in steps if step.cpu > 0), left)


class CapacityTimeline:
    """The expected capacity releases of several workers, and the earliest starts they allow.

    Capacity that is already free counts on its own worker only, since it was too little for the
    waiting tasks.
    """

    def __init__(self, workers: Iterable[WorkerAvailability]) -> None:
        self._workers = list(workers)
        self._single_worker_starts: dict[int, float] = {}
        known = sum(step.cpu for worker in self._workers for step in worker.steps)
        unknown = sum(worker.unknown for worker in self._workers)
        self._cores = (known + unknown) / 1000
        self._known_share = known / (known + unknown) if known else 0.0
        # Unknown capacity is assumed to be released like the rest.
        scale = 1000 * self._known_share
        events: list[tuple[float, float]] = []
        for worker in self._workers:
            for step in worker.steps:
                events.append(((step.first_s + step.last_s) / 2, step.cpu / scale))
        events.sort()
        self._times = [at_s for at_s, _ in events]
        self._freed = list(itertools.accumulate((cores for _, cores in events), initial=0.0))

    @property
    def cores(self) -> float:
        """The capacity that will be released, in cores."""
        return self._cores

    @property
    def known_share(self) -> float:
        """The share of that capacity whose release time is known."""
        return self._known_share

    def get_single_worker_start_s(self, cpu: int) -> float:
        """Return the earliest time at which one worker has ``cpu`` free, or infinity."""
        start_s = self._single_worker_starts.get(cpu)
        if start_s is None:
            start_s = min(
                (_get_worker_start_s(worker, cpu) for worker in self._workers), default=math.inf
            )
            self._single_worker_starts[cpu] = start_s
        return start_s

    def get_pooled_start_s(self, cores: float, *, run_s: float) -> float:
        """Return the earliest time by which tasks of ``cores`` in total can have started.

        Each of them runs for ``run_s`` and then leaves its capacity to the next one.
        """
        if not self._times:
            return math.inf
        run_s = bound_run_s(run_s)
        low_s, high_s = 0.0, run_s
        while self._count_started(high_s, run_s) < cores:
            low_s, high_s = high_s, 2.0 * high_s
            if high_s > MAX_RUNS * run_s:
                return max(low_s, cores * run_s / self._freed[-1])
        while high_s - low_s > PRECISION * high_s + MIN_TIME_S:
            middle_s = (low_s + high_s) / 2
            if self._count_started(middle_s, run_s) < cores:
                low_s = middle_s
            else:
                high_s = middle_s
        return high_s

    def _count_started(self, at_s: float, run_s: float) -> float:
        """Return how many cores of tasks can have started by a time."""
        started = 0.0
        while at_s >= 0.0:
            started += self._freed[bisect.bisect_right(self._times, at_s)]
            at_s -= run_s
        return started


def _get_worker_start_s(worker: WorkerAvailability, cpu: int) -> float:
    """Return the earliest time at which a worker may have ``cpu`` free."""
    free = worker.free + worker.unknown
    if free >= cpu:
        return 0.0
    for step in worker.steps:
        free += step.cpu
        if free >= cpu:
            return step.first_s
    return math.inf
