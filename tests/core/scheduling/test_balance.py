"""Uneven demand: waves with shifted phases, a data centre that is gone, and a hot rack."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import testtools

from dalemast.core.scheduling import (
    BalancedPlacement,
    CapacityReport,
    EndReason,
    LoadPolicy,
    PriorityOrder,
    QueuedDemand,
    Scheduler,
    SchedulerLimits,
    StartTask,
    WorkerView,
    choices,
)
from dalemast.core.scheduling.balance import (
    SWITCH_GAIN,
    DataCentreOption,
    SpillOver,
)
from dalemast.core.scheduling.demand import MAX_ENTRIES, MAX_ROWS
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.racks import (
    HALF_LIFE_S,
    MAX_RACKS,
    RackDemand,
)
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_starts,
    make_job,
    make_step,
)

FAR_PENALTY = 0.08
NEAR, FAR, FARTHER = "austin", "waco", "dallas"
WORKERS = 2
"""In each data centre."""
FULL = 8000


class BalanceTestCase(SchedulerTestCase):
    """An owner in austin, with workers of 8 cores in three data centres, each on its own rack."""

    remote_factor = 1.5

    def setUp(self) -> None:
        super().setUp()
        self.placement = BalancedPlacement(
            remote_factor=self.remote_factor, far_penalty=FAR_PENALTY
        )
        self.jobs = 0
        self.begin(LoadPolicy(shares_demand=True))

    def begin(self, policy: LoadPolicy) -> None:
        """Let an owner with this policy meet the workers."""
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=self.placement,
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=policy,
        )
        for place in (NEAR, FAR, FARTHER):
            for number in range(WORKERS):
                self.add_worker_in(place, number)

    def add_worker_in(self, place: str, number: int) -> None:
        name = f"{place}-{number}"
        view = WorkerView(
            name=name,
            service="floor",
            capacity=Resources(cpu=FULL, memory_mb=65536),
            labels=frozenset({f"rack-{name}"}),
            is_same_data_centre=place == NEAR,
            data_centre=place,
        )
        self.scheduler.add_worker(view, now=10.0)
        self.report(name, FULL)

    def report(self, name: str, cpu: int, *, now: float = 10.0) -> list:
        free = Resources(cpu=cpu, memory_mb=65536)
        report = CapacityReport(seen=10**6, free=free, is_accepting=True)
        return self.scheduler.update_worker(name, report, now=now)

    def set_room(self, now: float = 10.0, **cores: int) -> None:
        """Report how many cores are free in each data centre, evenly on its workers."""
        for place, free in cores.items():
            for number in range(WORKERS):
                self.report(f"{place}-{number}", 1000 * free // WORKERS, now=now)

    def submit(self, *steps, now: float = 10.0) -> list[StartTask]:
        self.jobs += 1
        return get_starts(self.scheduler.submit(make_job(f"j{self.jobs}", *steps), now=now))

    def count_places(self, starts: list[StartTask]) -> Counter[str]:
        return Counter(start.worker.partition("-")[0] for start in starts)


class WholeJobTests(BalanceTestCase):
    def test_a_job_that_fits_stays_near(self) -> None:
        self.set_room(austin=8, waco=16, dallas=16)
        self.assertEqual({NEAR: 8}, self.count_places(self.submit(make_step(8))))

    def test_a_job_crosses_the_border_whole(self) -> None:
        self.set_room(austin=6, waco=12, dallas=4)
        self.assertEqual({FAR: 8}, self.count_places(self.submit(make_step(8))))

    def test_nothing_waits_while_there_is_room_anywhere(self) -> None:
        self.set_room(austin=6, waco=2, dallas=4)
        places = self.count_places(self.submit(make_step(10)))
        self.assertEqual(10, places.total())
        self.assertEqual(6, places[NEAR])

    def test_later_steps_follow_their_job(self) -> None:
        self.set_room(austin=2, waco=12, dallas=2)
        starts = self.submit(make_step(6), make_step(2, after=(0,)))
        self.set_room(austin=16, waco=12, dallas=16)
        later = [get_starts(self.end(start, EndReason.DONE)) for start in starts]
        self.assertEqual({FAR: 2}, self.count_places(later[-1]))

    def test_a_job_goes_where_its_data_is(self) -> None:
        step = make_step(4, data_rack=f"rack-{FAR}-1")
        starts = self.submit(step)
        self.assertEqual([f"{FAR}-1"] * 4, [start.worker for start in starts])


class WaveTests(BalanceTestCase):
    """Demand rises and falls in each data centre, at its own time."""

    def submit_many(self, count: int, *, width: int = 2) -> Counter[str]:
        places: Counter[str] = Counter()
        for _ in range(count):
            places += self.count_places(self.submit(make_step(width)))
        return places

    def test_each_crest_spills_into_the_troughs_and_comes_back(self) -> None:
        for _ in range(3):
            self.set_room(austin=0, waco=16, dallas=1)
            self.assertEqual({FAR: 8}, self.submit_many(4))
            self.set_room(austin=16, waco=1, dallas=16)
            self.assertEqual({NEAR: 8}, self.submit_many(4))

    def test_what_spills_over_is_shared_by_those_that_are_alike(self) -> None:
        self.set_room(austin=0, waco=16, dallas=16)
        places = self.submit_many(8)
        self.assertEqual(16, places.total())
        self.assertGreater(min(places[FAR], places[FARTHER]), 0)

    def test_the_one_with_more_room_gets_more(self) -> None:
        self.set_room(austin=0, waco=16, dallas=4)
        places = self.submit_many(8)
        self.assertGreater(places[FAR], places[FARTHER])

    def test_work_that_waits_near_at_other_entries_counts(self) -> None:
        """The room that is seen here is theirs: 16 cores for 8 core-seconds, at 0.1 s a task."""
        self.tell(NEAR, core_s=8.0)
        self.assertNotIn(NEAR, self.submit_many(2))

    def test_work_that_waits_far_at_other_entries_counts(self) -> None:
        self.set_room(austin=0, waco=16, dallas=16)
        self.tell(FAR, core_s=8.0)
        self.assertEqual({FARTHER: 16}, self.submit_many(8))

    def test_old_and_absurd_words_and_those_of_lost_entries_do_not_count(self) -> None:
        self.tell(NEAR, core_s=8.0, now=8.0)
        self.tell(NEAR, core_s=float("nan"), entry="e2")
        self.tell(NEAR, core_s=-8.0, entry="e3")
        self.tell(NEAR, core_s=float("inf"), entry="e4")
        self.tell(NEAR, core_s=8.0, entry="e5", priority=3)
        self.tell(NEAR, core_s=8.0, entry="e6")
        self.scheduler.forget_demand("e6")
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def test_words_are_bounded(self) -> None:
        words = tuple(self.make_word(NEAR, core_s=8.0, priority=row) for row in range(MAX_ROWS + 1))
        self.assertFalse(self.scheduler.note_demand("many", words, now=10.0))
        self.assertEqual({NEAR: 4}, self.submit_many(2))
        for number in range(2 * MAX_ENTRIES):
            self.scheduler.note_demand(f"e{number}", words[1:], now=10.0)
        self.assertEqual(MAX_ENTRIES, len(self.scheduler.demand))

    def test_a_word_fades_as_it_does_for_forecasts(self) -> None:
        """It is 0.8 s old: of use to nobody after three pauses between renewals."""
        self.tell(NEAR, core_s=8.0, now=9.2)
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def test_without_shared_demand_nothing_is_believed(self) -> None:
        self.begin(LoadPolicy())
        self.tell(NEAR, core_s=8.0)
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def tell(
        self, place: str, *, core_s: float, entry: str = "e1", priority: int = 0, now: float = 10.0
    ) -> None:
        word = self.make_word(place, core_s=core_s, priority=priority)
        self.scheduler.note_demand(entry, (word,), now=now)

    def make_word(self, place: str, *, core_s: float, priority: int = 0) -> QueuedDemand:
        return QueuedDemand(
            service="floor", priority=priority, data_centre=place, jobs=1, core_s=core_s
        )


class SpillOverTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.spill_over = SpillOver(far_penalty=FAR_PENALTY)

    def choose(self, near: float | None, far: float | None) -> str | None:
        ways = [(NEAR, near), (FAR, far)]
        outlooks = [
            DataCentreOption(data_centre=place, is_near=place == NEAR, cost=cost, wait=0.0, room=1)
            for place, cost in ways
            if cost is not None
        ]
        return self.spill_over.choose("a", "floor", outlooks, is_bound=False)

    def test_small_differences_do_not_swing(self) -> None:
        turns = [self.choose(1.0 + FAR_PENALTY + 0.05 * (-1) ** n, 1.0) for n in range(10)]
        self.assertEqual([NEAR] * 10, turns)

    def test_it_turns_far_for_a_gain_and_back_without(self) -> None:
        self.assertEqual(FAR, self.choose(1.0 + FAR_PENALTY + SWITCH_GAIN + 0.01, 1.0))
        self.assertEqual(FAR, self.choose(1.0 + FAR_PENALTY + 0.01, 1.0))
        self.assertEqual(NEAR, self.choose(1.0 + FAR_PENALTY - 0.01, 1.0))
        self.assertEqual(NEAR, self.choose(1.0 + FAR_PENALTY + 0.01, 1.0))

    def test_what_is_there_is_used(self) -> None:
        self.assertEqual(FAR, self.choose(None, 9.0))
        self.assertEqual(NEAR, self.choose(9.0, None))
        self.assertIsNone(self.choose(None, None))


class DescriptionTests(BalanceTestCase):
    def test_operators_see_where_jobs_go(self) -> None:
        self.set_room(austin=0, waco=16, dallas=0)
        self.submit(make_step(4, data_rack=f"rack-{FAR}-0"))
        self.submit(make_step(4))
        state = self.placement.describe()
        self.assertEqual((["floor"], {FAR: 2}), (state["spilling"], state["planned"]))
        self.assertIn(f"rack-{FAR}-0", state["rack_loads"])


class GoneTests(BalanceTestCase):
    def test_an_evacuated_data_centre_is_left_and_used_again(self) -> None:
        self.scheduler.set_evacuated(frozenset({NEAR}), now=10.0)
        self.assertNotIn(NEAR, self.count_places(self.submit(make_step(8))))
        self.scheduler.set_evacuated(frozenset(), now=11.0)
        self.assertEqual({NEAR: 8}, self.count_places(self.submit(make_step(8))))

    def test_a_lost_data_centre_is_left(self) -> None:
        for number in range(WORKERS):
            self.scheduler.lose_worker(f"{NEAR}-{number}", now=10.0)
        places = self.count_places(self.submit(make_step(8)))
        self.assertEqual(1, len(places))
        self.assertNotIn(NEAR, places)

    def test_a_job_whose_data_centre_goes_begins_anew_in_another(self) -> None:
        self.set_room(austin=0, waco=16, dallas=0)
        starts = self.submit(make_step(4))
        self.set_room(austin=16, waco=16, dallas=16)
        self.scheduler.set_evacuated(frozenset({FAR}), now=10.0)
        again = [start for s in starts for start in get_starts(self.end(s, EndReason.STOPPED))]
        self.assertEqual({NEAR: 4}, self.count_places(again))


class HotRackTests(BalanceTestCase):
    """Most jobs have their data on one rack, and take three times as long elsewhere."""

    remote_factor = 3.0
    hot = f"rack-{NEAR}-0"

    def make_hot(self) -> None:
        for _ in range(4):
            self.submit(make_step(1, data_rack=self.hot))

    def test_room_is_kept_there_while_there_is_room_elsewhere(self) -> None:
        self.make_hot()
        starts = self.submit(make_step(4))
        self.assertNotIn(f"{NEAR}-0", {start.worker for start in starts})

    def test_those_that_want_it_get_it(self) -> None:
        self.make_hot()
        starts = self.submit(make_step(4, data_rack=self.hot))
        self.assertEqual({f"{NEAR}-0"}, {start.worker for start in starts})

    def test_nothing_waits_for_a_rack_to_be_kept(self) -> None:
        self.make_hot()
        self.set_room(austin=8, waco=0, dallas=0)
        self.assertEqual(8, len(self.submit(make_step(8))))

    def test_it_fades(self) -> None:
        self.make_hot()
        self.set_room(austin=16, waco=16, dallas=16)
        workers = list(self.scheduler.workers.values())
        loads = self.placement._racks.get_loads("floor", workers, now=10.0 + 40 * HALF_LIFE_S)
        self.assertEqual({}, loads)

    def test_racks_that_callers_name_are_bounded(self) -> None:
        demand = RackDemand()
        for number in range(MAX_RACKS + 50):
            request = make_job(f"j{number}", make_step(1, data_rack=f"r{number}"))
            demand.note_job(request, RunTimes(), now=10.0)
        self.assertLessEqual(len(demand._services["floor"].by_rack), MAX_RACKS)


class FullWorkersTests(BalanceTestCase):
    """Overload: many jobs wait, and the only room is on a worker that suits none of them."""

    def test_jobs_that_find_no_suiting_room_are_not_planned(self) -> None:
        self.set_room(austin=0, waco=0, dallas=0)
        label = f"rack-{NEAR}-0"
        for _ in range(20):
            self.submit(make_step(4, label=label))
        with mock.patch.object(self.placement, "plan", wraps=self.placement.plan) as plan:
            self.report(f"{FAR}-0", FULL)
            self.assertEqual(0, plan.call_count)
            self.report(f"{NEAR}-0", 1000)
            self.assertEqual(1, plan.call_count)

    def test_full_workers_are_looked_at_once_a_round(self) -> None:
        self.set_room(austin=0, waco=0, dallas=0)
        for _ in range(20):
            self.submit(make_step(4, label=f"rack-{NEAR}-0"))
        with mock.patch.object(choices, "_has_capacity", wraps=choices._has_capacity) as has_room:
            self.report(f"{FAR}-0", FULL)
        looked_at = {call.args[2].name for call in has_room.call_args_list}
        self.assertEqual({f"{FAR}-0"}, looked_at)
        self.assertEqual(20, has_room.call_count, "once for each job, whose tasks are alike")

    def test_a_task_that_avoids_the_room_keeps_none_of_its_step_from_it(self) -> None:
        self.set_room(austin=0, waco=0, dallas=0)
        self.submit(make_step(2))
        (job,) = self.scheduler.open_jobs.values()
        first, second = job.waiting
        first.avoided.add(f"{FAR}-0")
        (start,) = get_starts(self.report(f"{FAR}-0", 1000))
        self.assertEqual(second.key, start.task)
