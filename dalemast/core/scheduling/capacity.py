"""When room comes free on workers, by what is told and what this owner began there itself.

It answers long tasks that hold the room while urgent jobs arrive: whether they free it in time.
Agents tell it to some owners only. What nobody has told of, or long ago, is taken to come free as
the rest does, as long as enough is known of it; and on one worker it may come free at any moment.
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

MOST_RUNS = 64
"""Runs one after the other for which begins are looked for; beyond them the mean rate tells."""
PRECISION = 0.02
"""Share by which a begin may be off: far less than run times are."""
TINY_S = 0.001
"""Times below this are none."""
LONGEST_RUN_S = 3600.0
"""Beyond this a run ends too late for whatever waits."""


def bound_run_s(run_s: float) -> float:
    """Return a run time that can be reckoned with: callers may declare anything."""
    return min(max(TINY_S, run_s), LONGEST_RUN_S)


class OwnRun(NamedTuple):
    """A run of this owner: thousandths of a core, when it was placed, seconds to its end."""

    cpu: int
    placed_at: float
    left_s: float


class CapacityStep(NamedTuple):
    """Room that comes free on one worker, evenly between two times, in seconds from now."""

    first_s: float
    last_s: float
    cpu: int


class WorkerAvailability(NamedTuple):
    """What is free on a worker, in thousandths of a core, and what comes free, soonest first.

    ``unknown`` is in use, and nobody knows for how long.
    """

    free: int
    steps: Sequence[CapacityStep]
    unknown: int = 0


def get_worker_availability(
    view: WorkerView, runs: Iterable[OwnRun], *, fresh_s: float, now: float
) -> WorkerAvailability:
    """Return the room of a worker.

    ``runs`` are this owner's there. A word older than ``fresh_s`` is not believed.
    """
    free = max(view.free.cpu, 0)
    left = max(view.capacity.cpu - free, 0)
    age_s = now - view.releases_reported_at
    told_at = -math.inf
    steps: list[CapacityStep] = []
    if view.releases and 0.0 <= age_s <= fresh_s:
        told_at = view.releases_reported_at
        before_s = math.inf
        for row in view.releases:
            last_s = row.in_s - age_s
            if not 0.0 <= last_s < math.inf:
                # It may have come free since, and been taken by another owner.
                continue
            cpu = min(max(row.cpu, 0), left)
            # The first step is the next end; each other one may be several, told by the last.
            steps.append(CapacityStep(min(before_s, last_s), last_s, cpu))
            before_s = last_s
            left -= cpu
    for run in runs:
        # The agent's word tells of all that was begun before it.
        if run.placed_at > told_at:
            cpu = min(run.cpu, left)
            steps.append(CapacityStep(run.left_s, run.left_s, cpu))
            left -= cpu
    return WorkerAvailability(free, sorted(step for step in steps if step.cpu > 0), left)


class CapacityTimeline:
    """The room of several workers as it comes free; when work gets it at the soonest.

    What is free already is too little for what waits: it counts on its own worker alone.
    """

    def __init__(self, rooms: Iterable[WorkerAvailability]) -> None:
        self._rooms = list(rooms)
        self._single: dict[int, float] = {}
        known = sum(step.cpu for room in self._rooms for step in room.steps)
        unknown = sum(room.unknown for room in self._rooms)
        self._cores = (known + unknown) / 1000
        self._known_share = known / (known + unknown) if known else 0.0
        # What is unknown comes free as the rest.
        scale = 1000 * self._known_share
        events: list[tuple[float, float]] = []
        for room in self._rooms:
            for step in room.steps:
                events.append(((step.first_s + step.last_s) / 2, step.cpu / scale))
        events.sort()
        self._times = [at_s for at_s, _ in events]
        self._freed = list(itertools.accumulate((cores for _, cores in events), initial=0.0))

    @property
    def cores(self) -> float:
        """All the room that comes free, in cores."""
        return self._cores

    @property
    def known_share(self) -> float:
        """The share of the room in use of which it is known when it comes free."""
        return self._known_share

    def get_single_worker_start_s(self, cpu: int) -> float:
        """Return when one worker has so much room at the soonest; infinity if none ever has."""
        found = self._single.get(cpu)
        if found is None:
            found = min((_find_first(room, cpu) for room in self._rooms), default=math.inf)
            self._single[cpu] = found
        return found

    def get_pooled_start_s(self, cores: float, *, run_s: float) -> float:
        """Return when tasks that take so many cores in all have begun at the soonest.

        ``run_s`` is how long each of them runs, and then leaves its room to another one.
        """
        if not self._times:
            return math.inf
        run_s = bound_run_s(run_s)
        low_s, high_s = 0.0, run_s
        while self._count_begun(high_s, run_s) < cores:
            low_s, high_s = high_s, 2.0 * high_s
            if high_s > MOST_RUNS * run_s:
                return max(low_s, cores * run_s / self._freed[-1])
        while high_s - low_s > PRECISION * high_s + TINY_S:
            middle_s = (low_s + high_s) / 2
            if self._count_begun(middle_s, run_s) < cores:
                low_s = middle_s
            else:
                high_s = middle_s
        return high_s

    def _count_begun(self, at_s: float, run_s: float) -> float:
        """Return how many cores of tasks can have begun until a time."""
        begun = 0.0
        while at_s >= 0.0:
            begun += self._freed[bisect.bisect_right(self._times, at_s)]
            at_s -= run_s
        return begun


def _find_first(room: WorkerAvailability, cpu: int) -> float:
    """Return when a worker may have so much room at the soonest."""
    free = room.free + room.unknown
    if free >= cpu:
        return 0.0
    for step in room.steps:
        free += step.cpu
        if free >= cpu:
            return step.first_s
    return math.inf
