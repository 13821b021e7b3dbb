"""The last run numbers of abandoned jobs, from which numbering continues if they are resubmitted.

If numbering restarted, late reports on earlier runs would be mistaken for reports on new runs, and
a worker would refuse a number that it has already received.
"""

from __future__ import annotations

__all__ = ["RunNumbers"]

RETENTION_S = 10.0
"""Minimum time for which numbers are remembered, in seconds. Longer than the link timeout, after
which no late report can arrive."""


class RunNumbers:
    """The highest run number of each recently given up job.

    Times are in seconds, on the monotonic clock.
    """

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}
        self._earlier: dict[str, int] = {}
        self._rotated_at = 0.0

    def remember(self, job_id: str, run: int) -> None:
        """Remember the highest run number of a job that is given up."""
        self._latest[job_id] = run

    def get(self, job_id: str) -> int:
        """Return the highest known run number of a job, or 0."""
        return self._latest.get(job_id, self._earlier.get(job_id, 0))

    def tick(self, *, now: float) -> None:
        """Drop numbers that are older than twice :data:`RETENTION_S`."""
        if now - self._rotated_at < RETENTION_S:
            return
        self._rotated_at = now
        self._earlier = self._latest
        self._latest = {}
