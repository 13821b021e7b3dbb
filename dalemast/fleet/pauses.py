"""Detect pauses of this process, for example while it is suspended or gets no processor time."""

from __future__ import annotations

from dalemast import clock

__all__ = ["PauseWatch"]


class PauseWatch:
    """Detects a process pause by the time between two checks."""

    def __init__(self, *, limit_s: float) -> None:
        self._limit_s = limit_s
        self._ticked_at = clock.monotonic()

    @property
    def checked_at(self) -> float:
        """The time of the last check, on the monotonic clock."""
        return self._ticked_at

    def check(self) -> float:
        """Return the length of a process pause before this call, or 0 if there was none.

        It is called at each tick and before a frame is handled: a frame that waited in the socket
        during a pause may be read before the next tick.
        """
        now = clock.monotonic()
        gap_s = now - self._ticked_at
        self._ticked_at = now
        return gap_s if gap_s > self._limit_s else 0.0
