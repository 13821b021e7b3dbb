"""The run numbers of jobs that were given up, so that those of their next submission go on.

Ends of the earlier submission's runs may still be on their way when the job comes again. Numbered
anew, its runs would be taken for those, and a worker refuses a number that it has seen.
"""

from __future__ import annotations

__all__ = ["RunNumbers"]

RETENTION_S = 10.0
"""How long numbers are remembered at the least. A job comes again some 1.3 s after it was given up,
and what was still on its way then has arrived or is lost within the 3 s of a link's patience."""


class RunNumbers:
    """The highest run of each job that was given up a while ago. Times are seconds, steady."""

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}
        self._earlier: dict[str, int] = {}
        self._turned_at = 0.0

    def remember(self, job_id: str, run: int) -> None:
        """Note the highest run of a job that is given up."""
        self._latest[job_id] = run

    def get(self, job_id: str) -> int:
        """Return the highest run that a job is known to have had, or 0."""
        return self._latest.get(job_id, self._earlier.get(job_id, 0))

    def tick(self, *, now: float) -> None:
        """Forget what is older than twice :data:`RETENTION_S`."""
        if now - self._turned_at < RETENTION_S:
            return
        self._turned_at = now
        self._earlier = self._latest
        self._latest = {}
