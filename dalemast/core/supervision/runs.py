"""One run on a worker, and estimates from its progress."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import geometric_mean

from dalemast.core.supervision.base import StartRequest

__all__ = ["DECLARED_ERROR", "MIN_AGE_S", "ReportedRisk", "Run", "RunPhase", "estimate_min_pace"]

STALL_AFTER_S = 0.35
"""Minimum time without progress after which a run counts as stalled. Progress comes in whole
percent, and tasks take from about 60 ms to several seconds."""
STALL_PERCENTS = 4
"""Percent that a run must have missed at its pace so far to count as stalled. Progress comes in
whole percent, so a slow run shows none for a while."""
MIN_AGE_S = 0.12
"""Minimum age of a run, in seconds, at which its progress is used for estimates. Earlier, progress
in whole percent is too coarse."""
MIN_JOBS_FOR_PACE = 3
"""Minimum number of jobs for an estimate of a worker's pace, since declared times are inexact."""
DECLARED_ERROR = 0.4
"""Standard deviation of the logarithm of declared over true run times. Owners that have just
started know only declared times."""
MIN_PERCENT = 0.5
"""Progress assumed for a run that shows none, since progress comes in whole percent."""
MIN_EXPECTED_S = 0.001
"""Lower bound of expected times, in seconds, so that paces are bounded."""


class RunPhase(enum.Enum):
    """The phase of a run."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedRisk:
    """The last report to an owner on a run whose worker leaves.

    ``is_at_risk`` tells whether the run may outlast its worker, ``ends_at`` when it would end by
    the agent's steady clock, in seconds.
    """

    is_at_risk: bool
    ends_at: float


class Run:
    """One run on the worker."""

    def __init__(self, *, request: StartRequest, ordered_at: float) -> None:
        self.request = request
        self.phase = RunPhase.ORDERED
        self.ordered_at = ordered_at
        self.started_at = ordered_at
        self.has_begun = False
        """Whether the worker has reported the run as running."""
        self.expires_at: float | None = None
        """When an unanswered order can no longer be executed."""
        self.is_order_open = True
        """Whether the order's outcome is still unknown, so that it may be sent again."""
        self.is_number_used = False
        """Whether the worker ignored the order, as it had received this run number before."""
        self.kept_alive_until: float | None = None
        """Once the run was told to stop, until when its owner had kept it alive."""
        self.stopping_since: float | None = None
        self.is_preempted = False
        """Whether the run was stopped for a more urgent job."""
        self.certain_end_at: float | None = None
        """When a run that was never listed has certainly ended, after its stop was answered."""
        self.percent = 0.0
        self.progressed_at = ordered_at
        self.listed_at: float | None = None
        """When a poll last listed the run."""
        self.reported_at = 0.0
        self.reported_risk: ReportedRisk | None = None
        self.risk_reports = 0
        """How many departure reports were sent on the run."""

    @property
    def was_listed(self) -> bool:
        """Whether the worker ever listed the run."""
        return self.listed_at is not None

    @property
    def observed_s(self) -> float:
        """The age of the run when it was last listed, in seconds; 0 if it never was."""
        return 0.0 if self.listed_at is None else self.listed_at - self.started_at

    def get_total_s(self) -> float:
        """Return the estimated total time at the pace so far, in seconds.

        Progress counts as of the poll that listed it. If it counted as of now, runs would seem
        slower the longer a poll waits, and healthy workers would be suspected.
        """
        return self.observed_s * 100 / max(self.percent, MIN_PERCENT)

    def is_stalled(self, now: float) -> bool:
        """Return whether the run has shown no progress for longer than its pace explains."""
        percent_s = (self.progressed_at - self.started_at) / self.percent if self.percent else 0.0
        return now - self.progressed_at > max(STALL_AFTER_S, STALL_PERCENTS * percent_s)


def estimate_min_pace(runs: Iterable[Run]) -> float:
    """Return a lower estimate of the worker's pace from its runs, or 0 if they are too few.

    It is the geometric mean over jobs, reduced by its standard error. Declared times are off by
    factors, and an arithmetic mean of few jobs would often make a healthy worker seem slow.
    """
    paces: dict[str, float] = {}
    for run in runs:
        if run.percent > 0 and run.observed_s >= MIN_AGE_S:
            pace = run.get_total_s() / max(run.request.expected_s, MIN_EXPECTED_S)
            job_id = run.request.run_id.job_id
            paces[job_id] = min(pace, paces.get(job_id, pace))
    if len(paces) < MIN_JOBS_FOR_PACE:
        return 0.0
    error = DECLARED_ERROR / math.sqrt(len(paces))
    return geometric_mean(paces.values()) * math.exp(-error)
