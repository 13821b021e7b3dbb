"""The name of one life of a worker, which may have the id that it had in an earlier life."""

from __future__ import annotations

import msgspec

__all__ = ["make_incarnation_id", "parse_incarnation_id"]

MARK = " "
"""Between a worker's id and when its process began. No worker's id holds a blank."""


def make_incarnation_id(worker_id: str, born_ms: int | msgspec.UnsetType) -> str:
    """Return what this life is called inside; ``born_ms`` is in Unix milliseconds."""
    return worker_id if isinstance(born_ms, msgspec.UnsetType) else f"{worker_id}{MARK}{born_ms}"


def parse_incarnation_id(life_id: str) -> tuple[str, int | msgspec.UnsetType]:
    """Return the id that calls name, and when the process began if the worker tells it."""
    worker_id, mark, born_ms = life_id.partition(MARK)
    return worker_id, int(born_ms) if mark else msgspec.UNSET
