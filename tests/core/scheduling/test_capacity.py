"""When room comes free: what an owner makes of agents' words and of its own runs."""

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


def make_view(*rows: CapacityRelease, free: int = 0, told_at: float = NOW) -> WorkerView:
    view = WorkerView(
        name="w",
        service="floor",
        capacity=Resources(cpu=CPU, memory_mb=65536),
        labels=frozenset(),
        is_same_data_centre=True,
    )
    room = Resources(cpu=free, memory_mb=65536)
    view.update(CapacityReport(seen=0, free=room, is_accepting=True), now=told_at)
    view.releases = rows
    view.releases_reported_at = told_at
    return view


def get_room(view: WorkerView, *runs: OwnRun) -> WorkerAvailability:
    return get_worker_availability(view, runs, fresh_s=1.0, now=NOW)


class WorkerRoomTests(TestCase):
    """A worker of four cores that is full, unless a test says otherwise."""

    def test_steps_as_told_with_their_age(self) -> None:
        rows = CapacityRelease(in_s=0.5, cpu=1000), CapacityRelease(in_s=1.5, cpu=3000)
        room = get_room(make_view(*rows, told_at=NOW - 0.25))
        steps = [CapacityStep(0.25, 0.25, 1000), CapacityStep(0.25, 1.25, 3000)]
        self.assertEqual(WorkerAvailability(0, steps), room)

    def test_a_step_whose_time_has_passed_is_unknown(self) -> None:
        room = get_room(make_view(CapacityRelease(in_s=0.1, cpu=4000), told_at=NOW - 0.25))
        self.assertEqual(WorkerAvailability(0, [], 4000), room)

    def test_an_old_word_says_nothing(self) -> None:
        room = get_room(make_view(CapacityRelease(in_s=60.0, cpu=4000), told_at=NOW - 1.1))
        self.assertEqual(WorkerAvailability(0, [], 4000), room)

    def test_what_was_not_told_is_unknown(self) -> None:
        room = get_room(make_view(CapacityRelease(in_s=0.5, cpu=1000), free=500))
        self.assertEqual(WorkerAvailability(500, [CapacityStep(0.5, 0.5, 1000)], 2500), room)

    def test_no_more_comes_free_than_is_in_use(self) -> None:
        rows = CapacityRelease(in_s=0.5, cpu=10**9), CapacityRelease(in_s=0.6, cpu=10**9)
        self.assertEqual(
            WorkerAvailability(1000, [CapacityStep(0.5, 0.5, 3000)]),
            get_room(make_view(*rows, free=1000)),
        )

    def test_own_runs_count_that_were_begun_after_the_word(self) -> None:
        view = make_view(CapacityRelease(in_s=0.5, cpu=3000), told_at=NOW - 0.25)
        before, after = OwnRun(1000, NOW - 0.5, 0.1), OwnRun(1000, NOW - 0.1, 0.3)
        steps = [CapacityStep(0.25, 0.25, 3000), CapacityStep(0.3, 0.3, 1000)]
        self.assertEqual(WorkerAvailability(0, steps), get_room(view, before, after))


class RoomTimelineTests(TestCase):
    """Ten workers of four cores, all of which come free after half a second."""

    def make_timeline(self, *more: WorkerAvailability) -> CapacityTimeline:
        return CapacityTimeline(
            [*[WorkerAvailability(0, [CapacityStep(0.5, 0.5, CPU)])] * 10, *more]
        )

    def find(self, cores: float, *, run_s: float = 0.2) -> float:
        return self.make_timeline().get_pooled_start_s(cores, run_s=run_s)

    def test_work_that_fits_begins_as_room_comes_free(self) -> None:
        self.assertAlmostEqual(0.5, self.find(40.0), places=1)

    def test_more_begins_when_that_has_ended(self) -> None:
        self.assertAlmostEqual(0.7, self.find(80.0), places=1)
        self.assertAlmostEqual(0.9, self.find(81.0), places=1)

    def test_far_more_takes_its_share_of_the_time(self) -> None:
        self.assertAlmostEqual(200.0, self.find(40_000.0))

    def test_run_times_and_work_that_are_absurd(self) -> None:
        for run_s in (math.inf, math.nan, 1e308, 0.0, -1.0):
            self.assertGreaterEqual(self.find(41.0, run_s=run_s), 0.0)
        for cores in (math.inf, 1e308):
            self.assertGreater(self.find(cores), 1e3)

    def test_what_is_unknown_comes_free_as_the_rest(self) -> None:
        timeline = self.make_timeline(WorkerAvailability(0, [], 40_000))
        self.assertEqual(0.5, timeline.known_share)
        self.assertAlmostEqual(0.5, timeline.get_pooled_start_s(80.0, run_s=0.2), places=1)

    def test_one_worker_must_have_room_for_one_task(self) -> None:
        timeline = self.make_timeline(WorkerAvailability(1000, [CapacityStep(0.1, 0.1, 1000)]))
        self.assertEqual(0.1, timeline.get_single_worker_start_s(2000))
        self.assertEqual(0.5, timeline.get_single_worker_start_s(CPU))
        self.assertEqual(math.inf, timeline.get_single_worker_start_s(CPU + 1))

    def test_a_worker_of_unknown_room_may_have_it_at_once(self) -> None:
        self.assertEqual(
            0.0, self.make_timeline(WorkerAvailability(0, [], CPU)).get_single_worker_start_s(CPU)
        )

    def test_nothing_is_known(self) -> None:
        timeline = CapacityTimeline([WorkerAvailability(0, [], CPU)])
        self.assertEqual(
            (0.0, math.inf), (timeline.known_share, timeline.get_pooled_start_s(1.0, run_s=0.2))
        )
