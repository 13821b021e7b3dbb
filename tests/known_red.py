"""Reads KNOWN-RED.txt, the list of tests that may fail because of an open issue."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownRed:
    """One line of the file: test id, cause and issue number."""

    test: str
    cause: str
    issue: str


def read_known_red(file: Path = FILE) -> dict[str, KnownRed]:
    """Return the entries by test id; raise :class:`ValueError` for a line without three parts."""
    found: dict[str, KnownRed] = {}
    lines = file.read_text().splitlines() if file.exists() else []
    for line in lines:
        if not line.strip() or line.startswith("#"):
            continue
        test, cause, issue = (part.strip() for part in line.split("|"))
        found[test] = KnownRed(test=test, cause=cause, issue=issue)
    return found
