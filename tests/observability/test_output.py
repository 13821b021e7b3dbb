"""The log output is bounded, writes whole lines and never blocks the process."""

from __future__ import annotations

import os

import msgspec
import testtools

from dalemast.observability import output
from dalemast.observability.output import BoundedOutput


class BoundedOutputTests(testtools.TestCase):
    def test_dropped_lines_are_counted(self) -> None:
        reader, writer = os.pipe()
        destination = BoundedOutput(descriptor=writer)
        destination._wake.set = lambda: None  # type: ignore[method-assign]
        extra = 7
        for number in range(output.MAX_QUEUED_LINES + extra):
            destination({"message_type": "x", "n": number})
        destination._lines = type(destination._lines)(list(destination._lines)[:3])
        destination.flush()
        os.close(writer)
        with os.fdopen(reader) as file:
            lines = [msgspec.json.decode(line) for line in file]
        self.assertEqual([0, 1, 2], [line["n"] for line in lines[:3]])
        self.assertEqual({"message_type": "logs:dropped", "lines": extra}, lines[3])

    def test_a_closed_reader_does_not_raise(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        destination = BoundedOutput(descriptor=writer)
        destination({"message_type": "x"})
        destination.flush()
        os.close(writer)
