"""Estimates of run times, learned from finished tasks because declared times are often wrong."""

from __future__ import annotations

import math

from dalemast.core.workloads import JobRequest

__all__ = ["RunTimes"]

LEARNING_RATE = 0.05
"""Weight of the latest task in the averages: an average over about twenty tasks."""
DECLARED_WEIGHT = 0.5
"""Weight of a job's declared time against the mean of its queue. Declared times are off by about
40 %, and jobs of one queue differ from their mean by as much."""
MIN_SECONDS = 0.001
"""Shorter times are raised to this, so that ratios stay finite."""


class RunTimes:
    """Averages by queue of the run time and of its ratio to the declared time."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._ratios: dict[str, float] = {}

    def learn(self, *, queue: str, declared_s: float, actual_s: float) -> None:
        """Update the averages with a finished task; ``actual_s`` is its time on a usual worker.

        Times that are NaN, infinite or negative are ignored.
        """
        if not 0.0 <= actual_s < math.inf:
            return
        actual_s = max(actual_s, MIN_SECONDS)
        self._means[queue] = _blend(self._means.get(queue), actual_s)
        if 0.0 < declared_s < math.inf:
            self._ratios[queue] = _blend(self._ratios.get(queue), actual_s / declared_s)

    def expect_chain(self, request: JobRequest) -> float:
        """Return the expected run time of the longest chain of dependent steps, in seconds."""
        return request.get_longest_chain(
            lambda _, step: self.expect(queue=request.queue.name, declared_s=step.estimate_s)
        )

    def expect(self, *, queue: str, declared_s: float) -> float:
        """Return the expected run time of a task, in seconds."""
        scaled = max(declared_s, MIN_SECONDS) * self._ratios.get(queue, 1.0)
        mean = self._means.get(queue)
        if mean is None:
            return scaled
        if declared_s <= 0:
            return mean
        return DECLARED_WEIGHT * scaled + (1.0 - DECLARED_WEIGHT) * mean


def _blend(old: float | None, new: float) -> float:
    return new if old is None else old + LEARNING_RATE * (new - old)
