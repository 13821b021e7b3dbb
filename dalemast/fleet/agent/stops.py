"""The stop orders that were sent to the worker, and when each may be repeated."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.supervision import RunId

__all__ = ["STOP_RETRY_S", "SentStop", "StopTracker"]

STOP_RETRY_S = 0.15
"""Interval before a stop is repeated, in seconds; longer than a stop may take."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SentStop:
    """The number of stops sent for a run, and the times of the first and the last one."""

    tries: int
    first_at: float
    last_at: float


class StopTracker:
    """Tracks the stops of runs that have not ended yet."""

    def __init__(self) -> None:
        self._sent: dict[RunId, SentStop] = {}

    def record(self, run_id: RunId, *, now: float) -> SentStop | None:
        """Record a stop that is to be sent, or return None if the last one was too recent."""
        known = self._sent.get(run_id)
        if known is None:
            sent = SentStop(tries=1, first_at=now, last_at=now)
        elif now - known.last_at < STOP_RETRY_S:
            return None
        else:
            sent = SentStop(tries=known.tries + 1, first_at=known.first_at, last_at=now)
        self._sent[run_id] = sent
        return sent

    def forget(self, run_id: RunId) -> None:
        """Drop the stops of a run that has ended."""
        self._sent.pop(run_id, None)
