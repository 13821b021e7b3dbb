"""Ids of worker incarnations. A worker that restarts may keep its worker id."""

from __future__ import annotations

import msgspec

__all__ = ["make_incarnation_id", "parse_incarnation_id"]

SEPARATOR = " "
"""Separates the worker id from the start time of its process. Worker ids contain no spaces."""


def make_incarnation_id(worker_id: str, born_ms: int | msgspec.UnsetType) -> str:
    """Return the internal id of an incarnation. ``born_ms`` is in Unix milliseconds."""
    return (
        worker_id if isinstance(born_ms, msgspec.UnsetType) else f"{worker_id}{SEPARATOR}{born_ms}"
    )


def parse_incarnation_id(incarnation_id: str) -> tuple[str, int | msgspec.UnsetType]:
    """Return the worker id and, if the worker reports it, the start time of its process."""
    worker_id, separator, born_ms = incarnation_id.partition(SEPARATOR)
    return worker_id, int(born_ms) if separator else msgspec.UNSET
