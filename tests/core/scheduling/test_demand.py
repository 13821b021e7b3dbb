"""Tests for the tracking of queued work at all entries."""

from __future__ import annotations

import math

import testtools

from dalemast.core.scheduling import LeastSlackOrder, LoadPolicy, QueuedDemand, Scheduler
from dalemast.core.scheduling.demand import (
    LIFETIME_INTERVALS,
    MAX_ENTRIES,
    MAX_NAME_LENGTH,
    MAX_ROWS,
    DemandTracker,
)
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.scheduler import SchedulerLimits
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_starts,
    make_job,
    make_queue,
    make_step,
)

INTERVAL_S = 0.25
URGENT, NORMAL = 0, 2
NOW = 10.0


def make_demand(**fields: object) -> QueuedDemand:
    values = {"service": "floor", "priority": NORMAL, "data_centre": "austin"}
    return QueuedDemand(**{**values, "jobs": 3, "core_s": 6.0, **fields})


class DemandTrackerTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = DemandTracker()
        self.tracker.set_renewal_interval(INTERVAL_S)

    def record(self, entry: str, *demand: QueuedDemand, now: float = NOW) -> bool:
        return self.tracker.record(entry, demand, now)

    def get_core_s_ahead(self, priority: int = NORMAL, now: float = NOW) -> float:
        return self.tracker.get_core_s_ahead("floor", priority, now)

    def get_by_data_centre(self, priority: int = NORMAL, now: float = NOW) -> dict[str, float]:
        return self.tracker.get_core_s_ahead_by_data_centre("floor", priority, now)

    def test_only_what_is_at_least_as_urgent_is_ahead(self) -> None:
        self.record("e2", make_demand(priority=URGENT, core_s=1.0), make_demand(core_s=10.0))
        self.record("e3", make_demand(priority=URGENT, core_s=0.5))
        self.record("e3", make_demand(priority=URGENT, core_s=0.5), make_demand(service="other"))
        self.assertEqual(1.5, self.get_core_s_ahead(URGENT))
        self.assertEqual(11.5, self.get_core_s_ahead(NORMAL))

    def test_totals_are_by_data_centre(self) -> None:
        self.record("e2", make_demand(priority=URGENT, core_s=1.0), make_demand(core_s=10.0))
        self.record("e3", make_demand(data_centre="waco", core_s=4.0))
        self.assertEqual({"austin": 11.0, "waco": 4.0}, self.get_by_data_centre())
        self.assertEqual({"austin": 1.0}, self.get_by_data_centre(URGENT))
        self.assertEqual({}, self.tracker.get_core_s_ahead_by_data_centre("other", NORMAL, NOW))

    def test_a_report_is_dropped_with_its_peer(self) -> None:
        self.record("e2", make_demand())
        self.record("e3", make_demand(core_s=1.0))
        self.tracker.forget("e2")
        self.tracker.forget("unknown")
        self.assertEqual(1.0, self.get_core_s_ahead())

    def test_the_report_of_a_paused_peer_loses_weight_and_expires(self) -> None:
        self.record("e2", make_demand(core_s=6.0))
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + INTERVAL_S))
        reduced = self.get_core_s_ahead(now=NOW + 2.25 * INTERVAL_S)
        self.assertAlmostEqual(3.0, reduced)
        expiry = NOW + LIFETIME_INTERVALS * INTERVAL_S
        self.assertEqual(0.0, self.get_core_s_ahead(now=expiry))
        self.assertAlmostEqual(3.0, self.get_by_data_centre(now=NOW + 2.25 * INTERVAL_S)["austin"])
        self.assertEqual({}, self.get_by_data_centre(now=expiry))
        self.assertEqual(["e2"], self.tracker.sweep(expiry))
        self.assertEqual(0, len(self.tracker))

    def test_a_renewed_report_keeps_its_weight(self) -> None:
        for number in range(20):
            self.record("e2", make_demand(core_s=6.0), now=NOW + number * INTERVAL_S)
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + 20 * INTERVAL_S))

    def test_reports_expire_later_with_a_longer_renewal_interval(self) -> None:
        self.tracker.set_renewal_interval(0.85)
        self.record("e2", make_demand(core_s=6.0))
        self.assertEqual(6.0, self.get_core_s_ahead(now=NOW + 0.9))

    def test_an_empty_report_is_not_stored(self) -> None:
        self.assertEqual(0.0, self.get_core_s_ahead())
        self.record("young")
        self.assertEqual(0, len(self.tracker))

    def test_a_report_replaces_all_rows_of_the_one_before(self) -> None:
        self.record("e2", make_demand(priority=URGENT), make_demand())
        self.record("e2", make_demand(core_s=2.0))
        self.assertEqual(0.0, self.get_core_s_ahead(URGENT))
        self.assertEqual(2.0, self.get_core_s_ahead())
        self.record("e2")
        self.assertEqual(0.0, self.get_core_s_ahead())

    def test_an_invalid_report_is_rejected_and_drops_the_one_before(self) -> None:
        absurd = [
            {"core_s": math.nan},
            {"core_s": math.inf},
            {"core_s": -1.0},
            {"core_s": 1e15},
            {"jobs": -1},
            {"jobs": 10**12},
            {"priority": -1},
            {"service": ""},
            {"service": "x" * (MAX_NAME_LENGTH + 1)},
            {"data_centre": "x" * (MAX_NAME_LENGTH + 1)},
        ]
        self.record("sound", make_demand(core_s=1.0))
        for fields in absurd:
            self.assertTrue(self.record("e2", make_demand()))
            self.assertFalse(self.record("e2", make_demand(), make_demand(**fields)), fields)
            self.assertEqual(1.0, self.get_core_s_ahead(), fields)

    def test_too_many_or_duplicate_rows_are_rejected(self) -> None:
        rows = [make_demand(service=f"s{number}") for number in range(MAX_ROWS + 1)]
        self.assertFalse(self.record("e2", *rows))
        self.assertFalse(self.record("e2", make_demand(), make_demand()))
        self.assertEqual(0, len(self.tracker))

    def test_a_report_on_another_service_does_not_count(self) -> None:
        self.assertTrue(self.record("e2", make_demand(service="unknown")))
        self.assertEqual(0.0, self.get_core_s_ahead())

    def test_the_number_of_entries_is_limited_and_expired_ones_are_evicted(self) -> None:
        for number in range(MAX_ENTRIES + 10):
            self.record(f"foreign-{number}", make_demand())
        self.assertEqual(MAX_ENTRIES, len(self.tracker))
        later = NOW + LIFETIME_INTERVALS * INTERVAL_S
        self.assertTrue(self.record("e2", make_demand(core_s=6.0), now=later))
        self.assertEqual(6.0, self.get_core_s_ahead(now=later))
        self.assertEqual(1, len(self.tracker))

    def test_reports_are_listed_with_their_age(self) -> None:
        self.record("e2", make_demand())
        (peer,) = self.tracker.list_peer_demand(NOW + 0.1)
        self.assertEqual("e2", peer.entry)
        self.assertAlmostEqual(0.1, peer.age_s)
        self.assertEqual((make_demand(),), peer.demand)


