"""The lease under which all runs on one worker continue.

Stops may be lost, and an agent may be paused between two attempts at an order. Runs that their
owner no longer renews must therefore end by themselves: the lease is never renewed beyond the time
that the owners of all runs allow, and new starts are bound to the same lease.
"""

from __future__ import annotations

__all__ = ["MIN_LEASE_SHARE", "WorkerLease"]

MIN_LEASE_SHARE = 0.5
"""Share of the lease that must be left for a start to join it without a renewal. Renewals by starts
would extend the lease of a worker that no longer answers, and delay restarts elsewhere."""


class WorkerLease:
    """The latest lease end sent to the worker. Times are the agent's steady clock, in seconds."""

    def __init__(self, *, lease_s: float) -> None:
        self._lease_s = lease_s
        self._ends_at = float("-inf")

    @property
    def ends_at(self) -> float:
        """When the lease ends, if every call that was sent has arrived."""
        return self._ends_at

    def renew(self, *, now: float, limit: float) -> float | None:
        """Extend the lease, up to ``limit``; return its new end, or None if it is not extended."""
        ends_at = min(now + self._lease_s, limit)
        if ends_at <= max(self._ends_at, now):
            return None
        self._ends_at = ends_at
        return ends_at

    def join(self, *, now: float, limit: float) -> float | None:
        """Return the lease end to send with a start, or None if the start must not be sent."""
        if limit <= now:
            return None
        if self._ends_at - now < MIN_LEASE_SHARE * self._lease_s:
            self.renew(now=now, limit=limit)
        return self._ends_at if self._ends_at > now else None
