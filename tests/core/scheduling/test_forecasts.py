"""Tests for forecasts: only jobs that would certainly start too late are refused on arrival."""

from __future__ import annotations

import math

from dalemast.core.scheduling import (
    CapacityRelease,
    CapacityReport,
    EndReason,
    JobRefused,
    LoadPolicy,
    PriorityOrder,
    WorkerView,
)
from dalemast.core.scheduling.crashes import CrashedTask
from dalemast.core.scheduling.forecasts import MAX_REUSE_S
from dalemast.core.workloads import (
    JobRequest,
    Resources,
    TaskKey,
)
from tests.core.scheduling.base import (
    SchedulerTestCase,
    get_finished,
    get_refused,
    get_starts,
    make_job,
    make_queue,
    make_step,
)

URGENT = make_queue(name="urgent", priority=0)
LONG = make_queue(name="long", priority=2)
LONG_S = 1.8
"""Run time of the long jobs, in seconds; an urgent one must start within 0.095 s."""
NOW = 10.0
REFRESH_S = 0.03
"""Time after which a cached timeline is not reused, in seconds."""


def make_urgent(job_id: str, *, count: int = 1) -> JobRequest:
    return make_job(job_id, make_step(count), queue=URGENT)


def make_long(job_id: str, *, count: int = 1) -> JobRequest:
    return make_job(job_id, make_step(count, estimate_s=LONG_S), queue=LONG)


class FakeDemand:
    """Queued work of other entries, set by the test."""

    def __init__(self) -> None:
        self.core_s: float = 0.0
        self.calls: list[tuple[str, int]] = []

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        self.calls.append((service, priority))
        return self.core_s


class ForecastTestCase(SchedulerTestCase):
    """Ten workers with four cores each, for runs of other owners and of this one."""

    policy = LoadPolicy(forecasts=True)
    workers = 10

    def setUp(self) -> None:
        self.elsewhere = FakeDemand()
        super().setUp()
        for number in range(self.workers):
            self.add_worker(f"w{number}", now=NOW - 1.0)

    def make_scheduler(self, **values: object) -> object:
        return super().make_scheduler(order=PriorityOrder(), elsewhere=self.elsewhere, **values)

    def fill(
        self, *, in_s: float = LONG_S, reported_at: float = NOW, is_reported: bool = True
    ) -> None:
        """Report all workers as full, and when the runs of other owners will end."""
        for number in range(self.workers):
            self.fill_worker(
                f"w{number}", in_s=in_s, reported_at=reported_at, is_reported=is_reported
            )

    def fill_worker(
        self, name: str, *, in_s: float, reported_at: float = NOW, is_reported: bool = True
    ) -> None:
        full = Resources(cpu=0, memory_mb=65536)
        report = CapacityReport(seen=0, free=full, is_accepting=True)
        self.scheduler.update_worker(name, report, now=reported_at)
        if is_reported:
            self.report_releases(
                name, CapacityRelease(in_s=in_s, cpu=4000), reported_at=reported_at
            )

    def report_releases(self, name: str, *rows: CapacityRelease, reported_at: float = NOW) -> None:
        self.scheduler.note_capacity_releases(name, rows, now=reported_at)

    def arrive(self, job: JobRequest, *, now: float = NOW) -> JobRefused | None:
        """Submit a job; return its refusal, or None if it is kept."""
        refused = get_refused(self.scheduler.submit(job, now=now))
        return refused[0] if refused else None


