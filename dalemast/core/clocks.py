"""Lower bounds for the monotonic clock of another process."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ["MinClockLead"]

RETENTION_S = 30.0
"""Seconds after which an observed lead is dropped once there are later ones. If the clocks drift
apart faster than assumed, an old lead would otherwise hide all later ones, with a growing error."""


class ObservedLead(NamedTuple):
    """A lead observed from a message, and the time of the observation."""

    lead_s: float
    at: float


class MinClockLead:
    """A lower bound for how far another process's monotonic clock is ahead, in seconds.

    Each message that carries the sender's clock gives such a bound, because its unknown delay can
    only make the lead look smaller. The greatest bound is therefore the closest. Since the clocks
    may drift apart, each bound is reduced by ``drift`` seconds per second of its age.
    """

    def __init__(self, *, drift: float) -> None:
        self._drift = drift
        self._observed: deque[ObservedLead] = deque()
        """Ordered by time, with decreasing leads; those not above a later one are dropped."""

    @property
    def is_known(self) -> bool:
        """Whether a lead has been observed."""
        return bool(self._observed)

    def observe(self, lead_s: float, *, now: float) -> None:
        """Add a lead observed from a message."""
        while self._observed and self._get_aged_lead(self._observed[-1], now) <= lead_s:
            self._observed.pop()
        self._observed.append(ObservedLead(lead_s, now))
        while now - self._observed[0].at > RETENTION_S:
            self._observed.popleft()

    def get(self, *, now: float) -> float:
        """Return the lower bound of the lead, or minus infinity before the first message."""
        return self._get_aged_lead(self._observed[0], now) if self._observed else float("-inf")

    def _get_aged_lead(self, observed: ObservedLead, now: float) -> float:
        """Return an observed lead, reduced by the drift since the observation."""
        return observed.lead_s - self._drift * max(now - observed.at, 0.0)
