"""Seeded open-loop load in both users' shapes."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Arrival", "Mix", "make_burst", "make_steady", "mean_slot_seconds"]

LONGEST_S = 4.0
SHORTEST_S = 0.05

# Sizes of jobs: (share of the jobs, smallest, largest).
JOB_SIZES = ((0.60, 1, 1), (0.25, 2, 4), (0.13, 5, 16), (0.016, 17, 40), (0.004, 41, 110))


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One job: when it is due in seconds from the start, whose it is, and its tasks' run times."""

    at_s: float
    account: str
    service: str
    run_s: tuple[float, ...]
    deadline_s: float
    selector: str = ""

    @property
    def longest_s(self) -> float:
        """The run time of the longest task, in seconds."""
        return max(self.run_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """One user's tasks: log-normal about a median, cut to 50 ms and 1 s, a few of seconds."""

    account: str
    service: str
    median_s: float
    sigma: float
    long_share: float

    def draw(self, rng: random.Random) -> float:
        """Return one run time in seconds."""
        if rng.random() < self.long_share:
            return rng.uniform(1.5, LONGEST_S)
        value = self.median_s * math.exp(rng.gauss(0.0, self.sigma))
        return min(max(value, SHORTEST_S), 1.0)


CARD = Mix(account="card", service="sleep-card", median_s=0.12, sigma=0.4, long_share=0.0)
TRAIL = Mix(account="trail", service="sleep-trail", median_s=0.30, sigma=0.5, long_share=0.005)


def draw_size(rng: random.Random) -> int:
    """Return how many tasks a job has."""
    pick = rng.random()
    for share, smallest, largest in JOB_SIZES:
        if pick < share:
            return rng.randint(smallest, largest)
        pick -= share
    return 1


def mean_slot_seconds(mix: Mix, draw: Callable[[random.Random], int] = draw_size) -> float:
    """Return the slot-seconds of a mean job, by a fixed sample."""
    rng = random.Random(1)
    sample = 4000
    return sum(sum(mix.draw(rng) for _ in range(draw(rng))) for _ in range(sample)) / sample


def make_steady(
    *,
    seed: int,
    seconds: float,
    slots: int,
    utilisation: float,
    mixes: tuple[Mix, ...] = (CARD, TRAIL),
    deadline_s: float = 20.0,
) -> list[Arrival]:
    """Return Poisson arrivals that ask for a share of the slots, shared evenly by the mixes."""
    arrivals: list[Arrival] = []
    for position, mix in enumerate(mixes):
        rng = random.Random(seed * 1000 + position)
        rate = slots * utilisation / len(mixes) / mean_slot_seconds(mix)
        at_s = rng.expovariate(rate)
        while at_s < seconds:
            run_s = tuple(mix.draw(rng) for _ in range(draw_size(rng)))
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    account=mix.account,
                    service=mix.service,
                    run_s=run_s,
                    deadline_s=deadline_s,
                )
            )
            at_s += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def make_burst(
    *, seed: int, at_s: float, jobs: int, tasks: int, mix: Mix, deadline_s: float, within_s: float
) -> list[Arrival]:
    """Return jobs of the same size that arrive within a short time."""
    rng = random.Random(seed)
    return [
        Arrival(
            at_s=at_s + rng.uniform(0.0, within_s),
            account=mix.account,
            service=mix.service,
            run_s=tuple(mix.draw(rng) for _ in range(tasks)),
            deadline_s=deadline_s,
        )
        for _ in range(jobs)
    ]
