"""Room that comes free on a worker, as an owner believes an agent's word on it while it ages.

It answers long tasks that hold the room: without it a worker that frees room in 50 ms looks like
one that frees none for seconds.
"""

from __future__ import annotations

import math

from dalemast.core.scheduling.load import CapacityRelease

__all__ = ["MAX_STEPS", "OVERDUE_GRACE_S", "age_releases", "are_releases_valid"]

MAX_STEPS = 4
"""Steps of one word: the first few ends decide whether a job can begin in time."""
OVERDUE_GRACE_S = 0.5
"""How long after its time a step is still believed. Run times err by factors, but an end is told of
within a report's pause, and a job that could wait for longer has other workers to look at."""


def are_releases_valid(rows: tuple[CapacityRelease, ...]) -> bool:
    """Tell whether an agent's word can be true: few steps that free something, soonest first."""
    if len(rows) > MAX_STEPS:
        return False
    sooner_s = 0.0
    for row in rows:
        if not math.isfinite(row.in_s) or row.in_s < sooner_s or row.cpu <= 0:
            return False
        sooner_s = row.in_s
    return True


def age_releases(
    rows: tuple[CapacityRelease, ...], *, age_s: float, max_cpu: int
) -> tuple[CapacityRelease, ...]:
    """Return the steps that are left of a word of this age, ``max_cpu`` in all at the most.

    A step whose time is over is due now; it is free only once the agent says so.
    """
    left_cpu = max_cpu
    aged = []
    for row in rows:
        in_s = row.in_s - age_s
        cpu = min(row.cpu, left_cpu)
        if in_s < -OVERDUE_GRACE_S or cpu <= 0:
            continue
        left_cpu -= cpu
        aged.append(CapacityRelease(in_s=max(in_s, 0.0), cpu=cpu))
    return tuple(aged)
