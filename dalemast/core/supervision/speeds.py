"""How fast an agent's worker is for good, learned from the runs that ended there.

Answers workers of uneven speeds whose owners restart: an owner that has just started sends slow
workers tasks that are late there until it has learned their speeds by itself, one by one. The agent
sees all owners' runs and outlives them.
"""

from __future__ import annotations

import math
from statistics import fmean, median_low

from dalemast.core.scheduling.load import WorkerSpeed

__all__ = ["SpeedRecord"]

MOST_JOBS = 96
"""Jobs that count, the newest ones. The middle half of them tells the speed within some 5 %, and a
worker that is slow in passing gets few jobs meanwhile, which stay outside the middle."""
MOST_RUNS = 16
"""Runs of one job that count; more would tell no more of the worker."""
FIRST_JOBS = 8
"""Jobs after which the first word is given: it is off by about 15 % then."""
TELLING_CHANGE = 0.1
"""Share by which the speed must differ from what was told last to be told again: less than what
divides two kinds of worker, and more than the error of a full record."""
TELLING_PAUSE_S = 2.0
"""Pause between two words, which bounds the messages whatever the runs do."""
SLOWNESS_RANGE = (0.1, 20.0)
"""Bounds on what one run may say."""


class SpeedRecord:
    """The speed that one life of a worker has shown."""

    def __init__(self) -> None:
        self._jobs: dict[str, list[float]] = {}
        """By job, the logarithms of its runs' times over the expected ones."""
        self._reported: WorkerSpeed | None = None
        self._told_at = float("-inf")

    @property
    def reported(self) -> WorkerSpeed | None:
        """What owners were told last, if anything."""
        return self._reported

    def learn(self, job_id: str, *, run_s: float, expected_s: float) -> None:
        """Take in a run that ended well; times are seconds.

        Runs of a job count together, since its declared time errs for all of them alike.
        """
        if not (0.0 < run_s < math.inf and 0.0 < expected_s < math.inf):
            return
        lowest, highest = SLOWNESS_RANGE
        rows = self._jobs.setdefault(job_id, [])
        if len(rows) < MOST_RUNS:
            rows.append(math.log(min(max(run_s / expected_s, lowest), highest)))
        if len(self._jobs) > MOST_JOBS:
            del self._jobs[next(iter(self._jobs))]

    def get_speed(self) -> WorkerSpeed | None:
        """Return what the record shows, or None while it rests on too few jobs."""
        if len(self._jobs) < FIRST_JOBS:
            return None
        # Medians of a job's runs, and the middle half of the jobs: a run seven times as long as its
        # like says nothing of the worker.
        shown = sorted(median_low(rows) for rows in self._jobs.values())
        cut = len(shown) // 4
        middle = fmean(shown[cut : len(shown) - cut])
        return WorkerSpeed(
            slowness=round(math.exp(middle), 3), runs=sum(map(len, self._jobs.values()))
        )

    def take_report(self, *, now: float) -> WorkerSpeed | None:
        """Return what all owners have to be told now, if anything, and note that they are."""
        if now - self._told_at < TELLING_PAUSE_S:
            return None
        speed = self.get_speed()
        if speed is None or not self._is_news(speed.slowness):
            return None
        self._reported = speed
        self._told_at = now
        return speed

    def _is_news(self, slowness: float) -> bool:
        if self._reported is None:
            return True
        return abs(math.log(slowness / self._reported.slowness)) > math.log1p(TELLING_CHANGE)
