"""What a leaving worker can't end, so that owners hear of it while there is time.

Load pattern: capacity is taken away at short notice, from many workers at a time. A worker says the
least time that it has left, and stays longer at times. Tasks that outlast it are lost with it, and
begin anew only then.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.departures import is_plausible
from dalemast.core.supervision.actions import Action, ReportDeparture, ReportDepartureRisk
from dalemast.core.supervision.base import WorkerIncarnation
from dalemast.core.supervision.runs import DECLARED_ERROR, MIN_AGE_S, Run, RunPhase, ToldCut

__all__ = ["DepartureWatch"]

SEEN_S = 0.05
"""How much longer than its worker a run must take to count as cut short: what ends just in time
still has to be seen."""
CHANGE_S = 0.2
"""Change of a time that is worth a message. A move costs a caller 0.06 s."""
CHANGE_SHARE = 0.25
"""The same, as a share of the rest of a run."""
MOST_REPORTS = 6
"""Reports on one run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Rest:
    """What is left of a run, in seconds: as it seems, and for sure."""

    likely_s: float
    least_s: float


class DepartureWatch:
    """The time that one life of a worker has left. Times are the agent's steady clock, in seconds.

    Reports come seconds apart; between them the time is counted down.
    """

    def __init__(self) -> None:
        self._leaves_at: float | None = None
        self._told: float | None = None
        """When the worker leaves, as owners were told."""

    def get_remaining_s(self, *, now: float) -> float | None:
        """Return the least time that the worker has left; None if it stays or has not said so."""
        return _count_down(self._leaves_at, now)

    def begin_incarnation(self) -> None:
        """Start over with another life of the worker."""
        self._leaves_at = None
        self._told = None

    def meet(self, incarnation: WorkerIncarnation, *, now: float) -> list[Action]:
        """Take in the worker's account of itself; tell owners if it changes when it leaves."""
        if not incarnation.is_leaving:
            self._leaves_at = None
        elif incarnation.remaining_s is not None and is_plausible(incarnation.remaining_s):
            self._leaves_at = now + incarnation.remaining_s
        left_s = self.get_remaining_s(now=now)
        if not _has_changed(_count_down(self._told, now), left_s):
            return []
        self._told = self._leaves_at
        return [ReportDeparture(in_s=left_s)]

    def review(self, runs: Iterable[Run], *, now: float) -> list[Action]:
        """Return what owners should hear of runs that the worker can't end."""
        left_s = self.get_remaining_s(now=now)
        if left_s is None:
            return []
        reports = (_judge(run, left_s, now) for run in runs if run.phase is RunPhase.RUNNING)
        return [report for report in reports if report is not None]


def _judge(run: Run, left_s: float, now: float) -> ReportDepartureRisk | None:
    """Return the report that is due on a run, if any."""
    rest = _estimate_rest(run, now)
    is_cut = rest.least_s > left_s + SEEN_S
    if not _is_news(run, rest, is_cut=is_cut, now=now):
        return None
    run.told_cut = ToldCut(is_cut=is_cut, ends_at=now + rest.likely_s)
    run.cut_reports += 1
    return ReportDepartureRisk(
        owner=run.request.owner,
        run_id=run.request.run_id,
        left_s=rest.likely_s,
        leaves_in_s=left_s,
    )


def _is_news(run: Run, rest: _Rest, *, is_cut: bool, now: float) -> bool:
    """Tell whether the owner of a run would hear something new."""
    told = run.told_cut
    if run.cut_reports >= MOST_REPORTS:
        return False
    if told is None:
        return is_cut
    if told.is_cut != is_cut:
        return True
    change_s = abs(now + rest.likely_s - told.ends_at)
    return is_cut and change_s > max(CHANGE_S, CHANGE_SHARE * rest.likely_s)


def _estimate_rest(run: Run, now: float) -> _Rest:
    """Return what is left of a run by its progress, or by its expected time before it shows any.

    Progress comes in whole percent, so the run may be one further than it shows.
    """
    if run.percent > 0 and run.seen_s >= MIN_AGE_S:
        likely_s = run.get_total_s()
        least_s = run.seen_s * 100 / min(run.percent + 1, 100)
    else:
        likely_s = run.request.expected_s
        least_s = likely_s * math.exp(-DECLARED_ERROR)
    age_s = now - run.started_at
    return _Rest(likely_s=max(likely_s - age_s, 0.0), least_s=max(least_s - age_s, 0.0))


def _count_down(leaves_at: float | None, now: float) -> float | None:
    return None if leaves_at is None else max(leaves_at - now, 0.0)


def _has_changed(told_s: float | None, left_s: float | None) -> bool:
    if told_s is None or left_s is None:
        return told_s is not left_s
    return abs(told_s - left_s) > CHANGE_S
