"""Validation and ageing of an agent's report on expected capacity releases.

With them an owner can tell a worker that will soon have capacity from one that is occupied by long
tasks.
"""

from __future__ import annotations

import math

from dalemast.core.scheduling.load import CapacityRelease

__all__ = ["MAX_STEPS", "OVERDUE_GRACE_S", "age_releases", "are_releases_valid"]

MAX_STEPS = 4
"""Maximum number of releases in a report; the first few decide whether a job can start in time."""
OVERDUE_GRACE_S = 0.5
"""How long a release that has not happened at its expected time is still expected, in seconds."""


def are_releases_valid(rows: tuple[CapacityRelease, ...]) -> bool:
    """Return whether a report is short enough, ordered by time, and each release is positive."""
    if len(rows) > MAX_STEPS:
        return False
    previous_s = 0.0
    for row in rows:
        if not math.isfinite(row.in_s) or row.in_s < previous_s or row.cpu <= 0:
            return False
        previous_s = row.in_s
    return True


def age_releases(
    rows: tuple[CapacityRelease, ...], *, age_s: float, max_cpu: int
) -> tuple[CapacityRelease, ...]:
    """Return the releases still expected from a report of this age, at most ``max_cpu`` in total.

    An overdue release is expected at once; its capacity counts as free only when the agent has
    reported it.
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
