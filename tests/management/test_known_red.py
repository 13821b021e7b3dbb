"""KNOWN-RED.txt names tests that exist, each with a cause and an issue."""

from __future__ import annotations

import importlib

import testtools

from tests.known_red import read_known_red


class KnownRedTests(testtools.TestCase):
    def test_every_line_names_a_test_that_exists(self) -> None:
        for known in read_known_red():
            file, class_name, method = known.test.split("::")
            module = importlib.import_module(file.removesuffix(".py").replace("/", "."))
            self.assertTrue(hasattr(getattr(module, class_name), method), known.test)
            self.assertTrue(known.cause)
            self.assertTrue(known.issue.isdigit())
