"""Room that comes free, as an owner believes an agent's word on it while it ages."""

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


def make_rows(*rows: tuple[float, int]) -> tuple[CapacityRelease, ...]:
    return tuple(CapacityRelease(in_s=in_s, cpu=cpu) for in_s, cpu in rows)


class ComingRoomTests(testtools.TestCase):
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

    def take(self, *rows: tuple[float, int]) -> None:
        self.view.set_releases(make_rows(*rows), now=NOW)

    def get(self, later_s: float = 0.0) -> list[tuple[float, int]]:
        return [(round(row.in_s, 3), row.cpu) for row in self.view.get_releases(NOW + later_s)]

    def test_steps_come_nearer_as_the_word_ages(self) -> None:
        self.take((0.5, 1000), (1.8, 2000))
        self.assertEqual([(0.3, 1000), (1.6, 2000)], self.get(0.2))

    def test_a_step_whose_time_is_over_is_due_now_but_not_free(self) -> None:
        self.take((0.5, 1000), (1.8, 2000))
        self.assertEqual([(0.0, 1000), (1.2, 2000)], self.get(0.6))
        self.assertEqual(0, self.view.free.cpu)

    def test_a_step_that_does_not_come_is_believed_no_more(self) -> None:
        self.take((0.5, 1000), (1.8, 2000))
        self.assertEqual(
            [(round(0.8 - OVERDUE_GRACE_S, 3), 2000)], self.get(0.5 + 0.5 + OVERDUE_GRACE_S)
        )
        self.assertEqual([], self.get(60.0))

    def test_room_that_is_free_by_now_does_not_come_once_more(self) -> None:
        self.take((0.5, 1000), (1.8, 3000))
        self.report(free=Resources(cpu=3000, memory_mb=100))
        self.assertEqual([(0.5, 1000)], self.get())
        self.report(free=Resources(cpu=4000, memory_mb=100))
        self.assertEqual([], self.get())

    def test_a_worker_that_takes_nothing_has_no_room_coming(self) -> None:
        self.take((0.5, 1000))
        self.report(free=FULL, is_accepting=False)
        self.assertEqual([], self.get())
        self.report(free=FULL)
        self.view.is_evacuated = True
        self.assertEqual([], self.get())

    def test_a_word_replaces_the_one_before(self) -> None:
        self.take((0.5, 1000))
        self.take()
        self.assertEqual([], self.get())

    def test_absurd_words_say_nothing(self) -> None:
        for rows in (
            [(math.nan, 1000)],
            [(math.inf, 1000)],
            [(-0.1, 1000)],
            [(0.1, -1000)],
            [(0.1, 0)],
            [(0.5, 1000), (0.2, 1000)],
            [(float(number), 10) for number in range(1000)],
        ):
            self.take((0.5, 1000))
            self.take(*rows)
            self.assertEqual([], self.get(), rows)

    def test_more_than_the_worker_has_does_not_come(self) -> None:
        self.take((0.5, 3000), (0.6, 10**9))
        self.assertEqual([(0.5, 3000), (0.6, 1000)], self.get())
