"""Notices that this process stood still: frozen, or starved of its processor."""

from __future__ import annotations

from dalemast import clock

__all__ = ["PauseWatch"]


class PauseWatch:
    """Compares the time between ticks with what they should be."""

    def __init__(self, *, limit_s: float) -> None:
        self._limit_s = limit_s
        self._ticked_at = clock.monotonic()

    @property
    def checked_at(self) -> float:
        """When it was last checked whether the process stood still, by its steady clock."""
        return self._ticked_at

    def check(self) -> float:
        """Return how long the process stood still before this call, or 0 if not for long.

        Called by the ticker and before each message is acted on, since a message that waited in
        the socket while the process stood still may be seen before the next tick.
        """
        now = clock.monotonic()
        gap_s = now - self._ticked_at
        self._ticked_at = now
        return gap_s if gap_s > self._limit_s else 0.0
