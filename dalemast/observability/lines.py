"""Reads the structured lines that processes write."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

__all__ = ["read_lines"]


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the lines that are structured; text before a line's JSON is skipped.

    Logs of several processes may be cut anywhere: what does not parse is no line of ours.
    """
    for line in lines:
        row = _read_line(line)
        if row is not None:
            yield row


def _read_line(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) and "timestamp" in row else None
