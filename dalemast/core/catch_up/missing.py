"""Which peer is asked for a version that this process lacks, and when.

The load this answers: a version of some hundred kilobytes is accepted while every process reads the
store at once. Sent unasked, each process would get a copy from every other, and the smallest links
would be full for seconds. So peers tell one another the version alone, the store has a head start,
and whoever still lacks the version asks one peer at a time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["VersionRequest", "MissingVersion", "get_copy_s"]

HEAD_START_S = 0.4
"""How long the store alone may bring a version that peers have: its answer of a megabyte takes
about 0.3 s on a link of 25 Mbit/s. Versions must be in force within 2 s at the shortest, so three
quarters of that are left to the peers."""
FIRST_HEAD_START_S = 0.05
"""The same for a process without any version, which can serve nobody before it has one."""
LATER_PAUSE_S = 0.1
"""Pause after a peer said that it is sending to others already."""
ANSWER_S = 0.25
"""Longest time in which a peer that was asked begins to answer."""
SLOWEST_BYTES_PER_S = 400_000.0
"""Rate at which a copy arrives at the least: a quarter of a link of 12.5 Mbit/s, the smallest that
hosts of today have."""


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRequest:
    """Ask this peer for the version that it told of."""

    peer: str
    version: int


def get_copy_s(size_bytes: int) -> float:
    """Return the time, in seconds, after which a copy of this size will not arrive any more."""
    return ANSWER_S + size_bytes / SLOWEST_BYTES_PER_S


class MissingVersion:
    """What peers have told of versions newer than the one here. Times are seconds."""

    def __init__(self) -> None:
        self._known = -1
        self._holders: dict[str, tuple[int, int]] = {}
        """By peer, its version and that version's size in bytes."""
        self._tried: set[str] = set()
        """Peers that were asked since one last told of something new."""
        self._ask_at: float | None = None

    def note_own(self, version: int) -> None:
        """Note the version that is in force here."""
        self._known = max(self._known, version)
        if not self._get_newer():
            self._ask_at = None
            self._tried.clear()

    def note_peer(self, peer: str, version: int, size_bytes: int, *, now: float) -> None:
        """Note which version a peer has."""
        self._holders[peer] = (version, size_bytes)
        self._tried.discard(peer)
        if version > self._known and self._ask_at is None:
            self._ask_at = now + (FIRST_HEAD_START_S if self._known < 0 else HEAD_START_S)

    def forget_peer(self, peer: str) -> None:
        """Note that a peer is out of reach."""
        self._holders.pop(peer, None)
        self._tried.discard(peer)

    def note_deferred(self, peer: str, *, now: float) -> None:
        """Note that a peer is busy with copies for others; it may be asked again."""
        self._tried.discard(peer)
        if self._ask_at is not None:
            self._ask_at = now + LATER_PAUSE_S

    def take_due(self, *, now: float, draw: float) -> VersionRequest | None:
        """Return whom to ask now, or None. ``draw`` from 0 to 1 picks one of several peers."""
        if self._ask_at is None or now < self._ask_at:
            return None
        newer = self._get_newer()
        if not newer:
            self._ask_at = None
            return None
        fresh = [peer for peer in newer if peer not in self._tried]
        if not fresh:
            # All were silent: their answers may have been lost with their links.
            self._tried.clear()
            fresh = newer
        peer = fresh[min(int(draw * len(fresh)), len(fresh) - 1)]
        self._tried.add(peer)
        version, size_bytes = self._holders[peer]
        self._ask_at = now + get_copy_s(size_bytes)
        return VersionRequest(peer=peer, version=version)

    def _get_newer(self) -> list[str]:
        """Return the peers that have the newest version, if it is newer than the one here."""
        newest = max((version for version, _ in self._holders.values()), default=-1)
        if newest <= self._known:
            return []
        return sorted(peer for peer, held in self._holders.items() if held[0] == newest)
