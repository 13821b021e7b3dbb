"""One run on a worker, and what its progress says."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import geometric_mean

from dalemast.core.supervision.base import StartRequest

__all__ = ["DECLARED_ERROR", "MIN_AGE_S", "Run", "RunPhase", "ToldCut", "estimate_min_pace"]

STALL_AFTER_S = 0.35
"""How long a run may show no progress before it is reported. Progress comes in whole percent, and
the shortest tasks take about 60 ms, the longest several seconds."""
STALL_PERCENTS = 4
"""Percents that a run would have gained meanwhile at its pace before, if it stands still."""
MIN_AGE_S = 0.12
"""Progress says little before: looks are 0.15 s apart at the most, percents are whole."""
MIN_JOBS_FOR_PACE = 3
"""Fewer jobs say too little of their worker, since their declared times are off by 40 % each."""
DECLARED_ERROR = 0.4
"""Standard deviation of the logarithm of a declared run time over the true one; from the users'
sheets. Owners that have just started know no better times."""
LEAST_PERCENT = 0.5
"""Taken as the progress of a run that shows none, since percents are whole."""
SHORTEST_S = 0.001
"""Expected times below this are taken as this long, so that no pace is unbounded."""


class RunPhase(enum.Enum):
    """Where a run stands."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True, slots=True)
class ToldCut:
    """What an owner was last told of a run on a worker that leaves: whether it is cut short, and
    when it would end, by the agent's steady clock in seconds."""

    is_cut: bool
    ends_at: float


class Run:
    """One run on the worker."""

    def __init__(self, *, request: StartRequest, ordered_at: float) -> None:
        self.request = request
        self.phase = RunPhase.ORDERED
        self.ordered_at = ordered_at
        self.started_at = ordered_at
        self.has_begun = False
        """Whether the worker has said that it runs."""
        self.expires_at: float | None = None
        """When an unanswered order can no longer be carried out."""
        self.is_order_open = True
        """Whether the order's outcome is not known yet: a further try may be under way."""
        self.kept_until: float | None = None
        """Until when its owner kept it alive, once it was told to stop."""
        self.stopping_since: float | None = None
        self.is_preempted = False
        """Whether it was told to stop so that a more urgent job can begin."""
        self.barred_at: float | None = None
        """When a run that was never listed has surely ended, since a stop for it was answered."""
        self.percent = 0.0
        self.progressed_at = ordered_at
        self.listed_at: float | None = None
        """When a look last listed it, with ``percent``."""
        self.reported_at = 0.0
        self.told_cut: ToldCut | None = None
        self.cut_reports = 0
        """How often its owner was told of it since its worker leaves."""

    @property
    def was_listed(self) -> bool:
        """Whether the worker was ever seen to list it."""
        return self.listed_at is not None

    @property
    def seen_s(self) -> float:
        """How long it had run when it was last listed; 0 if it never was."""
        return 0.0 if self.listed_at is None else self.listed_at - self.started_at

    def get_total_s(self) -> float:
        """Return its whole time at its pace so far; without progress, at half a percent.

        Progress counts as of the look that saw it. Counted as of now, a run of 0.12 s looked 2.25
        times slower when a look waited its whole 0.15 s, and sound workers that began anew
        together were distrusted.
        """
        return self.seen_s * 100 / max(self.percent, LEAST_PERCENT)

    def is_stalled(self, now: float) -> bool:
        """Tell whether it has shown no progress for longer than its pace explains."""
        percent_s = (self.progressed_at - self.started_at) / self.percent if self.percent else 0.0
        return now - self.progressed_at > max(STALL_AFTER_S, STALL_PERCENTS * percent_s)


def estimate_min_pace(runs: Iterable[Run]) -> float:
    """Return how slow these runs show their worker to be for sure, or 0 if they are too few.

    The geometric mean over their jobs, less its standard error: declared times err by factors. The
    plain mean of three jobs took a sound worker, of a kind that takes 1.25 times as long, for
    2.2 times too slow in 3.4 % of the cases right after its owners had started; this does in 0.1 %,
    and still finds 97 % of those that are 4 times too slow (20,000 draws).
    """
    paces: dict[str, float] = {}
    for run in runs:
        if run.percent > 0 and run.seen_s >= MIN_AGE_S:
            pace = run.get_total_s() / max(run.request.expected_s, SHORTEST_S)
            job_id = run.request.run_id.job_id
            paces[job_id] = min(pace, paces.get(job_id, pace))
    if len(paces) < MIN_JOBS_FOR_PACE:
        return 0.0
    error = DECLARED_ERROR / math.sqrt(len(paces))
    return geometric_mean(paces.values()) * math.exp(-error)
