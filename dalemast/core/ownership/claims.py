"""The claims that one entry keeps as the home of job ids.

A claim ends when its owner releases it, or once the owner has been unreachable for so long that all
of its runs have certainly ended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Cancelled", "Claims", "Granted", "Held", "Withheld"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The claim is granted to the requesting owner."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """Another owner holds the claim.

    ``free_at`` is when it lapses; None while that owner is reachable.
    """

    owner: str
    free_at: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Withheld:
    """The claim can't be decided, as entries beyond a network partition may own the id.

    ``until`` is when it can be decided, by the monotonic clock; None if that is not known.
    """

    until: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The job was cancelled, so its id is granted to nobody."""


class Claims:
    """Claims by job id. Owners are identified by their incarnation.

    An id may have several owners: one to which it was granted here, and others that report a grant
    by another entry. It is free once each of them has released it or has lapsed. Times are readings
    of a steady clock, in seconds. Queues are named; an empty name means that the queue is unknown.
    """

    def __init__(self, *, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self._owners: dict[str, dict[str, str]] = {}
        """For each id, the queue of the job that each owner has under it."""
        self._lost: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def claim(self, job_id: str, owner: str, *, now: float, queue: str = "") -> Granted | Held:
        """Claim an id for an owner. A claim that the owner alone already holds is granted again."""
        held = self.find_other(job_id, owner, now=now)
        if held is not None:
            return held
        self._owners[job_id] = {owner: queue}
        return Granted()

    def record_reported(self, job_id: str, owner: str, *, queue: str = "") -> bool:
        """Record that an owner reports that it holds an id; return whether that is new."""
        owners = self._owners.setdefault(job_id, {})
        is_news = owner not in owners
        owners[owner] = queue or owners.get(owner, "")
        return is_news

    def find_other(self, job_id: str, owner: str, *, now: float, queue: str = "") -> Held | None:
        """Return another owner's claim on an id, or None. Of several, return the last to lapse.

        If a queue is given, claims that are known to be for jobs of other queues are left out.
        """
        held = [
            Held(owner=other, free_at=self._get_free_at(other))
            for other, other_queue in sorted(self._owners.get(job_id, {}).items())
            if other != owner and (not queue or other_queue in ("", queue))
        ]
        return max((row for row in held if _get_end(row) > now), key=_get_end, default=None)

    def release(self, job_id: str, owner: str) -> None:
        """Release an owner's claim, once none of the job's tasks runs any more."""
        owners = self._owners.get(job_id, {})
        owners.pop(owner, None)
        if not owners:
            self._owners.pop(job_id, None)

    def note_unreachable(self, owner: str, *, now: float) -> None:
        """Record that an owner has become unreachable."""
        self._lost.setdefault(owner, now)

    def note_reachable(self, owner: str) -> None:
        """Record that an owner is reachable again."""
        self._lost.pop(owner, None)

    def sweep(self, *, now: float) -> None:
        """Remove owners that have lapsed, and their claims."""
        gone = {owner for owner, at in self._lost.items() if now >= at + self._lapse_s}
        if not gone:
            return
        left = {
            job_id: {owner: queue for owner, queue in owners.items() if owner not in gone}
            for job_id, owners in self._owners.items()
        }
        self._owners = {job_id: owners for job_id, owners in left.items() if owners}
        for owner in gone:
            del self._lost[owner]

    def _get_free_at(self, owner: str) -> float | None:
        lost_at = self._lost.get(owner)
        return None if lost_at is None else lost_at + self._lapse_s


def _get_end(held: Held) -> float:
    """Return when a claim lapses; infinity if its owner is reachable."""
    return math.inf if held.free_at is None else held.free_at
