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


def read_known_red(file: Path = FILE) -> list[KnownRed]:
    """Return the entries; raise :class:`ValueError` for a line without three parts.

    A test that may fail because of several faults has an entry for each of them.
    """
    found: list[KnownRed] = []
    lines = file.read_text().splitlines() if file.exists() else []
    for line in lines:
        if not line.strip() or line.startswith("#"):
            continue
        test, cause, issue = (part.strip() for part in line.split("|"))
        found.append(KnownRed(test=test, cause=cause, issue=issue))
    return found
