"""Placement policies, and baselines to compare them with."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from dalemast.core.placement.base import Allotment, BasePlacement
from dalemast.core.placement.health import HealthMonitor
from dalemast.core.placement.workers import WorkerView

__all__ = [
    "PackingPlacement",
    "RandomPlacement",
    "RoundRobinPlacement",
    "SpreadingPlacement",
    "StaleShortestQueuePlacement",
    "get_placement",
]

SAMPLE_SIZE = 24
"""Maximum number of candidates considered for one choice, drawn at random from all."""


class _CapacityPlacement(BasePlacement):
    """Base of the policies that use the estimated free capacity of workers.

    Workers of the local data centre go first, then the others, and last those with an overdue
    task, which may be slow. The last ones are not excluded: otherwise an account with long tasks
    could make a worker unavailable to the other accounts.
    """

    def __init__(self, *, data_centre: str = "", queue_limit: int = 0) -> None:
        self._data_centre = data_centre
        self._queue_limit = queue_limit

    def choose(
        self,
        *,
        count: int,
        candidates: Sequence[WorkerView],
        health: HealthMonitor,
        now: float,
        rng: random.Random,
    ) -> list[Allotment]:
        """Allot tasks to free slots, or to the agents' queues if no slot is free."""
        if len(candidates) > SAMPLE_SIZE:
            candidates = rng.sample(candidates, SAMPLE_SIZE)
        allotments = self._fill(count, candidates, health, now, rng, queue_limit=0)
        if not allotments and self._queue_limit:
            queue_limit = self._queue_limit
            allotments = self._fill(count, candidates, health, now, rng, queue_limit=queue_limit)
        return allotments

    def _fill(
        self,
        count: int,
        candidates: Sequence[WorkerView],
        health: HealthMonitor,
        now: float,
        rng: random.Random,
        *,
        queue_limit: int,
    ) -> list[Allotment]:
        """Allot tasks to the tiers in order."""
        allotments: list[Allotment] = []
        for tier in self._get_tiers(candidates, health, now, queue_limit):
            if tier and count:
                chosen = self._allot(count, tier, rng)
                count -= sum(allotment.count for allotment in chosen)
                allotments += chosen
        return allotments

    def _get_tiers(
        self,
        candidates: Sequence[WorkerView],
        health: HealthMonitor,
        now: float,
        queue_limit: int,
    ) -> tuple[list[tuple[int, WorkerView]], ...]:
        local: list[tuple[int, WorkerView]] = []
        remote: list[tuple[int, WorkerView]] = []
        suspected: list[tuple[int, WorkerView]] = []
        for worker in candidates:
            capacity = worker.get_free_capacity(now=now, queue_limit=queue_limit)
            capacity = health.get_allowance(worker.name, capacity) if capacity > 0 else 0
            if capacity <= 0:
                continue
            if worker.overdue:
                suspected.append((capacity, worker))
            elif worker.endpoint.data_centre == self._data_centre:
                local.append((capacity, worker))
            else:
                remote.append((capacity, worker))
        return local, remote, suspected

    def _allot(
        self, count: int, workers: list[tuple[int, WorkerView]], rng: random.Random
    ) -> list[Allotment]:
        raise NotImplementedError


class PackingPlacement(_CapacityPlacement):
    """Use as few workers as possible, those with the most free capacity first.

    Each worker that is not needed saves a start message and an answer message.
    """

    def _allot(
        self, count: int, workers: list[tuple[int, WorkerView]], rng: random.Random
    ) -> list[Allotment]:
        rng.shuffle(workers)
        workers.sort(key=lambda pair: pair[0], reverse=True)
        allotments: list[Allotment] = []
        for capacity, worker in workers:
            if not count:
                break
            share = min(capacity, count)
            allotments.append(Allotment(worker=worker, count=share))
            count -= share
        return allotments


class SpreadingPlacement(_CapacityPlacement):
    """Allot one task at a time to the worker with the most free capacity left."""

    def _allot(
        self, count: int, workers: list[tuple[int, WorkerView]], rng: random.Random
    ) -> list[Allotment]:
        rng.shuffle(workers)
        capacities = [capacity for capacity, _ in workers]
        counts = [0] * len(workers)
        for _ in range(min(count, sum(capacities))):
            best = max(range(len(workers)), key=capacities.__getitem__)
            capacities[best] -= 1
            counts[best] += 1
        return [
            Allotment(worker=worker, count=share)
            for (_, worker), share in zip(workers, counts, strict=True)
            if share
        ]


class _LoadBlindPlacement(BasePlacement):
    """Base of the baselines: any usable worker may get a task, even when full."""

    def __init__(self, *, data_centre: str = "", queue_limit: int = 0) -> None:
        self._turn = 0

    def choose(
        self,
        *,
        count: int,
        candidates: Sequence[WorkerView],
        health: HealthMonitor,
        now: float,
        rng: random.Random,
    ) -> list[Allotment]:
        """Allot every task to usable workers."""
        usable = [worker for worker in candidates if worker.is_usable]
        if not usable:
            return []
        counts: dict[str, int] = {}
        for _ in range(count):
            worker = self._pick(usable, rng)
            counts[worker.name] = counts.get(worker.name, 0) + 1
        by_name = {worker.name: worker for worker in usable}
        return [Allotment(worker=by_name[name], count=n) for name, n in counts.items()]

    def _pick(self, usable: list[WorkerView], rng: random.Random) -> WorkerView:
        raise NotImplementedError


class RandomPlacement(_LoadBlindPlacement):
    """Baseline: a random worker for each task."""

    def _pick(self, usable: list[WorkerView], rng: random.Random) -> WorkerView:
        return rng.choice(usable)


class RoundRobinPlacement(_LoadBlindPlacement):
    """Baseline: the workers in turn."""

    def _pick(self, usable: list[WorkerView], rng: random.Random) -> WorkerView:
        self._turn += 1
        return usable[self._turn % len(usable)]


class StaleShortestQueuePlacement(_LoadBlindPlacement):
    """Baseline: the worker with the fewest tasks in its last report, however old."""

    def _pick(self, usable: list[WorkerView], rng: random.Random) -> WorkerView:
        return min(usable, key=lambda worker: (worker.reported_total, rng.random()))


_PLACEMENTS: dict[str, Callable[..., BasePlacement]] = {
    "packing": PackingPlacement,
    "spreading": SpreadingPlacement,
    "random": RandomPlacement,
    "round-robin": RoundRobinPlacement,
    "stale-shortest-queue": StaleShortestQueuePlacement,
}


def get_placement(name: str, *, data_centre: str, queue_limit: int) -> BasePlacement:
    """Return the policy with the given name; raise KeyError if there is none."""
    return _PLACEMENTS[name](data_centre=data_centre, queue_limit=queue_limit)
