"""The long-term speed of an agent's worker, learned from the runs that ended there.

An owner that has just started does not know which workers are slow, and would send them tasks that
end late. The agent observes the runs of all owners and outlives them, so it reports the speed.
"""

from __future__ import annotations

import math
from statistics import fmean, median_low

from dalemast.core.scheduling.load import WorkerSpeed

__all__ = ["SpeedRecord"]

MAX_JOBS = 96
"""Number of newest jobs that count. There are enough of them that a few jobs run while the worker
was slow for a short time have no effect on the middle half."""
MAX_RUNS_PER_JOB = 16
"""Number of runs of one job that count."""
FIRST_JOBS = 8
"""Number of jobs after which the speed is first reported. It is off by about 15 % then."""
MIN_REPORTED_CHANGE = 0.1
"""Share by which the speed must differ from the last report to be reported again: less than the
difference between kinds of workers, more than the error of the estimate."""
REPORT_INTERVAL_S = 2.0
"""Minimum interval between two reports, which bounds their number however the runs vary."""
SLOWNESS_RANGE = (0.1, 20.0)
"""Bounds on the slowness that one run may show."""


class SpeedRecord:
    """The observed speed of one incarnation of a worker."""

    def __init__(self) -> None:
        self._jobs: dict[str, list[float]] = {}
        """By job id, the logarithms of run times over expected times."""
        self._reported: WorkerSpeed | None = None
        self._reported_at = float("-inf")

    @property
    def reported(self) -> WorkerSpeed | None:
        """The speed last reported to owners, if any."""
        return self._reported

    def learn(self, job_id: str, *, run_s: float, expected_s: float) -> None:
        """Record the times of a successful run, in seconds.

        Runs are grouped by job, since an inexact declared time affects all of a job's runs alike.
        """
        if not (0.0 < run_s < math.inf and 0.0 < expected_s < math.inf):
            return
        lowest, highest = SLOWNESS_RANGE
        rows = self._jobs.setdefault(job_id, [])
        if len(rows) < MAX_RUNS_PER_JOB:
            rows.append(math.log(min(max(run_s / expected_s, lowest), highest)))
        if len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]

    def get_speed(self) -> WorkerSpeed | None:
        """Return the observed speed, or None if there are too few jobs."""
        if len(self._jobs) < FIRST_JOBS:
            return None
        # The median of each job's runs and the middle half of the jobs, so that single runs of
        # unusual length do not count.
        shown = sorted(median_low(rows) for rows in self._jobs.values())
        cut = len(shown) // 4
        middle = fmean(shown[cut : len(shown) - cut])
        return WorkerSpeed(
            slowness=round(math.exp(middle), 3), runs=sum(map(len, self._jobs.values()))
        )

    def take_report(self, *, now: float) -> WorkerSpeed | None:
        """Return the speed if a report to all owners is due, and record it as reported."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return None
        speed = self.get_speed()
        if speed is None or not self._is_report_due(speed.slowness):
            return None
        self._reported = speed
        self._reported_at = now
        return speed

    def _is_report_due(self, slowness: float) -> bool:
        if self._reported is None:
            return True
        return abs(math.log(slowness / self._reported.slowness)) > math.log1p(MIN_REPORTED_CHANGE)
