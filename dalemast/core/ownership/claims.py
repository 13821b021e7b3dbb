"""The claims that one entry keeps as the home of job ids.

A claim ends when its owner releases it, or once the owner has been out of reach for so long that
whatever it started has surely ended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Claims", "Granted", "Held"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The claim is the asker's."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """Another owner has it. ``free_at`` is when it lapses, if the owner is out of reach."""

    owner: str
    free_at: float | None


class Claims:
    """Claims by job id. Owners are named by their incarnation. Times are seconds, steady.

    An id may have several owners here: one that was granted it, and others that tell that they have
    it by another entry's grant. It is free once all of them have released it or lapsed.
    """

    def __init__(self, *, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self._owners: dict[str, set[str]] = {}
        self._lost: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def claim(self, job_id: str, owner: str, *, now: float) -> Granted | Held:
        """Claim an id for an owner; a claim that it alone has already is granted again."""
        held = self.find_other(job_id, owner, now=now)
        if held is not None:
            return held
        self._owners[job_id] = {owner}
        return Granted()

    def record_reported(self, job_id: str, owner: str) -> bool:
        """Note that an owner says it has an id; return whether that is news."""
        owners = self._owners.setdefault(job_id, set())
        is_news = owner not in owners
        owners.add(owner)
        return is_news

    def find_other(self, job_id: str, owner: str, *, now: float) -> Held | None:
        """Return who else has an id, of several the one that lapses last."""
        others = self._owners.get(job_id, set()) - {owner}
        held = [Held(owner=other, free_at=self._get_free_at(other)) for other in sorted(others)]
        return max((row for row in held if _get_end(row) > now), key=_get_end, default=None)

    def release(self, job_id: str, owner: str) -> None:
        """End an owner's claim; nothing runs of it any more."""
        owners = self._owners.get(job_id, set())
        owners.discard(owner)
        if not owners:
            self._owners.pop(job_id, None)

    def note_unreachable(self, owner: str, *, now: float) -> None:
        """Note that an owner is out of reach since now."""
        self._lost.setdefault(owner, now)

    def note_reachable(self, owner: str) -> None:
        """Note that an owner is in reach again."""
        self._lost.pop(owner, None)

    def sweep(self, *, now: float) -> None:
        """Forget owners that have been out of reach for long, and their claims."""
        gone = {owner for owner, at in self._lost.items() if now >= at + self._lapse_s}
        if not gone:
            return
        left = {job_id: owners - gone for job_id, owners in self._owners.items()}
        self._owners = {job_id: owners for job_id, owners in left.items() if owners}
        for owner in gone:
            del self._lost[owner]

    def _get_free_at(self, owner: str) -> float | None:
        lost_at = self._lost.get(owner)
        return None if lost_at is None else lost_at + self._lapse_s


def _get_end(held: Held) -> float:
    """Return when a claim lapses; infinity if its owner is in reach."""
    return math.inf if held.free_at is None else held.free_at