class OwnDemandTests(SchedulerTestCase):
    """An entry reports only jobs that have not started and can still be on time."""

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = self.make_sharing_scheduler(shares_demand=True)

    def make_sharing_scheduler(self, *, shares_demand: bool) -> Scheduler:
        return Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=LoadPolicy(shares_demand=shares_demand),
        )

    def fill_and_submit(self) -> None:
        """Fill the only worker with long tasks, then submit urgent and less urgent jobs."""
        self.add_worker("w1", cpu=4000)
        self.scheduler.submit(make_job("long", make_step(4, estimate_s=2.0)), now=NOW)
        for name, priority in (("a", URGENT), ("b", NORMAL), ("c", NORMAL)):
            queue = make_queue(name=f"draws-{priority}", priority=priority, slack_s=0.3)
            self.scheduler.submit(make_job(name, make_step(2), queue=queue), now=NOW)

    def test_queued_work_is_totalled_by_priority(self) -> None:
        self.fill_and_submit()
        urgent, normal = self.scheduler.get_demand(now=NOW)
        self.assertEqual(("floor", URGENT, 1), (urgent.service, urgent.priority, urgent.jobs))
        self.assertAlmostEqual(0.2, urgent.core_s)
        self.assertEqual((NORMAL, 2), (normal.priority, normal.jobs))
        self.assertAlmostEqual(0.4, normal.core_s)

    def test_jobs_that_have_started_or_can_only_be_late_are_left_out(self) -> None:
        self.fill_and_submit()
        self.assertEqual((), self.scheduler.get_demand(now=NOW + 1.0))
        self.scheduler.cancel("a")
        (normal,) = self.scheduler.get_demand(now=NOW)
        self.assertEqual(2, normal.jobs)

    def test_an_entry_without_queued_jobs_reports_nothing(self) -> None:
        self.add_worker("w1")
        self.assertEqual(1, len(get_starts(self.scheduler.submit(make_job("a"), now=NOW))))
        self.assertEqual((), self.scheduler.get_demand(now=NOW))

    def test_learned_run_times_are_used(self) -> None:
        self.fill_and_submit()
        before = self.scheduler.get_demand(now=NOW)[0].core_s
        for _ in range(20):
            self.scheduler._run_times.learn(queue="draws-0", declared_s=0.1, actual_s=0.3)
        self.assertGreater(self.scheduler.get_demand(now=NOW)[0].core_s, 2 * before)

    def test_peer_reports_are_recorded_and_dropped(self) -> None:
        self.scheduler.note_demand("e2", (make_demand(),), now=NOW)
        self.assertEqual(6.0, self.scheduler.demand.get_core_s_ahead("floor", NORMAL, NOW))
        self.scheduler.forget_demand("e2")
        self.assertEqual(0.0, self.scheduler.demand.get_core_s_ahead("floor", NORMAL, NOW))

    def test_nothing_is_reported_or_recorded_unless_enabled(self) -> None:
        self.scheduler = self.make_sharing_scheduler(shares_demand=False)
        self.fill_and_submit()
        self.assertEqual((), self.scheduler.get_demand(now=NOW))
        self.scheduler.note_demand("e2", (make_demand(),), now=NOW)
        self.assertEqual(0.0, self.scheduler.demand.get_core_s_ahead("floor", NORMAL, NOW))


class AbsurdRunTimeTests(SchedulerTestCase):
    """Guards against one job with an absurd run time that makes peers reject the whole report."""

    policy = LoadPolicy(shares_demand=True)

    def test_a_job_with_an_absurd_run_time_does_not_invalidate_the_report(self) -> None:
        self.scheduler.submit(make_job("normal"), now=NOW)
        for number, estimate_s in enumerate((math.nan, math.inf, -math.inf, -1.0, 1e15)):
            job = make_job(f"j{number}", make_step(estimate_s=estimate_s))
            self.scheduler.submit(job, now=NOW)
        demand = self.scheduler.get_demand(now=NOW)
        self.assertTrue(DemandTracker().record("e1", demand, NOW))
        self.assertGreaterEqual(sum(row.core_s for row in demand), 0.1)
