"""Tests for the run numbers of jobs that are submitted again."""

from __future__ import annotations

import testtools

from dalemast.core.scheduling.numbers import RETENTION_S, RunNumbers


class RunNumbersTests(testtools.TestCase):
    def test_numbers_are_remembered_for_a_while(self) -> None:
        numbers = RunNumbers()
        numbers.tick(now=100.0)
        numbers.remember("a", 3)
        numbers.tick(now=100.0 + RETENTION_S)
        self.assertEqual(3, numbers.get("a"))
        numbers.tick(now=100.0 + 2 * RETENTION_S)
        self.assertEqual(0, numbers.get("a"))

    def test_an_unknown_job_starts_at_zero(self) -> None:
        self.assertEqual(0, RunNumbers().get("a"))
