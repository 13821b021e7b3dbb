"""The platform's wire names are used in the adapter only, and nothing imports the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

import dalemast
from tests.imports import get_imports

ROOT = Path(dalemast.__file__).parent
ALLOWED = ("platform", "emulator")
"""Packages that may use wire names. The emulator replaces the platform in tests."""
WIRE_NAMES = re.compile(
    r"Dalemast-(Deadline|Expect|Instance|Lease|Fence)|/v1/(run-|hold\b|pace\b|advise|machine|rows-|blob-)"
    r"|Instances\.|\bevacuate/|\b(since_rev|acked_upto|best_effort|rejects_overload|path_prefix|slo_ms"
    r"|anti_affinity|same_rack|may_miss|if_rev|set_keys|more_pages|until_ms|estimate_ms"
    r"|cold_left_ms|hold_max_ms)\b"
)


def get_files() -> list[Path]:
    return [
        file
        for file in sorted(ROOT.rglob("*.py"))
        if file.relative_to(ROOT).parts[0] not in ALLOWED
    ]


class BoundaryTests(testtools.TestCase):
    def test_nothing_imports_the_adapter(self) -> None:
        for file in get_files():
            for name in get_imports(file):
                self.assertFalse(name.startswith("dalemast.platform"), f"{file} imports {name}")

    def test_no_wire_name_is_used_outside(self) -> None:
        for file in get_files():
            found = WIRE_NAMES.search(file.read_text())
            self.assertIsNone(found, f"{file}: {found}")
