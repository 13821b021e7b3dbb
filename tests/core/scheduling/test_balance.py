"""Tests for the placement under uneven demand, lost data centres and racks in demand."""

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
"""Number of workers in each data centre."""
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
        self.make_owner(LoadPolicy(shares_demand=True))

    def make_owner(self, policy: LoadPolicy) -> None:
        """Create an owner with this policy, and add all workers."""
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=self.placement,
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=policy,
        )
        for data_centre in (NEAR, FAR, FARTHER):
            for number in range(WORKERS):
                self.add_worker_in(data_centre, number)

    def add_worker_in(self, data_centre: str, number: int) -> None:
        name = f"{data_centre}-{number}"
        view = WorkerView(
            name=name,
            service="floor",
            capacity=Resources(cpu=FULL, memory_mb=65536),
            labels=frozenset({f"rack-{name}"}),
            is_same_data_centre=data_centre == NEAR,
            data_centre=data_centre,
        )
        self.scheduler.add_worker(view, now=10.0)
        self.report(name, FULL)

    def report(self, name: str, cpu: int, *, now: float = 10.0) -> list:
        free = Resources(cpu=cpu, memory_mb=65536)
        report = CapacityReport(seen=10**6, free=free, is_accepting=True)
        return self.scheduler.update_worker(name, report, now=now)

    def set_free_cores(self, now: float = 10.0, **cores: int) -> None:
        """Report the free cores of each data centre, evenly divided among its workers."""
        for data_centre, free in cores.items():
            for number in range(WORKERS):
                self.report(f"{data_centre}-{number}", 1000 * free // WORKERS, now=now)

    def submit(self, *steps, now: float = 10.0) -> list[StartTask]:
        self.jobs += 1
        return get_starts(self.scheduler.submit(make_job(f"j{self.jobs}", *steps), now=now))

    def count_by_data_centre(self, starts: list[StartTask]) -> Counter[str]:
        return Counter(start.worker.partition("-")[0] for start in starts)


class WholeJobTests(BalanceTestCase):
    def test_a_job_that_fits_stays_in_the_same_data_centre(self) -> None:
        self.set_free_cores(austin=8, waco=16, dallas=16)
        self.assertEqual({NEAR: 8}, self.count_by_data_centre(self.submit(make_step(8))))

    def test_all_tasks_of_a_job_go_to_one_other_data_centre(self) -> None:
        self.set_free_cores(austin=6, waco=12, dallas=4)
        self.assertEqual({FAR: 8}, self.count_by_data_centre(self.submit(make_step(8))))

    def test_no_task_waits_while_any_worker_has_free_capacity(self) -> None:
        self.set_free_cores(austin=6, waco=2, dallas=4)
        counts = self.count_by_data_centre(self.submit(make_step(10)))
        self.assertEqual(10, counts.total())
        self.assertEqual(6, counts[NEAR])

    def test_later_steps_run_in_the_data_centre_of_the_job(self) -> None:
        self.set_free_cores(austin=2, waco=12, dallas=2)
        starts = self.submit(make_step(6), make_step(2, after=(0,)))
        self.set_free_cores(austin=16, waco=12, dallas=16)
        later = [get_starts(self.end(start, EndReason.DONE)) for start in starts]
        self.assertEqual({FAR: 2}, self.count_by_data_centre(later[-1]))

    def test_a_job_goes_where_its_data_is(self) -> None:
        step = make_step(4, data_rack=f"rack-{FAR}-1")
        starts = self.submit(step)
        self.assertEqual([f"{FAR}-1"] * 4, [start.worker for start in starts])


class PeakTests(BalanceTestCase):
    """Demand peaks at different times in each data centre."""

    def submit_many(self, count: int, *, width: int = 2) -> Counter[str]:
        counts: Counter[str] = Counter()
        for _ in range(count):
            counts += self.count_by_data_centre(self.submit(make_step(width)))
        return counts

    def test_work_spills_over_at_each_peak_and_returns(self) -> None:
        for _ in range(3):
            self.set_free_cores(austin=0, waco=16, dallas=1)
            self.assertEqual({FAR: 8}, self.submit_many(4))
            self.set_free_cores(austin=16, waco=1, dallas=16)
            self.assertEqual({NEAR: 8}, self.submit_many(4))

    def test_data_centres_of_equal_cost_share_the_work(self) -> None:
        self.set_free_cores(austin=0, waco=16, dallas=16)
        counts = self.submit_many(8)
        self.assertEqual(16, counts.total())
        self.assertGreater(min(counts[FAR], counts[FARTHER]), 0)

    def test_a_data_centre_with_more_free_capacity_gets_more(self) -> None:
        self.set_free_cores(austin=0, waco=16, dallas=4)
        counts = self.submit_many(8)
        self.assertGreater(counts[FAR], counts[FARTHER])

    def test_work_queued_in_the_same_data_centre_counts(self) -> None:
        """Other entries need the free capacity: 8 core-seconds on 16 cores, at 0.1 s a task."""
        self.report_demand(NEAR, core_s=8.0)
        self.assertNotIn(NEAR, self.submit_many(2))

    def test_work_queued_in_other_data_centres_counts(self) -> None:
        self.set_free_cores(austin=0, waco=16, dallas=16)
        self.report_demand(FAR, core_s=8.0)
        self.assertEqual({FARTHER: 16}, self.submit_many(8))

    def test_old_and_invalid_reports_and_those_of_lost_entries_do_not_count(self) -> None:
        self.report_demand(NEAR, core_s=8.0, now=8.0)
        self.report_demand(NEAR, core_s=float("nan"), entry="e2")
        self.report_demand(NEAR, core_s=-8.0, entry="e3")
        self.report_demand(NEAR, core_s=float("inf"), entry="e4")
        self.report_demand(NEAR, core_s=8.0, entry="e5", priority=3)
        self.report_demand(NEAR, core_s=8.0, entry="e6")
        self.scheduler.forget_demand("e6")
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def test_the_size_and_number_of_reports_are_limited(self) -> None:
        demand = tuple(
            self.make_demand(NEAR, core_s=8.0, priority=row) for row in range(MAX_ROWS + 1)
        )
        self.assertFalse(self.scheduler.note_demand("many", demand, now=10.0))
        self.assertEqual({NEAR: 4}, self.submit_many(2))
        for number in range(2 * MAX_ENTRIES):
            self.scheduler.note_demand(f"e{number}", demand[1:], now=10.0)
        self.assertEqual(MAX_ENTRIES, len(self.scheduler.demand))

    def test_an_expired_report_does_not_count(self) -> None:
        """The report is 0.8 s old; it expires after three renewal intervals."""
        self.report_demand(NEAR, core_s=8.0, now=9.2)
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def test_reports_are_ignored_unless_enabled(self) -> None:
        self.make_owner(LoadPolicy())
        self.report_demand(NEAR, core_s=8.0)
        self.assertEqual({NEAR: 4}, self.submit_many(2))

    def report_demand(
        self,
        data_centre: str,
        *,
        core_s: float,
        entry: str = "e1",
        priority: int = 0,
        now: float = 10.0,
    ) -> None:
        demand = self.make_demand(data_centre, core_s=core_s, priority=priority)
        self.scheduler.note_demand(entry, (demand,), now=now)

    def make_demand(self, data_centre: str, *, core_s: float, priority: int = 0) -> QueuedDemand:
        return QueuedDemand(
            service="floor", priority=priority, data_centre=data_centre, jobs=1, core_s=core_s
        )


class SpillOverTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.spill_over = SpillOver(far_penalty=FAR_PENALTY)

    def choose(self, near: float | None, far: float | None) -> str | None:
        costs = [(NEAR, near), (FAR, far)]
        options = [
            DataCentreOption(
                data_centre=data_centre,
                is_near=data_centre == NEAR,
                cost=cost,
                wait=0.0,
                free_cpu=1,
            )
            for data_centre, cost in costs
            if cost is not None
        ]
        return self.spill_over.choose("a", "floor", options, needs_rack_data=False)

    def test_small_differences_cause_no_oscillation(self) -> None:
        chosen = [self.choose(1.0 + FAR_PENALTY + 0.05 * (-1) ** n, 1.0) for n in range(10)]
        self.assertEqual([NEAR] * 10, chosen)

    def test_work_spills_over_for_a_gain_and_returns_without_one(self) -> None:
        self.assertEqual(FAR, self.choose(1.0 + FAR_PENALTY + SWITCH_GAIN + 0.01, 1.0))
        self.assertEqual(FAR, self.choose(1.0 + FAR_PENALTY + 0.01, 1.0))
        self.assertEqual(NEAR, self.choose(1.0 + FAR_PENALTY - 0.01, 1.0))
        self.assertEqual(NEAR, self.choose(1.0 + FAR_PENALTY + 0.01, 1.0))

    def test_the_only_data_centre_is_used(self) -> None:
        self.assertEqual(FAR, self.choose(None, 9.0))
        self.assertEqual(NEAR, self.choose(9.0, None))
        self.assertIsNone(self.choose(None, None))


class DescriptionTests(BalanceTestCase):
    def test_the_state_shows_where_jobs_go(self) -> None:
        self.set_free_cores(austin=0, waco=16, dallas=0)
        self.submit(make_step(4, data_rack=f"rack-{FAR}-0"))
        self.submit(make_step(4))
        state = self.placement.describe()
        self.assertEqual((["floor"], {FAR: 2}), (state["spilling"], state["planned"]))
        self.assertIn(f"rack-{FAR}-0", state["rack_loads"])


class LostDataCentreTests(BalanceTestCase):
    def test_an_evacuated_data_centre_is_avoided_and_used_again(self) -> None:
        self.scheduler.set_evacuated(frozenset({NEAR}), now=10.0)
        self.assertNotIn(NEAR, self.count_by_data_centre(self.submit(make_step(8))))
        self.scheduler.set_evacuated(frozenset(), now=11.0)
        self.assertEqual({NEAR: 8}, self.count_by_data_centre(self.submit(make_step(8))))

    def test_a_lost_data_centre_is_avoided(self) -> None:
        for number in range(WORKERS):
            self.scheduler.lose_worker(f"{NEAR}-{number}", now=10.0)
        counts = self.count_by_data_centre(self.submit(make_step(8)))
        self.assertEqual(1, len(counts))
        self.assertNotIn(NEAR, counts)

    def test_a_job_whose_data_centre_is_evacuated_restarts_in_another(self) -> None:
        self.set_free_cores(austin=0, waco=16, dallas=0)
        starts = self.submit(make_step(4))
        self.set_free_cores(austin=16, waco=16, dallas=16)
        self.scheduler.set_evacuated(frozenset({FAR}), now=10.0)
        again = [start for s in starts for start in get_starts(self.end(s, EndReason.STOPPED))]
        self.assertEqual({NEAR: 4}, self.count_by_data_centre(again))


class HotRackTests(BalanceTestCase):
    """Most jobs have their data on one rack, and take three times as long on others."""

    remote_factor = 3.0
    hot = f"rack-{NEAR}-0"

    def make_hot(self) -> None:
        for _ in range(4):
            self.submit(make_step(1, data_rack=self.hot))

    def test_capacity_is_kept_there_while_other_racks_have_some(self) -> None:
        self.make_hot()
        starts = self.submit(make_step(4))
        self.assertNotIn(f"{NEAR}-0", {start.worker for start in starts})

    def test_tasks_that_need_the_rack_get_it(self) -> None:
        self.make_hot()
        starts = self.submit(make_step(4, data_rack=self.hot))
        self.assertEqual({f"{NEAR}-0"}, {start.worker for start in starts})

    def test_no_task_waits_to_keep_a_rack_free(self) -> None:
        self.make_hot()
        self.set_free_cores(austin=8, waco=0, dallas=0)
        self.assertEqual(8, len(self.submit(make_step(8))))

    def test_the_demand_decays(self) -> None:
        self.make_hot()
        self.set_free_cores(austin=16, waco=16, dallas=16)
        workers = list(self.scheduler.workers.values())
        loads = self.placement._racks.get_loads("floor", workers, now=10.0 + 40 * HALF_LIFE_S)
        self.assertEqual({}, loads)

    def test_the_number_of_racks_is_limited(self) -> None:
        demand = RackDemand()
        for number in range(MAX_RACKS + 50):
            request = make_job(f"j{number}", make_step(1, data_rack=f"r{number}"))
            demand.note_job(request, RunTimes(), now=10.0)
        self.assertLessEqual(len(demand._services["floor"].by_rack), MAX_RACKS)


class FullWorkersTests(BalanceTestCase):
    """Many jobs wait, and the only worker with free capacity is eligible for none of them."""

    def test_jobs_without_an_eligible_worker_are_not_planned(self) -> None:
        self.set_free_cores(austin=0, waco=0, dallas=0)
        label = f"rack-{NEAR}-0"
        for _ in range(20):
            self.submit(make_step(4, label=label))
        with mock.patch.object(self.placement, "plan", wraps=self.placement.plan) as plan:
            self.report(f"{FAR}-0", FULL)
            self.assertEqual(0, plan.call_count)
            self.report(f"{NEAR}-0", 1000)
            self.assertEqual(1, plan.call_count)

    def test_full_workers_are_not_checked_for_each_job(self) -> None:
        self.set_free_cores(austin=0, waco=0, dallas=0)
        for _ in range(20):
            self.submit(make_step(4, label=f"rack-{NEAR}-0"))
        with mock.patch.object(
            choices, "_has_capacity", wraps=choices._has_capacity
        ) as has_capacity:
            self.report(f"{FAR}-0", FULL)
        checked = {call.args[2].name for call in has_capacity.call_args_list}
        self.assertEqual({f"{FAR}-0"}, checked)
        self.assertEqual(20, has_capacity.call_count, "once for each job, whose tasks are alike")

    def test_other_tasks_of_a_step_may_use_a_worker_that_one_task_avoids(self) -> None:
        self.set_free_cores(austin=0, waco=0, dallas=0)
        self.submit(make_step(2))
        (job,) = self.scheduler.open_jobs.values()
        first, second = job.waiting
        first.avoided.add(f"{FAR}-0")
        (start,) = get_starts(self.report(f"{FAR}-0", 1000))
        self.assertEqual(second.key, start.task)
