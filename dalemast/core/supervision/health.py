"""Health of a responsive worker, judged by how its runs end."""

from __future__ import annotations

__all__ = ["WorkerHealth"]

FAILURES_TO_SUSPECT = 2
"""Consecutive failures, of different jobs, after which a worker is suspected. A sound worker fails
about one task in 500, so two in a row are no accident."""
TRIAL_PAUSE_S = 1.0
"""How long a suspected worker gets no tasks before a single one is tried on it."""
MAX_TRIAL_PAUSE_S = 4.0
"""Upper bound of the pause, which doubles with each failed trial. Disruptions last 3 to 7 s."""


class WorkerHealth:
    """Suspects a worker after consecutive failures and tries single tasks until one succeeds."""

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._is_suspected = False
        self._next_trial_at = 0.0
        self._pause_s = TRIAL_PAUSE_S

    @property
    def is_suspected(self) -> bool:
        """Whether only single tasks are started, as trials."""
        return self._is_suspected

    def may_start(self, *, running: int, now: float) -> bool:
        """Return whether a task may be started while ``running`` others run."""
        if not self._is_suspected:
            return True
        return running == 0 and now >= self._next_trial_at

    def record_success(self) -> None:
        """Record that a run succeeded."""
        self._failed_jobs.clear()
        self._is_suspected = False
        self._pause_s = TRIAL_PAUSE_S

    def record_failure(self, job_id: str, *, now: float) -> None:
        """Record that a run failed or stalled, or that its start was rejected or unanswered."""
        self._failed_jobs.add(job_id)
        if self._is_suspected:
            self._pause_s = min(2 * self._pause_s, MAX_TRIAL_PAUSE_S)
            self._next_trial_at = now + self._pause_s
        elif len(self._failed_jobs) >= FAILURES_TO_SUSPECT:
            self._is_suspected = True
            self._next_trial_at = now + self._pause_s
