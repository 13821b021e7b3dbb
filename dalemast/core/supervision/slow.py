"""Detection of slow and stalled runs, which are reported to their owners."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.supervision.actions import ReportSlow
from dalemast.core.supervision.runs import MIN_AGE_S, Run

__all__ = ["get_slow_report"]

SLOW_FACTOR = 1.8
"""A run is reported as slow if its total time, estimated from its progress, is at least this
multiple of its expected time. Expected times are off by about 40 %, and workers differ by 1.25."""
SLOW_REPORT_INTERVAL_S = 0.3
"""Minimum interval between two reports on one run."""


def get_slow_report(
    run: Run, *, get_worker_pace: Callable[[], float], now: float
) -> ReportSlow | None:
    """Return the report that is due on a run, if any."""
    age_s = now - run.started_at
    if now - run.reported_at < SLOW_REPORT_INTERVAL_S or age_s < MIN_AGE_S:
        return None
    is_stalled = run.is_stalled(now)
    total_s = run.get_total_s()
    if not is_stalled and total_s < SLOW_FACTOR * run.request.expected_s:
        return None
    run.reported_at = now
    return ReportSlow(
        owner=run.request.owner,
        run_id=run.request.run_id,
        age_s=age_s,
        total_s=total_s,
        worker_pace=get_worker_pace(),
        is_stalled=is_stalled,
    )
