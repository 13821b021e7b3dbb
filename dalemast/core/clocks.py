"""What is known for sure of another process's steady clock."""

from __future__ import annotations

__all__ = ["LeastLead"]


class LeastLead:
    """The least by which one steady clock is ahead of another, in seconds.

    A message shows it when it arrives: the sender's clock reads what it says, or more by now. How
    long the message was on its way is not known, so the greatest such lead is the truest. Between
    messages the clock may go slower than the other by ``drift``, a share.
    """

    def __init__(self, *, drift: float) -> None:
        self._drift = drift
        self._lead_s: float | None = None
        self._shown_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether anything has been shown yet."""
        return self._lead_s is not None

    def show(self, lead_s: float, *, now: float) -> None:
        """Take in a lead that a message has shown."""
        if self._lead_s is None or lead_s > self.get(now=now):
            self._lead_s = lead_s
            self._shown_at = now

    def get(self, *, now: float) -> float:
        """Return the least lead; minus infinity before the first message."""
        if self._lead_s is None:
            return float("-inf")
        return self._lead_s - self._drift * max(now - self._shown_at, 0.0)