class FullWorkersTests(ForecastTestCase):
    """Long runs occupy all workers when an urgent job arrives."""

    def test_a_job_that_would_start_too_late_is_refused_on_arrival(self) -> None:
        self.fill()
        refused = self.arrive(make_urgent("a"))
        self.assertEqual(("a", 0.0), (refused.job.id, refused.waited_s))
        self.assertNotIn("a", self.scheduler.open_jobs)
        self.assertAlmostEqual(LONG_S, refused.forecast.begin_s)

    def test_it_is_kept_if_one_worker_releases_capacity_in_time(self) -> None:
        self.fill()
        self.fill_worker("w3", in_s=0.03)
        self.assertIsNone(self.arrive(make_urgent("a")))
        report = CapacityReport(
            seen=0, free=Resources(cpu=4000, memory_mb=65536), is_accepting=True
        )
        (start,) = get_starts(self.scheduler.update_worker("w3", report, now=NOW + 0.03))
        self.assertEqual("a", start.job.id)

    def test_a_job_with_enough_slack_waits(self) -> None:
        self.fill(in_s=0.5)
        self.assertIsNone(self.arrive(make_long("a")))

    def test_runs_of_this_owner_are_known_without_a_report(self) -> None:
        for number in range(self.workers):
            self.scheduler.submit(make_long(f"long-{number}", count=4), now=NOW)
        self.assertIsNotNone(self.arrive(make_urgent("a")))
        self.assertIsNone(self.arrive(make_urgent("b"), now=NOW + LONG_S - 0.05))

    def test_it_waits_unless_forecasts_are_enabled(self) -> None:
        self.policy = LoadPolicy()
        self.scheduler = self.make_scheduler()
        self.add_worker("w0", now=NOW - 1.0)
        self.fill_worker("w0", in_s=LONG_S)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_capacity_that_may_be_preempted_counts_as_free(self) -> None:
        self.policy = LoadPolicy(forecasts=True, preempts=True)
        self.scheduler = self.make_scheduler()
        self.add_worker("w0", now=NOW - 1.0)
        self.scheduler.submit(make_long("long", count=4), now=NOW - 0.1)
        self.fill_worker("w0", in_s=LONG_S)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_it_does_not_for_a_priority_that_may_not_preempt(self) -> None:
        self.policy = LoadPolicy(forecasts=True, preempts=True)
        self.scheduler = self.make_scheduler()
        self.add_worker("w0", now=NOW - 1.0)
        self.scheduler.submit(make_long("long", count=4), now=NOW - 0.1)
        self.fill_worker("w0", in_s=LONG_S)
        middle = make_queue(name="middle", priority=1)
        self.assertIsNotNone(self.arrive(make_job("a", queue=middle)))

    def test_a_job_that_is_given_up_as_it_arrives_is_neither_started_nor_refused(self) -> None:
        """Its tasks crashed workers in an earlier submission, and no capacity is free now."""
        for number in range(3):
            row = CrashedTask(job_id="bad", task=TaskKey(0, 0), age_s=0.1 + number)
            self.scheduler.note_crash(f"earlier-{number}", [row], now=NOW - 0.5)
        self.fill()
        actions = self.scheduler.submit(make_urgent("bad"), now=NOW)
        self.assertEqual(["failed"], [end.state.value for end in get_finished(actions)])
        self.assertEqual([], get_refused(actions) + get_starts(actions))

    def test_workers_without_capacity_cannot_be_preempted(self) -> None:
        self.policy = LoadPolicy(forecasts=True, preempts=True)
        for cpu in (0, -1000):
            self.scheduler = self.make_scheduler()
            self.add_worker("w0", now=NOW - 1.0)
            self.scheduler.submit(make_long("long"), now=NOW - 0.1)
            self.scheduler.resize_worker("w0", Resources(cpu=cpu, memory_mb=65536))
            self.fill_worker("w0", in_s=LONG_S)
            self.assertIsNone(self.arrive(make_urgent("a")))


class WorkAheadTests(ForecastTestCase):
    """Capacity is released in time, but needed by other jobs that are as urgent."""

    def test_waiting_work_of_this_entry(self) -> None:
        """40 tasks start after 0.05 s, 40 more after 0.15 s, and the next one after 0.25 s."""
        self.fill(in_s=0.05)
        for number in range(20):
            self.assertIsNone(self.arrive(make_urgent(f"first-{number}", count=4)))
        refused = self.arrive(make_urgent("next"))
        self.assertAlmostEqual(8.0, refused.forecast.here_core_s)
        self.assertIsNone(self.arrive(make_long("long")))

    def test_queued_work_of_other_entries(self) -> None:
        self.fill(in_s=0.05)
        self.elsewhere.core_s = 100.0
        refused = self.arrive(make_urgent("a"))
        self.assertEqual(100.0, refused.forecast.elsewhere_core_s)
        self.assertEqual([("floor", 0)], self.elsewhere.calls[:1])

    def test_less_urgent_work_does_not_count(self) -> None:
        self.fill(in_s=0.05)
        for number in range(50):
            self.scheduler.submit(make_long(f"long-{number}"), now=NOW)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_work_of_another_service_does_not_count(self) -> None:
        self.fill(in_s=0.05)
        queue = make_queue(name="urgent", service="maps")
        for number in range(100):
            job = make_job(f"other-{number}", make_step(8), queue=queue)
            self.scheduler.submit(job, now=NOW)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_reported_work_that_is_not_finite_counts_as_zero(self) -> None:
        self.fill(in_s=0.05)
        for core_s in (math.nan, math.inf, -math.inf, -1e9):
            self.elsewhere.core_s = core_s
            self.assertIsNone(self.arrive(make_urgent(f"a{core_s}")))


