"""When room comes free on the worker, by the progress of what runs there and its expected ends.

It answers long tasks that hold the room: owners that lack room hear not only that nothing is free,
but when something will be.
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

GRAINS_PER_S = 100
"""Ends within a hundredth of a second are one step; estimates err by more."""


def list_releases(runs: Iterable[Run], *, now: float) -> tuple[CapacityRelease, ...]:
    """Return the steps in which what runs frees its room, soonest first.

    The first step holds the next end, and each further one twice as many as the one before, the
    last one all that is left: what is soon decides most. A step's time is that of its last end.
    """
    ends = _sum_up_ends(runs, now)
    steps: list[CapacityRelease] = []
    width = 1
    while ends:
        if len(steps) == MAX_STEPS - 1:
            width = len(ends)
        group, ends = ends[:width], ends[width:]
        cpu = sum(cpu for _, cpu in group)
        steps.append(CapacityRelease(in_s=group[-1][0] / GRAINS_PER_S, cpu=cpu))
        width *= 2
    return tuple(steps)


def _sum_up_ends(runs: Iterable[Run], now: float) -> list[tuple[int, int]]:
    """Return the processors that come free by hundredths of a second from now, soonest first."""
    ends: dict[int, int] = {}
    for run in runs:
        left_s = _get_left_s(run, now)
        cpu = run.request.resources.cpu
        if left_s is not None and cpu > 0:
            grain = math.ceil(left_s * GRAINS_PER_S)
            ends[grain] = ends.get(grain, 0) + cpu
    return sorted(ends.items())


def _get_left_s(run: Run, now: float) -> float | None:
    """Return in how many seconds a run is expected to end, or None if nobody can say."""
    if run.phase is RunPhase.STOPPING or not math.isfinite(run.request.expected_s):
        return None
    age_s = now - run.started_at
    if run.percent <= 0 or run.seen_s < MIN_AGE_S:
        # One that is overdue and shows no progress may be of any length.
        left_s = run.request.expected_s - age_s
        return left_s if left_s >= 0 else None
    if run.is_stalled(now):
        return None
    return max(run.get_total_s() - age_s, 0.0)
