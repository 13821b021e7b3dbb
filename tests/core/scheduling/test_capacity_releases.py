"""Tests for the ageing and validation of reported capacity releases."""

from __future__ import annotations

import math

import testtools

from dalemast.core.scheduling import (
    CapacityRelease,
    CapacityReport,
    WorkerView,
)
from dalemast.core.scheduling.capacity_releases import OVERDUE_GRACE_S
from dalemast.core.workloads import Resources

NOW = 10.0
FULL = Resources(cpu=0, memory_mb=100)


def make_releases(*rows: tuple[float, int]) -> tuple[CapacityRelease, ...]:
    return tuple(CapacityRelease(in_s=in_s, cpu=cpu) for in_s, cpu in rows)


class CapacityReleaseTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.view = WorkerView(
            name="w1",
            service="floor",
            capacity=Resources(cpu=4000, memory_mb=100),
            labels=frozenset(),
            is_same_data_centre=True,
        )
        self.report(free=FULL)

    def report(self, *, free: Resources, is_accepting: bool = True) -> None:
        self.view.update(CapacityReport(seen=0, free=free, is_accepting=is_accepting), now=NOW)

    def set_releases(self, *rows: tuple[float, int]) -> None:
        self.view.set_releases(make_releases(*rows), now=NOW)

    def get(self, later_s: float = 0.0) -> list[tuple[float, int]]:
        return [(round(row.in_s, 3), row.cpu) for row in self.view.get_releases(NOW + later_s)]

    def test_the_time_to_a_release_decreases_as_the_report_ages(self) -> None:
        self.set_releases((0.5, 1000), (1.8, 2000))
        self.assertEqual([(0.3, 1000), (1.6, 2000)], self.get(0.2))

    def test_an_overdue_release_is_expected_now_but_not_free(self) -> None:
        self.set_releases((0.5, 1000), (1.8, 2000))
        self.assertEqual([(0.0, 1000), (1.2, 2000)], self.get(0.6))
        self.assertEqual(0, self.view.free.cpu)

    def test_a_release_that_does_not_happen_is_dropped(self) -> None:
        self.set_releases((0.5, 1000), (1.8, 2000))
        self.assertEqual(
            [(round(0.8 - OVERDUE_GRACE_S, 3), 2000)], self.get(0.5 + 0.5 + OVERDUE_GRACE_S)
        )
        self.assertEqual([], self.get(60.0))

    def test_capacity_that_is_already_free_is_not_counted_twice(self) -> None:
        self.set_releases((0.5, 1000), (1.8, 3000))
        self.report(free=Resources(cpu=3000, memory_mb=100))
        self.assertEqual([(0.5, 1000)], self.get())
        self.report(free=Resources(cpu=4000, memory_mb=100))
        self.assertEqual([], self.get())

    def test_a_worker_that_accepts_nothing_has_no_releases(self) -> None:
        self.set_releases((0.5, 1000))
        self.report(free=FULL, is_accepting=False)
        self.assertEqual([], self.get())
        self.report(free=FULL)
        self.view.is_evacuated = True
        self.assertEqual([], self.get())

    def test_a_report_replaces_the_one_before(self) -> None:
        self.set_releases((0.5, 1000))
        self.set_releases()
        self.assertEqual([], self.get())

    def test_invalid_reports_are_ignored(self) -> None:
        for rows in (
            [(math.nan, 1000)],
            [(math.inf, 1000)],
            [(-0.1, 1000)],
            [(0.1, -1000)],
            [(0.1, 0)],
            [(0.5, 1000), (0.2, 1000)],
            [(float(number), 10) for number in range(1000)],
        ):
            self.set_releases((0.5, 1000))
            self.set_releases(*rows)
            self.assertEqual([], self.get(), rows)

    def test_releases_are_limited_to_the_capacity_of_the_worker(self) -> None:
        self.set_releases((0.5, 3000), (0.6, 10**9))
        self.assertEqual([(0.5, 3000), (0.6, 1000)], self.get())
