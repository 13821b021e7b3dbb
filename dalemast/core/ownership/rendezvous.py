"""Rendezvous hashing, which chooses the entry that keeps the claim on a job's id."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["choose_home", "rank_entries"]

DIGEST_BYTES = 8


def choose_home(job_id: str, entries: Iterable[str]) -> str:
    """Return the entry with the highest hash for a job's id. ``entries`` must not be empty."""
    return max(entries, key=lambda entry: _score(job_id, entry))


def rank_entries(key: str, entries: Iterable[str]) -> list[str]:
    """Return entries by their hash for a key, highest first."""
    return sorted(entries, key=lambda entry: _score(key, entry), reverse=True)


def _score(key: str, entry: str) -> bytes:
    return blake2b(f"{entry}\0{key}".encode(), digest_size=DIGEST_BYTES).digest()
