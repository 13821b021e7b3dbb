"""The lease of everything that runs on one worker.

Stops get lost, and an agent may stand still between two tries at an order. So what an owner no
longer keeps alive must end by itself: the lease is renewed no further than what the owners of all
that runs there allow, and a start joins it.
"""

from __future__ import annotations

__all__ = ["MIN_LEASE_SHARE", "WorkerLease"]

MIN_LEASE_SHARE = 0.5
"""Share of a lease that is left enough for a start to join it in place of renewing it. A look
renews the lease at least each 0.15 s of its 0.6 s; starts that renewed it went on doing so for
0.3 s after a worker had fallen silent, and its tasks ran elsewhere that much later."""


class WorkerLease:
    """The latest end that the worker was told. Times are the agent's steady clock, in seconds."""

    def __init__(self, *, lease_s: float) -> None:
        self._lease_s = lease_s
        self._ends_at = float("-inf")

    @property
    def ends_at(self) -> float:
        """When the lease ends, by the latest call that may have arrived."""
        return self._ends_at

    def renew(self, *, now: float, limit: float) -> float | None:
        """Return the end to ask for, ``limit`` at the latest, or None if that is no gain."""
        ends_at = min(now + self._lease_s, limit)
        if ends_at <= max(self._ends_at, now):
            return None
        self._ends_at = ends_at
        return ends_at

    def join(self, *, now: float, limit: float) -> float | None:
        """Return the end that a start carries, or None if it must not be carried out any more."""
        if limit <= now:
            return None
        if self._ends_at - now < MIN_LEASE_SHARE * self._lease_s:
            self.renew(now=now, limit=limit)
        return self._ends_at if self._ends_at > now else None
