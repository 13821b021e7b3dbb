"""The fleet's roles import few packages, so that they serve callers soon after a power loss."""

from __future__ import annotations

import subprocess
import sys

import testtools

LATE = {"cappa", "eliot", "matplotlib", "pycurl", "pyrsistent", "rich", "yaml"}
"""Packages that are slow to import and that no role needs at its start."""
BACKENDS = {
    "agent": "dalemast.platform.worker, dalemast.platform.store, dalemast.platform.registration",
    "entry": "dalemast.platform.ingress, dalemast.platform.store",
}
PROGRAM = """
import sys
import dalemast.fleet.runner, dalemast.fleet.{role}, {backends}
print(" ".join(sorted({{name.partition(".")[0] for name in sys.modules}})))
"""


class RoleImportsTests(testtools.TestCase):
    def check(self, role: str) -> None:
        program = PROGRAM.format(role=role, backends=BACKENDS[role])
        ended = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        imported = set(ended.stdout.split())
        self.assertIn("picows", imported)
        self.assertEqual(set(), imported & LATE)

    def test_an_agent_imports_only_what_it_needs(self) -> None:
        self.check("agent")

    def test_an_entry_imports_only_what_it_needs(self) -> None:
        self.check("entry")
