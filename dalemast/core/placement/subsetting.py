"""Which entries connect to which workers, when there are more entries than connections.

Every entry ranks the entries for each worker by the same hash and connects where it is among the
first. No message is needed to agree, and an entry that comes or goes moves only its own links.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["is_in_subset"]


def is_in_subset(*, entry: str, entries: Iterable[str], worker: str, limit: int) -> bool:
    """Tell whether ``entry`` is among the ``limit`` entries that connect to a worker."""
    others = set(entries) - {entry}
    if len(others) < limit:
        return True
    own = _get_rank(entry, worker)
    before = sum(_get_rank(other, worker) < own for other in others)
    return before < limit


def _get_rank(entry: str, worker: str) -> bytes:
    return hashlib.blake2b(f"{entry}|{worker}".encode(), digest_size=8).digest()
