"""Expected capacity releases on a worker, from the progress and expected ends of its runs.

Where long tasks occupy all of the capacity, owners learn when some of it will be free.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from dalemast.core.scheduling.capacity_releases import MAX_STEPS
from dalemast.core.scheduling.load import CapacityRelease
from dalemast.core.supervision.runs import (
    MIN_AGE_S,
    Run,
    RunPhase,
)

__all__ = ["list_releases"]

TICKS_PER_S = 100
"""Resolution of expected ends: ends within the same hundredth of a second form one step."""


def list_releases(runs: Iterable[Run], *, now: float) -> tuple[CapacityRelease, ...]:
    """Return the steps in which the runs release their capacity, soonest first.

    Each step groups twice as many ends as the one before, and the last step all that remain, since
    the next releases matter most. The time of a step is that of its last end.
    """
    ends = _group_ends(runs, now)
    steps: list[CapacityRelease] = []
    width = 1
    while ends:
        if len(steps) == MAX_STEPS - 1:
            width = len(ends)
        group, ends = ends[:width], ends[width:]
        cpu = sum(cpu for _, cpu in group)
        steps.append(CapacityRelease(in_s=group[-1][0] / TICKS_PER_S, cpu=cpu))
        width *= 2
    return tuple(steps)


def _group_ends(runs: Iterable[Run], now: float) -> list[tuple[int, int]]:
    """Return the thousandths of a core released at each tick from now, soonest first."""
    ends: dict[int, int] = {}
    for run in runs:
        left_s = _get_left_s(run, now)
        cpu = run.request.resources.cpu
        if left_s is not None and cpu > 0:
            ticks = math.ceil(left_s * TICKS_PER_S)
            ends[ticks] = ends.get(ticks, 0) + cpu
    return sorted(ends.items())


def _get_left_s(run: Run, now: float) -> float | None:
    """Return in how many seconds a run is expected to end, or None if that is unknown."""
    if run.phase is RunPhase.STOPPING or not math.isfinite(run.request.expected_s):
        return None
    age_s = now - run.started_at
    if run.percent <= 0 or run.observed_s < MIN_AGE_S:
        # An overdue run without progress may take any length of time.
        left_s = run.request.expected_s - age_s
        return left_s if left_s >= 0 else None
    if run.is_stalled(now):
        return None
    return max(run.get_total_s() - age_s, 0.0)
