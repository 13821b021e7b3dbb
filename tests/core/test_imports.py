"""The core must not import modules that do input or output."""

from __future__ import annotations

from pathlib import Path

import testtools

import dalemast.core
from tests.imports import get_imports

FORBIDDEN = {"tornado", "asyncio", "socket", "time", "os", "threading", "subprocess", "pycurl"}
OUTSIDE = {
    "agent",
    "emulator",
    "entry",
    "fleet",
    "hosting",
    "http",
    "local",
    "management",
    "platform",
    "process",
    "settings",
}


class CoreImportsTests(testtools.TestCase):
    def test_core_imports_nothing_that_does_input_or_output(self) -> None:
        root = Path(dalemast.core.__file__).parent
        files = sorted(root.rglob("*.py"))
        self.assertGreater(len(files), 20)
        for file in files:
            for name in get_imports(file):
                parts = name.split(".")
                self.assertNotIn(parts[0], FORBIDDEN, f"{file} imports {name}")
                if parts[0] == "dalemast" and len(parts) > 1:
                    self.assertNotIn(parts[1], OUTSIDE, f"{file} imports {name}")
