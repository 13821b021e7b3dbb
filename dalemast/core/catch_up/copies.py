"""How many copies of a version a process sends at a time.

The load this answers: one process alone has got a version from the store and all others ask it. If
it served all at once, each copy would take as long as all of them; two at a time are with others
soon, who then serve further ones, so the number of holders doubles with each round.
"""

from __future__ import annotations

__all__ = ["CopyLimit"]

MOST_COPIES = 2
"""Copies under way at a time. One alone would wait for a peer that has fallen silent."""


class CopyLimit:
    """The copies under way from here, by peer. Times are seconds."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def take(self, peer: str, *, now: float, copy_s: float) -> bool:
        """Tell whether a copy may be sent to a peer now, and count it for ``copy_s`` at most."""
        self._until = {name: until for name, until in self._until.items() if now < until}
        if peer not in self._until and len(self._until) >= MOST_COPIES:
            return False
        self._until[peer] = now + copy_s
        return True

    def note_arrived(self, peer: str) -> None:
        """Note that a peer has the version, or is out of reach."""
        self._until.pop(peer, None)
