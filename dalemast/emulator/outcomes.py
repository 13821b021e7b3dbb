"""What a simulated run earned: the verdict on each job, and their sum."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dalemast.core.scheduling import JobState
from dalemast.core.scheduling.jobs import LATE_FACTOR
from dalemast.emulator.traffic import Arrival

__all__ = ["JobEnd", "Outcome", "sum_up"]

LATE_SHARE = 0.2
"""Share of its worth that a late answer earns; beyond LATE_FACTOR objectives it earns nothing."""
WARM_UP_S = 10.0
"""Owners call no job hopeless and have no run times before; jobs from then on are counted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobEnd:
    """How a job ended at its owner, and when. A refused one has no state."""

    state: JobState | None
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What became of the jobs of a run, by kind; ``worth`` is earned over owed."""

    worth: float
    on_time: dict[str, int]
    late: dict[str, int]
    refused: dict[str, int]
    lost: dict[str, int]

    def __str__(self) -> str:
        parts = [f"worth {self.worth:.3f}"]
        for name in sorted({*self.on_time, *self.late, *self.refused, *self.lost}):
            counts = (self.on_time, self.late, self.refused, self.lost)
            parts.append(f"{name} " + "/".join(str(count.get(name, 0)) for count in counts))
        return ", ".join(parts) + " (on time/late/refused/too late)"


def sum_up(arrivals: Iterable[Arrival], ends: Mapping[str, JobEnd]) -> Outcome:
    """Return what became of the jobs; one that has not ended is too late."""
    counts: dict[str, Counter[str]] = {
        name: Counter() for name in ("on time", "late", "refused", "lost")
    }
    earned = owed = 0.0
    for arrival in arrivals:
        if arrival.at < WARM_UP_S or arrival.crash_s is not None:
            # One that ends its workers can't be done and is owed nothing.
            continue
        owed += arrival.worth
        verdict, share = _judge(arrival, ends.get(arrival.request.id))
        counts[verdict][arrival.kind.name] += 1
        earned += share * arrival.worth
    return Outcome(
        worth=earned / owed if owed else 0.0,
        on_time=dict(counts["on time"]),
        late=dict(counts["late"]),
        refused=dict(counts["refused"]),
        lost=dict(counts["lost"]),
    )


def _judge(arrival: Arrival, end: JobEnd | None) -> tuple[str, float]:
    """Return a job's verdict, and the share of its worth that it earns."""
    if end is None:
        return "lost", 0.0
    if end.state is None:
        return "refused", 0.0
    took_s = end.at - arrival.at
    if end.state is JobState.SUCCEEDED and took_s <= arrival.objective_s:
        return "on time", 1.0
    if end.state is JobState.SUCCEEDED and took_s <= LATE_FACTOR * arrival.objective_s:
        return "late", LATE_SHARE
    return "lost", 0.0
