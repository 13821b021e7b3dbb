"""Refusals are logged for each writer and reason without flooding the log."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from dalemast.observability import Metrics, RefusalLog
from dalemast.observability.refusals import (
    LINES_PER_MINUTE,
    MAX_TEXT_LENGTH,
    MAX_WRITERS,
    REPEAT_INTERVAL_S,
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

    def test_a_writer_and_reason_are_logged_once_per_interval(self) -> None:
        for _ in range(50):
            self.note()
        self.note(reason="field-missing")
        self.assertEqual(["unreadable", "field-missing"], [row["reason"] for row in self.lines])
        self.now = REPEAT_INTERVAL_S
        self.note()
        self.assertEqual(49, self.lines[-1]["repeats"])
        self.assertEqual("t", self.lines[-1]["table"])

    def test_many_writers_cause_a_limited_number_of_lines_and_records(self) -> None:
        for number in range(10 * MAX_WRITERS):
            self.now = number * 0.1
            self.note(writer=f"w{number}")
        minutes = 1 + int(self.now // 60)
        self.assertTrue(len(self.lines) <= minutes * LINES_PER_MINUTE, len(self.lines))
        logged = len(self.lines) + sum(row["unlogged"] for row in self.lines)
        self.assertTrue(logged <= 10 * MAX_WRITERS)
        self.assertTrue(len(self.log._logged_at) <= MAX_WRITERS)
        self.assertTrue(len(self.log._repeats) <= MAX_WRITERS)

    def test_long_texts_are_truncated(self) -> None:
        self.note(writer="w" * 10_000, detail="d" * 10_000)
        self.assertEqual(
            (MAX_TEXT_LENGTH, MAX_TEXT_LENGTH),
            tuple(len(self.lines[0][n]) for n in ("writer", "detail")),
        )
