"""Reports of runs that a leaving worker can't finish, sent while they can still be moved.

Capacity may be withdrawn at short notice, from many workers at a time. A worker reports the minimum
time until it ends. Without these reports, tasks that outlast their worker would be lost and restart
only after it has ended.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.departures import is_plausible
from dalemast.core.supervision.actions import Action, ReportDeparture, ReportDepartureRisk
from dalemast.core.supervision.base import WorkerIncarnation
from dalemast.core.supervision.runs import DECLARED_ERROR, MIN_AGE_S, ReportedRisk, Run, RunPhase

__all__ = ["DepartureWatch"]

RISK_MARGIN_S = 0.05
"""By how many seconds a run must outlast its worker to be at risk, so that runs which end just in
time are left alone."""
MIN_CHANGE_S = 0.2
"""Smallest change of a reported time, in seconds, that is reported again."""
MIN_CHANGE_SHARE = 0.25
"""The same, as a share of a run's remaining time."""
MAX_REPORTS = 6
"""Maximum number of reports on one run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _RemainingTime:
    """The remaining time of a run, in seconds: the likely value and a lower bound."""

    likely_s: float
    min_s: float


class DepartureWatch:
    """Tracks when one incarnation of a worker leaves, and which runs are at risk.

    The worker reports its remaining time every few seconds; in between it is counted down.
    Times are readings of the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._leaves_at: float | None = None
        self._reported_leaves_at: float | None = None
        """When the worker leaves, as last reported to owners."""

    def get_remaining_s(self, *, now: float) -> float | None:
        """Return the minimum time until the worker ends; None if it stays or reported none."""
        return _count_down(self._leaves_at, now)

    def begin_incarnation(self) -> None:
        """Reset the state for another incarnation of the worker."""
        self._leaves_at = None
        self._reported_leaves_at = None

    def update(self, incarnation: WorkerIncarnation, *, now: float) -> list[Action]:
        """Apply a worker's report; return a report to owners if the time of leaving changed."""
        if not incarnation.is_leaving:
            self._leaves_at = None
        elif incarnation.remaining_s is not None and is_plausible(incarnation.remaining_s):
            self._leaves_at = now + incarnation.remaining_s
        left_s = self.get_remaining_s(now=now)
        if not _has_changed(_count_down(self._reported_leaves_at, now), left_s):
            return []
        self._reported_leaves_at = self._leaves_at
        return [ReportDeparture(in_s=left_s)]

    def review(self, runs: Iterable[Run], *, now: float) -> list[Action]:
        """Return the reports that are due on runs which the worker may not finish."""
        left_s = self.get_remaining_s(now=now)
        if left_s is None:
            return []
        reports = (_check_run(run, left_s, now) for run in runs if run.phase is RunPhase.RUNNING)
        return [report for report in reports if report is not None]


def _check_run(run: Run, left_s: float, now: float) -> ReportDepartureRisk | None:
    """Return the report that is due on a run, if any."""
    remaining = _estimate_remaining(run, now)
    is_at_risk = remaining.min_s > left_s + RISK_MARGIN_S
    if not _is_report_due(run, remaining, is_at_risk=is_at_risk, now=now):
        return None
    run.reported_risk = ReportedRisk(is_at_risk=is_at_risk, ends_at=now + remaining.likely_s)
    run.risk_reports += 1
    return ReportDepartureRisk(
        owner=run.request.owner,
        run_id=run.request.run_id,
        left_s=remaining.likely_s,
        leaves_in_s=left_s,
    )


def _is_report_due(run: Run, remaining: _RemainingTime, *, is_at_risk: bool, now: float) -> bool:
    """Return whether a report on a run would tell its owner anything new."""
    reported = run.reported_risk
    if run.risk_reports >= MAX_REPORTS:
        return False
    if reported is None:
        return is_at_risk
    if reported.is_at_risk != is_at_risk:
        return True
    change_s = abs(now + remaining.likely_s - reported.ends_at)
    return is_at_risk and change_s > max(MIN_CHANGE_S, MIN_CHANGE_SHARE * remaining.likely_s)


def _estimate_remaining(run: Run, now: float) -> _RemainingTime:
    """Return a run's remaining time by its progress, or by its expected time before it has any.

    Progress is reported in whole percent, so a run may be up to one percent further.
    """
    if run.percent > 0 and run.observed_s >= MIN_AGE_S:
        likely_s = run.get_total_s()
        min_s = run.observed_s * 100 / min(run.percent + 1, 100)
    else:
        likely_s = run.request.expected_s
        min_s = likely_s * math.exp(-DECLARED_ERROR)
    age_s = now - run.started_at
    return _RemainingTime(likely_s=max(likely_s - age_s, 0.0), min_s=max(min_s - age_s, 0.0))


def _count_down(leaves_at: float | None, now: float) -> float | None:
    return None if leaves_at is None else max(leaves_at - now, 0.0)


def _has_changed(reported_s: float | None, left_s: float | None) -> bool:
    if reported_s is None or left_s is None:
        return reported_s is not left_s
    return abs(reported_s - left_s) > MIN_CHANGE_S
