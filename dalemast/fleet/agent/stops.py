"""The stops that were said to the worker: how often each, and when it may be said again."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.supervision import RunId

__all__ = ["STOP_RETRY_S", "SentStop", "StopTracker"]

STOP_RETRY_S = 0.15
"""Pause before a stop is said again; a stop takes at most 50 ms."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SentStop:
    """How often one run was told to stop, and when first and last, by the agent's steady clock."""

    tries: int
    first_at: float
    last_at: float


class StopTracker:
    """Keeps the stops of runs that have not ended yet."""

    def __init__(self) -> None:
        self._said: dict[RunId, SentStop] = {}

    def say(self, run_id: RunId, *, now: float) -> SentStop | None:
        """Note that a run is told to stop; return None if it was told a moment ago."""
        known = self._said.get(run_id)
        if known is None:
            said = SentStop(tries=1, first_at=now, last_at=now)
        elif now - known.last_at < STOP_RETRY_S:
            return None
        else:
            said = SentStop(tries=known.tries + 1, first_at=known.first_at, last_at=now)
        self._said[run_id] = said
        return said

    def forget(self, run_id: RunId) -> None:
        """Note that a run has ended."""
        self._said.pop(run_id, None)
