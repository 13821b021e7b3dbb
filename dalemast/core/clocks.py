"""What is known for sure of another process's steady clock."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ["MinClockLead"]

RETENTION_S = 30.0
"""How long a lead counts once there are later ones. Should the clocks part faster than assumed, one
that was shown long ago would outvote all later ones, and err by more each second."""


class ObservedLead(NamedTuple):
    """A lead that a message has shown, and when."""

    lead_s: float
    at: float


class MinClockLead:
    """The least by which one steady clock is ahead of another, in seconds.

    A message shows it when it arrives: the sender's clock reads what it says, or more by now. How
    long the message was on its way is not known, so the greatest such lead is the truest. Between
    messages the clock may go slower than the other by ``drift``, a share.
    """

    def __init__(self, *, drift: float) -> None:
        self._drift = drift
        self._observed: deque[ObservedLead] = deque()
        """The first is the greatest by now; each later one is the greatest of those after it."""

    @property
    def is_known(self) -> bool:
        """Whether anything has been shown yet."""
        return bool(self._observed)

    def observe(self, lead_s: float, *, now: float) -> None:
        """Take in a lead that a message has shown."""
        while self._observed and self._get_aged_lead(self._observed[-1], now) <= lead_s:
            self._observed.pop()
        self._observed.append(ObservedLead(lead_s, now))
        while now - self._observed[0].at > RETENTION_S:
            self._observed.popleft()

    def get(self, *, now: float) -> float:
        """Return the least lead; minus infinity before the first message."""
        return self._get_aged_lead(self._observed[0], now) if self._observed else float("-inf")

    def _get_aged_lead(self, observed: ObservedLead, now: float) -> float:
        """Return what a lead that was shown comes to by now."""
        return observed.lead_s - self._drift * max(now - observed.at, 0.0)
