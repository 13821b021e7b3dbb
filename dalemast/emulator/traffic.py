"""Jobs like the two users', with their true run times, for simulations.

Figures are those of the users' requirements sheets: rates at the usual load, tasks a job, run
times, cores a task, worth, and how far off declared times are.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from dalemast.core.workloads import JobRequest, Queue, Resources, StepRequest

__all__ = [
    "CARD_CIRCUIT",
    "CARD_CIRCUIT_SHIFTED",
    "COMPETING",
    "TYRE_SERVICE",
    "UNEVEN_WORKERS",
    "Arrival",
    "JobKind",
    "declare_truly",
    "generate",
    "make_crashing",
]

SPREAD = 0.4
"""Spread of jobs' run times, of their widths, and of declared times around true ones."""
UNEVEN = 0.15
"""Spread of the tasks of one job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobKind:
    """One kind of request. ``per_s`` counts all entries; times are seconds."""

    name: str
    per_s: float
    width: float
    run_s: float
    cpu: int
    worth: float
    priority: int
    tail_share: float = 0.0
    """Share of its tasks that take ``tail_factor`` times as long as the others."""
    tail_factor: float = 1.0


CARD_CIRCUIT = (
    JobKind(name="seat-draw", per_s=17.2, width=8, run_s=0.12, cpu=1600, worth=0.0291, priority=0),
    JobKind(name="payout-calc", per_s=3.12, width=4, run_s=1.8, cpu=1600, worth=0.16, priority=2),
    JobKind(name="chip-check", per_s=50.0, width=2, run_s=0.4, cpu=1600, worth=0.01, priority=1),
)


TYRE_SERVICE = tuple(replace(kind, cpu=3100) for kind in CARD_CIRCUIT)
"""The third user's: the same rates, widths and times, each task on 3.1 cores."""


CARD_CIRCUIT_SHIFTED = (
    JobKind(name="seat-draw", per_s=14.1, width=8, run_s=0.12, cpu=1500, worth=0.00485, priority=0),
    JobKind(name="payout-calc", per_s=5.57, width=4, run_s=1.8, cpu=1500, worth=0.0267, priority=2),
    JobKind(name="chip-check", per_s=41.1, width=2, run_s=0.4, cpu=1500, worth=0.00167, priority=1),
)
"""The first user's half a year later: more ladders, which are the longest tasks, and fewer chips.
Rates are those of the sheet's 65 workers, for 11 of them."""


COMPETING = (
    JobKind(
        name="switch", per_s=103 / 51, width=8, run_s=0.12, cpu=1200, worth=0.00485, priority=0
    ),
    JobKind(name="crew", per_s=18.8 / 51, width=4, run_s=1.8, cpu=1200, worth=0.0267, priority=2),
    JobKind(name="outage", per_s=300 / 51, width=2, run_s=0.4, cpu=1200, worth=0.00167, priority=1),
)
"""Callers who compete for too little room. Rates are those of the sheet's 51 workers, for one."""


UNEVEN_WORKERS = (
    JobKind(
        name="stock",
        per_s=91 / 63,
        width=8,
        run_s=0.102,
        cpu=6000,
        worth=0.00485,
        priority=0,
        tail_share=0.03,
        tail_factor=7.0,
    ),
    JobKind(
        name="quote",
        per_s=16.6 / 63,
        width=4,
        run_s=1.52,
        cpu=6000,
        worth=0.0267,
        priority=2,
        tail_share=0.03,
        tail_factor=7.0,
    ),
    JobKind(
        name="confirm",
        per_s=265 / 63,
        width=2,
        run_s=0.34,
        cpu=6000,
        worth=0.00167,
        priority=1,
        tail_share=0.03,
        tail_factor=7.0,
    ),
)
"""Run times with a tail, for workers of uneven speeds. Rates are those of the sheet's 63 workers,
for one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A job, when it arrives, and how long each task truly takes on a worker of usual speed."""

    at: float
    kind: JobKind
    request: JobRequest
    run_times: tuple[float, ...]
    crash_s: float | None = None
    """How long after its start the job's first task ends its worker, each time, if it does."""

    @property
    def objective_s(self) -> float:
        """The time within which the job is on time, by its true run times."""
        return self.request.queue.get_objective_s(max(self.run_times))

    @property
    def worth(self) -> float:
        """What the job earns when it is on time: its share of the kind's mean work."""
        mean = self.kind.width * self.kind.run_s
        return self.kind.worth * min(4.0, 0.3 + 0.7 * sum(self.run_times) / mean)


def declare_truly(arrival: Arrival) -> Arrival:
    """Return a job whose declared run time is the true mean of its tasks."""
    mean_s = sum(arrival.run_times) / len(arrival.run_times)
    steps = tuple(replace(step, estimate_s=mean_s) for step in arrival.request.steps)
    return replace(arrival, request=replace(arrival.request, steps=steps))


def make_crashing(
    arrivals: list[Arrival], *, share: float, crash_s: float, rng: random.Random
) -> list[Arrival]:
    """Return jobs of which a share has a task that ends every worker that starts it."""
    return [
        replace(arrival, crash_s=crash_s) if rng.random() < share else arrival
        for arrival in arrivals
    ]


def generate(
    kinds: tuple[JobKind, ...], *, until_s: float, load: float, rng: random.Random
) -> Iterator[Arrival]:
    """Yield arrivals in order; ``load`` scales the rates."""
    rate = load * sum(kind.per_s for kind in kinds)
    weights = [kind.per_s for kind in kinds]
    now = rng.expovariate(rate)
    number = 0
    while now < until_s:
        number += 1
        yield _make(number, now, rng.choices(kinds, weights)[0], rng)
        now += rng.expovariate(rate)


def _make(number: int, at: float, kind: JobKind, rng: random.Random) -> Arrival:
    width = max(1, min(4 * round(kind.width), round(kind.width * _spread(rng, SPREAD))))
    run_s = kind.run_s * min(4.0, _spread(rng, SPREAD))
    run_times = tuple(run_s * _spread(rng, UNEVEN) * _draw_tail(kind, rng) for _ in range(width))
    step = StepRequest(
        count=width,
        resources=Resources(cpu=round(kind.cpu * _spread(rng, 0.2)), memory_mb=64),
        estimate_s=run_s * _spread(rng, SPREAD),
    )
    queue = Queue(
        name=kind.name,
        host=kind.name,
        prefix="/",
        service="floor",
        priority=kind.priority,
        attempts=2,
        stretch=1.6,
        slack_s=0.06,
    )
    request = JobRequest(
        id=f"{number:016x}", queue=queue, payload="", steps=(step,), timeout_s=30.0
    )
    return Arrival(at=at, kind=kind, request=request, run_times=run_times)


def _spread(rng: random.Random, sigma: float) -> float:
    """Return a log-normal factor of mean 1."""
    return math.exp(rng.gauss(-sigma * sigma / 2, sigma))


def _draw_tail(kind: JobKind, rng: random.Random) -> float:
    """Return how many times as long a task takes as most of its kind."""
    is_long = kind.tail_share and rng.random() < kind.tail_share
    return kind.tail_factor if is_long else 1.0
