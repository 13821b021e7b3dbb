"""Parse the structured log lines written by processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

__all__ = ["read_lines"]


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the structured lines; skip any text in front of a line's JSON.

    Other lines are ignored, since collected logs may contain truncated lines and foreign output.
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
