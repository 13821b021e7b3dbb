"""What is not used has a line for each writer and reason, and no flood of them."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from dalemast.observability import Metrics, RefusalLog
from dalemast.observability.refusals import (
    LINES_PER_MINUTE,
    MAX_TEXT,
    MAX_WRITERS,
    REPEAT_S,
)


class RefusalLogTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.lines: list[dict[str, Any]] = []
        patch = mock.patch(
            "dalemast.observability.refusals.log_error",
            lambda event, **fields: self.lines.append({"event": event, **fields}),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.metrics = Metrics()
        self.log = RefusalLog(event="row:foreign", metrics=self.metrics, clock=lambda: self.now)

    def note(self, writer: str = "w", reason: str = "unreadable", detail: str = "") -> None:
        self.log.note(writer=writer, reason=reason, detail=detail, table="t")

    def test_each_refusal_is_counted_by_its_reason(self) -> None:
        for _ in range(3):
            self.note()
        self.note(reason="field-missing")
        self.assertEqual(3, self.metrics.get_count("row.foreign.unreadable"))
        self.assertEqual(1, self.metrics.get_count("row.foreign.field-missing"))

    def test_a_writer_has_one_line_a_reason_until_a_while_has_passed(self) -> None:
        for _ in range(50):
            self.note()
        self.note(reason="field-missing")
        self.assertEqual(["unreadable", "field-missing"], [row["reason"] for row in self.lines])
        self.now = REPEAT_S
        self.note()
        self.assertEqual(49, self.lines[-1]["repeats"])
        self.assertEqual("t", self.lines[-1]["table"])

    def test_writers_without_end_have_few_lines_and_little_memory(self) -> None:
        for number in range(10 * MAX_WRITERS):
            self.now = number * 0.1
            self.note(writer=f"w{number}")
        minutes = 1 + int(self.now // 60)
        self.assertTrue(len(self.lines) <= minutes * LINES_PER_MINUTE, len(self.lines))
        logged = len(self.lines) + sum(row["unlogged"] for row in self.lines)
        self.assertTrue(logged <= 10 * MAX_WRITERS)
        self.assertTrue(len(self.log._logged_at) <= MAX_WRITERS)
        self.assertTrue(len(self.log._since) <= MAX_WRITERS)

    def test_long_texts_are_cut(self) -> None:
        self.note(writer="w" * 10_000, detail="d" * 10_000)
        self.assertEqual(
            (MAX_TEXT, MAX_TEXT), tuple(len(self.lines[0][n]) for n in ("writer", "detail"))
        )
