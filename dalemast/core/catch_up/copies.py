"""How many copies of a version a process sends at a time.

A single process may have a version from the store that all others request. If it sent all copies at
once, they would all arrive late. With a limit, the first copies arrive soon, and their receivers
serve the next peers.
"""

from __future__ import annotations

__all__ = ["CopyLimit"]

MAX_COPIES = 2
"""Maximum number of concurrent copies. With a single one, an unresponsive peer would block all."""


class CopyLimit:
    """The copies that this process is sending, by peer. Times are in seconds."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def acquire(self, peer: str, *, now: float, copy_s: float) -> bool:
        """Return whether a copy may be sent to a peer now; if so, count it for up to ``copy_s``."""
        self._until = {name: until for name, until in self._until.items() if now < until}
        if peer not in self._until and len(self._until) >= MAX_COPIES:
            return False
        self._until[peer] = now + copy_s
        return True

    def release(self, peer: str) -> None:
        """Stop counting a copy, since the peer has the version or is unreachable."""
        self._until.pop(peer, None)
