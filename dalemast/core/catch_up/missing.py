"""Which peer a missing version is requested from, and when.

If processes sent each new version to all others unasked, every process would receive a copy from
each peer, and small links would be saturated. So peers announce the number of a version alone, the
store gets a head start, and a process that still lacks the version requests it from one peer at a
time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MissingVersion", "VersionRequest", "get_copy_timeout_s"]

HEAD_START_S = 0.4
"""How long after its announcement a version is expected from the store alone. It leaves most of the
time in which a version must be in force, 2 s at the shortest, to transfers from peers. The store
sends a megabyte in about 0.3 s on a link of 25 Mbit/s."""
FIRST_HEAD_START_S = 0.05
"""The same for a process without any version, which can't serve requests until it has one."""
DEFERRED_PAUSE_S = 0.1
"""Pause after a peer deferred a request because it is sending copies to others."""
RESPONSE_TIMEOUT_S = 0.25
"""Maximum time until a peer begins to answer a request."""
MIN_BYTES_PER_S = 400_000.0
"""Minimum rate of a copy: a quarter of the slowest link that is supported."""


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRequest:
    """A request to a peer for the version that it announced."""

    peer: str
    version: int


def get_copy_timeout_s(size_bytes: int) -> float:
    """Return how long to wait for a copy of this size, in seconds."""
    return RESPONSE_TIMEOUT_S + size_bytes / MIN_BYTES_PER_S


class MissingVersion:
    """Tracks the versions that peers announce, and requests one newer than the local version.

    Times are readings of a steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._known = -1
        self._holders: dict[str, tuple[int, int]] = {}
        """By peer, its version and the size of that version in bytes."""
        self._requested: set[str] = set()
        """Peers that were sent a request since their last announcement and have not deferred it."""
        self._request_at: float | None = None

    def note_own(self, version: int) -> None:
        """Record the version that is in force in this process."""
        self._known = max(self._known, version)
        if not self._get_newer():
            self._request_at = None
            self._requested.clear()

    def note_peer(self, peer: str, version: int, size_bytes: int, *, now: float) -> None:
        """Record the version that a peer announced."""
        self._holders[peer] = (version, size_bytes)
        self._requested.discard(peer)
        if version > self._known and self._request_at is None:
            self._request_at = now + (FIRST_HEAD_START_S if self._known < 0 else HEAD_START_S)

    def forget_peer(self, peer: str) -> None:
        """Remove a peer that is unreachable."""
        self._holders.pop(peer, None)
        self._requested.discard(peer)

    def note_deferred(self, peer: str, *, now: float) -> None:
        """Record that a peer is busy sending copies to others; it may get another request."""
        self._requested.discard(peer)
        if self._request_at is not None:
            self._request_at = now + DEFERRED_PAUSE_S

    def take_due(self, *, now: float, draw: float) -> VersionRequest | None:
        """Return the request that is due now, if any.

        ``draw``, a random number from 0 to 1, selects one of several peers.
        """
        if self._request_at is None or now < self._request_at:
            return None
        newer = self._get_newer()
        if not newer:
            self._request_at = None
            return None
        fresh = [peer for peer in newer if peer not in self._requested]
        if not fresh:
            # No peer has answered. Their answers may have been lost with their links, so try again.
            self._requested.clear()
            fresh = newer
        peer = fresh[min(int(draw * len(fresh)), len(fresh) - 1)]
        self._requested.add(peer)
        version, size_bytes = self._holders[peer]
        self._request_at = now + get_copy_timeout_s(size_bytes)
        return VersionRequest(peer=peer, version=version)

    def _get_newer(self) -> list[str]:
        """Return the peers with the newest version, if it is newer than the local one."""
        newest = max((version for version, _ in self._holders.values()), default=-1)
        if newest <= self._known:
            return []
        return sorted(peer for peer, held in self._holders.items() if held[0] == newest)
