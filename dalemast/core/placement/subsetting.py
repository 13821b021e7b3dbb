"""Choose which entries connect to a worker when there are more entries than connections.

Every entry ranks all entries by the same hash for each worker (rendezvous hashing) and connects if
it ranks among the first. This needs no messages, and an entry that joins or leaves changes only
its own share of the links.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["is_in_subset"]


def is_in_subset(*, entry: str, entries: Iterable[str], worker: str, limit: int) -> bool:
    """Return whether ``entry`` is among the ``limit`` entries that connect to a worker."""
    others = set(entries) - {entry}
    if len(others) < limit:
        return True
    own = _get_rank(entry, worker)
    before = sum(_get_rank(other, worker) < own for other in others)
    return before < limit


def _get_rank(entry: str, worker: str) -> bytes:
    return hashlib.blake2b(f"{entry}|{worker}".encode(), digest_size=8).digest()
