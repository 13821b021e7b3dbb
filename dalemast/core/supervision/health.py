"""Whether a worker that answers can be trusted with tasks: judged by how its runs end."""

from __future__ import annotations

__all__ = ["WorkerHealth"]

FAILURES_TO_DOUBT = 2
"""Failures in a row, of different jobs, after which a worker is doubted. A sound worker fails
about one task in 500, so two in a row from different jobs are no accident."""
TRIAL_PAUSE_S = 1.0
"""How long a doubted worker gets nothing before one task is tried on it."""
MAX_TRIAL_PAUSE_S = 4.0
"""The pause doubles with each failed trial up to this; disruptions last 3 to 7 s."""


class WorkerHealth:
    """Doubts a worker after failures in a row, then tries single tasks until one ends well."""

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._is_doubted = False
        self._next_trial_at = 0.0
        self._pause_s = TRIAL_PAUSE_S

    @property
    def is_suspected(self) -> bool:
        """Whether only single tasks are tried."""
        return self._is_doubted

    def may_start(self, *, running: int, now: float) -> bool:
        """Tell whether a task may be started, with so many running."""
        if not self._is_doubted:
            return True
        return running == 0 and now >= self._next_trial_at

    def note_done(self) -> None:
        """A run ended well."""
        self._failed_jobs.clear()
        self._is_doubted = False
        self._pause_s = TRIAL_PAUSE_S

    def note_failed(self, job_id: str, *, now: float) -> None:
        """A run failed, stood still, or was rejected."""
        self._failed_jobs.add(job_id)
        if self._is_doubted:
            self._pause_s = min(2 * self._pause_s, MAX_TRIAL_PAUSE_S)
            self._next_trial_at = now + self._pause_s
        elif len(self._failed_jobs) >= FAILURES_TO_DOUBT:
            self._is_doubted = True
            self._next_trial_at = now + self._pause_s