class DoubtfulReportsTests(ForecastTestCase):
    """Guards against refusals on arrival because of missing, old or absurd reports."""

    def test_no_report(self) -> None:
        self.fill(is_reported=False)
        self.assertIsNone(self.arrive(make_urgent("a")))
        self.assertEqual(1, len(get_refused(self.scheduler.tick(now=NOW + 0.2))))

    def test_an_old_report(self) -> None:
        self.fill(in_s=60.0, reported_at=NOW - 0.9)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_a_report_from_the_future(self) -> None:
        self.fill(reported_at=NOW + 5.0)
        self.assertIsNone(self.arrive(make_urgent("a"), now=NOW))

    def test_a_worker_without_a_report_may_release_capacity_at_once(self) -> None:
        self.fill()
        self.fill_worker("w7", in_s=0.0, is_reported=False)
        self.report_releases("w7")
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_absurd_times(self) -> None:
        self.fill()
        for number, in_s in enumerate((math.nan, math.inf, -1.0)):
            self.report_releases("w5", CapacityRelease(in_s=in_s, cpu=4000))
            at = NOW + number * REFRESH_S
            self.assertIsNone(self.arrive(make_urgent(f"a{in_s}"), now=at))
            self.scheduler.cancel(f"a{in_s}")

    def test_absurd_capacity(self) -> None:
        self.fill()
        self.elsewhere.core_s = 1000.0
        for number in range(self.workers):
            self.report_releases(f"w{number}", CapacityRelease(in_s=LONG_S, cpu=10**12))
        self.assertAlmostEqual(40.0, self.arrive(make_urgent("a")).forecast.cores)
        for number in range(self.workers):
            self.report_releases(f"w{number}", CapacityRelease(in_s=LONG_S, cpu=-(10**12)))
        self.elsewhere.core_s = 0.0
        self.assertIsNone(self.arrive(make_urgent("b"), now=NOW + REFRESH_S))

    def test_an_absurd_declared_run_time(self) -> None:
        """Guards against a forecast that takes forever for a job of endless work."""
        self.fill(in_s=0.05)
        for number, estimate_s in enumerate((1e308, math.inf, math.nan, 0.0)):
            step = make_step(1000, estimate_s=estimate_s)
            self.scheduler.submit(make_job(f"absurd{number}", step, queue=URGENT), now=NOW)
            self.arrive(make_urgent(f"a{number}"))
        self.assertLessEqual(len(self.scheduler.open_jobs), 8)

    def test_an_absurd_run_time_does_not_extend_the_reuse_of_a_timeline(self) -> None:
        self.fill()
        step = make_step(estimate_s=1e9)
        self.assertIsNone(self.arrive(make_job("a", step, queue=LONG)))
        job = self.scheduler.open_jobs["a"]
        later = NOW + 2 * MAX_REUSE_S
        self.fill(in_s=1000.0, reported_at=later)
        forecast = self.scheduler._forecasts.forecast(job, now=later)
        self.assertAlmostEqual(1000.0, forecast.begin_s)

    def test_a_service_without_workers(self) -> None:
        queue = make_queue(service="maps")
        self.assertIsNone(self.arrive(make_job("a", queue=queue)))


class StartingOwnerTests(ForecastTestCase):
    """An owner that has just started and does not know all workers yet."""

    def test_jobs_are_kept(self) -> None:
        self.fill(reported_at=1.0)
        self.assertIsNone(self.arrive(make_urgent("a"), now=1.0))


class InaccurateForecastTests(ForecastTestCase):
    """Run times are inaccurate, so capacity is released earlier or later than reported."""

    def test_a_job_waits_for_capacity_that_is_expected_slightly_too_late(self) -> None:
        self.fill(in_s=0.12)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_capacity_that_is_released_early_is_used_by_the_next_job(self) -> None:
        self.fill()
        self.assertIsNotNone(self.arrive(make_urgent("a")))
        report = CapacityReport(
            seen=0, free=Resources(cpu=4000, memory_mb=65536), is_accepting=True
        )
        self.scheduler.update_worker("w0", report, now=NOW + 0.05)
        (start,) = get_starts(self.scheduler.submit(make_urgent("b"), now=NOW + 0.05))
        self.assertEqual("w0", start.worker)

    def test_a_job_is_refused_later_if_capacity_is_released_late(self) -> None:
        self.fill(in_s=0.05)
        self.assertIsNone(self.arrive(make_urgent("a")))
        (refused,) = get_refused(self.scheduler.tick(now=NOW + 0.2))
        self.assertEqual("a", refused.job.id)

    def test_a_job_that_has_started_is_not_refused(self) -> None:
        (start,) = get_starts(self.scheduler.submit(make_urgent("a"), now=NOW))
        self.fill()
        self.assertEqual([], get_refused(self.end(start, EndReason.STOPPED, now=NOW + 0.5)))
        self.assertEqual([], get_refused(self.scheduler.tick(now=NOW + 5.0)))

    def test_a_job_whose_label_no_reachable_worker_has_waits(self) -> None:
        view = WorkerView(
            name="gone",
            service="floor",
            capacity=Resources(cpu=4000, memory_mb=65536),
            labels=frozenset({"gpu"}),
            is_same_data_centre=True,
        )
        self.scheduler.add_worker(view, now=NOW - 1.0)
        self.scheduler.lose_worker("gone", now=NOW - 0.5)
        self.fill()
        job = make_job("a", make_step(label="gpu"), queue=URGENT)
        self.assertIsNone(self.arrive(job))
