"""Which runs crawl or stand still, so that their owners are told."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.supervision.actions import ReportSlow
from dalemast.core.supervision.runs import MIN_AGE_S, Run

__all__ = ["judge_run"]

SLOW_FACTOR = 1.8
"""How much longer than expected a run must be heading for before it is reported. Expected times
are off by about 40 %, and workers differ by 1.25. The owner judges what to do."""
SLOW_REPEAT_S = 0.3
"""Pause between two reports on one run."""


def judge_run(run: Run, *, get_worker_pace: Callable[[], float], now: float) -> ReportSlow | None:
    """Return the report that is due on a run, if any."""
    age_s = now - run.started_at
    if now - run.reported_at < SLOW_REPEAT_S or age_s < MIN_AGE_S:
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
