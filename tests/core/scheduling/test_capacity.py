"""Tests for when capacity is released, from agents' reports and an owner's own runs."""

from __future__ import annotations

import math

from testtools import TestCase

from dalemast.core.scheduling import (
    CapacityRelease,
    CapacityReport,
    WorkerView,
)
from dalemast.core.scheduling.capacity import (
    CapacityStep,
    CapacityTimeline,
    OwnRun,
    WorkerAvailability,
    get_worker_availability,
)
from dalemast.core.workloads import Resources

NOW = 10.0
CPU = 4000


def make_view(*rows: CapacityRelease, free: int = 0, reported_at: float = NOW) -> WorkerView:
    view = WorkerView(
        name="w",
        service="floor",
        capacity=Resources(cpu=CPU, memory_mb=65536),
        labels=frozenset(),
        is_same_data_centre=True,
    )
    resources = Resources(cpu=free, memory_mb=65536)
    view.update(CapacityReport(seen=0, free=resources, is_accepting=True), now=reported_at)
    view.releases = rows
    view.releases_reported_at = reported_at
    return view


def get_availability(view: WorkerView, *runs: OwnRun) -> WorkerAvailability:
    return get_worker_availability(view, runs, max_age_s=1.0, now=NOW)


class WorkerAvailabilityTests(TestCase):
    """A worker with four cores, all of them in use unless a test sets ``free``."""

    def test_steps_are_adjusted_to_the_age_of_the_report(self) -> None:
        rows = CapacityRelease(in_s=0.5, cpu=1000), CapacityRelease(in_s=1.5, cpu=3000)
        worker = get_availability(make_view(*rows, reported_at=NOW - 0.25))
        steps = [CapacityStep(0.25, 0.25, 1000), CapacityStep(0.25, 1.25, 3000)]
        self.assertEqual(WorkerAvailability(0, steps), worker)

    def test_an_overdue_release_is_unknown(self) -> None:
        worker = get_availability(
            make_view(CapacityRelease(in_s=0.1, cpu=4000), reported_at=NOW - 0.25)
        )
        self.assertEqual(WorkerAvailability(0, [], 4000), worker)

    def test_an_old_report_is_ignored(self) -> None:
        worker = get_availability(
            make_view(CapacityRelease(in_s=60.0, cpu=4000), reported_at=NOW - 1.1)
        )
        self.assertEqual(WorkerAvailability(0, [], 4000), worker)

    def test_capacity_in_use_without_a_report_is_unknown(self) -> None:
        worker = get_availability(make_view(CapacityRelease(in_s=0.5, cpu=1000), free=500))
        self.assertEqual(WorkerAvailability(500, [CapacityStep(0.5, 0.5, 1000)], 2500), worker)

    def test_releases_are_limited_to_the_capacity_in_use(self) -> None:
        rows = CapacityRelease(in_s=0.5, cpu=10**9), CapacityRelease(in_s=0.6, cpu=10**9)
        self.assertEqual(
            WorkerAvailability(1000, [CapacityStep(0.5, 0.5, 3000)]),
            get_availability(make_view(*rows, free=1000)),
        )

    def test_own_runs_count_if_placed_after_the_report(self) -> None:
        view = make_view(CapacityRelease(in_s=0.5, cpu=3000), reported_at=NOW - 0.25)
        before, after = OwnRun(1000, NOW - 0.5, 0.1), OwnRun(1000, NOW - 0.1, 0.3)
        steps = [CapacityStep(0.25, 0.25, 3000), CapacityStep(0.3, 0.3, 1000)]
        self.assertEqual(WorkerAvailability(0, steps), get_availability(view, before, after))


class CapacityTimelineTests(TestCase):
    """Ten workers with four cores each, all released after half a second."""

    def make_timeline(self, *more: WorkerAvailability) -> CapacityTimeline:
        return CapacityTimeline(
            [*[WorkerAvailability(0, [CapacityStep(0.5, 0.5, CPU)])] * 10, *more]
        )

    def get_start_s(self, cores: float, *, run_s: float = 0.2) -> float:
        return self.make_timeline().get_pooled_start_s(cores, run_s=run_s)

    def test_work_that_fits_starts_when_capacity_is_released(self) -> None:
        self.assertAlmostEqual(0.5, self.get_start_s(40.0), places=1)

    def test_further_work_starts_when_the_first_runs_end(self) -> None:
        self.assertAlmostEqual(0.7, self.get_start_s(80.0), places=1)
        self.assertAlmostEqual(0.9, self.get_start_s(81.0), places=1)

    def test_far_more_work_starts_at_the_mean_rate(self) -> None:
        self.assertAlmostEqual(200.0, self.get_start_s(40_000.0))

    def test_absurd_run_times_and_amounts_of_work(self) -> None:
        for run_s in (math.inf, math.nan, 1e308, 0.0, -1.0):
            self.assertGreaterEqual(self.get_start_s(41.0, run_s=run_s), 0.0)
        for cores in (math.inf, 1e308):
            self.assertGreater(self.get_start_s(cores), 1e3)

    def test_unknown_capacity_is_released_like_the_rest(self) -> None:
        timeline = self.make_timeline(WorkerAvailability(0, [], 40_000))
        self.assertEqual(0.5, timeline.known_share)
        self.assertAlmostEqual(0.5, timeline.get_pooled_start_s(80.0, run_s=0.2), places=1)

    def test_one_worker_must_have_capacity_for_one_task(self) -> None:
        timeline = self.make_timeline(WorkerAvailability(1000, [CapacityStep(0.1, 0.1, 1000)]))
        self.assertEqual(0.1, timeline.get_single_worker_start_s(2000))
        self.assertEqual(0.5, timeline.get_single_worker_start_s(CPU))
        self.assertEqual(math.inf, timeline.get_single_worker_start_s(CPU + 1))

    def test_unknown_capacity_of_a_worker_may_be_free_at_once(self) -> None:
        self.assertEqual(
            0.0, self.make_timeline(WorkerAvailability(0, [], CPU)).get_single_worker_start_s(CPU)
        )

    def test_no_release_is_known(self) -> None:
        timeline = CapacityTimeline([WorkerAvailability(0, [], CPU)])
        self.assertEqual(
            (0.0, math.inf), (timeline.known_share, timeline.get_pooled_start_s(1.0, run_s=0.2))
        )
