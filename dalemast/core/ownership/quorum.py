"""Which group of entries may go on in a network partition.

Entries in another group can't be asked, so both groups have to reach opposite decisions from the
entries that they know. Two groups that share no entry never both have a quorum of the same entries.
"""

from __future__ import annotations

from collections.abc import Collection

__all__ = ["has_quorum"]


def has_quorum(own: str, linked: Collection[str], unlinked: Collection[str]) -> bool:
    """Return whether an entry and those linked with it may go on without the unlinked ones.

    Entries are named by their addresses. Of two halves, the one with the smallest address may.
    """
    group = {own, *linked}
    known = group | set(unlinked)
    if 2 * len(group) == len(known):
        return min(known) in group
    return 2 * len(group) > len(known)
