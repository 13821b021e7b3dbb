"""The claims that one entry keeps as the home of job ids.

A claim ends when its owner releases it, or once the owner has been out of reach for so long that
whatever it started has surely ended. A fresh home grants nothing for that same time, since an
owner may hold a claim that the home does not remember, unless the owners have told it theirs.
"""

from __future__ import annotations

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
    """Claims by job id. Owners are named by their incarnation. Times are seconds, steady."""

    def __init__(self, *, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self._owners: dict[str, str] = {}
        self._lost: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def claim(self, job_id: str, owner: str, *, now: float) -> Granted | Held:
        """Claim an id for an owner; a claim that it has already is granted again."""
        holder = self._owners.get(job_id)
        if holder is None or holder == owner:
            self._owners[job_id] = owner
            return Granted()
        lost_at = self._lost.get(holder)
        free_at = None if lost_at is None else lost_at + self._lapse_s
        if free_at is not None and now >= free_at:
            self._owners[job_id] = owner
            return Granted()
        return Held(owner=holder, free_at=free_at)

    def release(self, job_id: str, owner: str) -> None:
        """End an owner's claim; nothing runs of it any more."""
        if self._owners.get(job_id) == owner:
            del self._owners[job_id]

    def note_lost(self, owner: str, *, now: float) -> None:
        """Note that an owner is out of reach since now."""
        self._lost.setdefault(owner, now)

    def note_back(self, owner: str) -> None:
        """Note that an owner is in reach again."""
        self._lost.pop(owner, None)

    def sweep(self, *, now: float) -> None:
        """Forget owners that have been out of reach for long, and their claims."""
        gone = {owner for owner, at in self._lost.items() if now >= at + self._lapse_s}
        if not gone:
            return
        self._owners = {job: owner for job, owner in self._owners.items() if owner not in gone}
        for owner in gone:
            del self._lost[owner]
