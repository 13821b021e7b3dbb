"""Forecasts at arrival: what surely waits in vain is refused at once, and nothing else is."""

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
"""How long the runs of the long jobs take; an urgent one must begin within 0.095 s."""
NOW = 10.0
LOOK_S = 0.03
"""After this the room is looked at again."""


def make_urgent(job_id: str, *, count: int = 1) -> JobRequest:
    return make_job(job_id, make_step(count), queue=URGENT)


def make_long(job_id: str, *, count: int = 1) -> JobRequest:
    return make_job(job_id, make_step(count, estimate_s=LONG_S), queue=LONG)


class FakeDemand:
    """What other entries have waiting, as this test says."""

    def __init__(self) -> None:
        self.core_s: float = 0.0
        self.asked: list[tuple[str, int]] = []

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        self.asked.append((service, priority))
        return self.core_s


class ForecastTestCase(SchedulerTestCase):
    """Ten workers of four cores; what runs there is other owners' unless a test begins it here."""

    policy = LoadPolicy(forecasts=True)
    workers = 10

    def setUp(self) -> None:
        self.elsewhere = FakeDemand()
        super().setUp()
        for number in range(self.workers):
            self.add_worker(f"w{number}", now=NOW - 1.0)

    def make_scheduler(self, **values: object) -> object:
        return super().make_scheduler(order=PriorityOrder(), elsewhere=self.elsewhere, **values)

    def fill(self, *, in_s: float = LONG_S, told_at: float = NOW, is_told: bool = True) -> None:
        """Let other owners' long runs hold all room, and agents tell when they end."""
        for number in range(self.workers):
            self.fill_worker(f"w{number}", in_s=in_s, told_at=told_at, is_told=is_told)

    def fill_worker(
        self, name: str, *, in_s: float, told_at: float = NOW, is_told: bool = True
    ) -> None:
        full = Resources(cpu=0, memory_mb=65536)
        report = CapacityReport(seen=0, free=full, is_accepting=True)
        self.scheduler.update_worker(name, report, now=told_at)
        if is_told:
            self.tell(name, CapacityRelease(in_s=in_s, cpu=4000), told_at=told_at)

    def tell(self, name: str, *rows: CapacityRelease, told_at: float = NOW) -> None:
        self.scheduler.note_capacity_releases(name, rows, now=told_at)

    def arrive(self, job: JobRequest, *, now: float = NOW) -> JobRefused | None:
        """Return the refusal of a job as it arrives, or None if it is kept."""
        refused = get_refused(self.scheduler.submit(job, now=now))
        return refused[0] if refused else None


class BurstOfLongJobsTests(ForecastTestCase):
    """Long runs hold all room as an urgent job arrives."""

    def test_what_surely_waits_in_vain_is_refused_at_once(self) -> None:
        self.fill()
        refused = self.arrive(make_urgent("a"))
        self.assertEqual(("a", 0.0), (refused.job.id, refused.waited_s))
        self.assertNotIn("a", self.scheduler.open_jobs)
        self.assertAlmostEqual(LONG_S, refused.forecast.begin_s)

    def test_it_is_kept_if_one_of_the_workers_frees_room_in_time(self) -> None:
        self.fill()
        self.fill_worker("w3", in_s=0.03)
        self.assertIsNone(self.arrive(make_urgent("a")))
        room = CapacityReport(seen=0, free=Resources(cpu=4000, memory_mb=65536), is_accepting=True)
        (start,) = get_starts(self.scheduler.update_worker("w3", room, now=NOW + 0.03))
        self.assertEqual("a", start.job.id)

    def test_a_job_that_has_the_time_waits(self) -> None:
        self.fill(in_s=0.5)
        self.assertIsNone(self.arrive(make_long("a")))

    def test_this_owners_own_runs_are_known_without_a_word(self) -> None:
        for number in range(self.workers):
            self.scheduler.submit(make_long(f"long-{number}", count=4), now=NOW)
        self.assertIsNotNone(self.arrive(make_urgent("a")))
        self.assertIsNone(self.arrive(make_urgent("b"), now=NOW + LONG_S - 0.05))

    def test_without_the_setting_it_waits(self) -> None:
        self.policy = LoadPolicy()
        self.scheduler = self.make_scheduler()
        self.add_worker("w0", now=NOW - 1.0)
        self.fill_worker("w0", in_s=LONG_S)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_room_that_preemption_may_win_counts_as_free(self) -> None:
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
        """Its tasks ended workers under its earlier submission, and now nothing is free either."""
        for number in range(3):
            row = CrashedTask(job_id="bad", task=TaskKey(0, 0), age_s=0.1 + number)
            self.scheduler.note_crash(f"earlier-{number}", [row], now=NOW - 0.5)
        self.fill()
        actions = self.scheduler.submit(make_urgent("bad"), now=NOW)
        self.assertEqual(["failed"], [end.state.value for end in get_finished(actions)])
        self.assertEqual([], get_refused(actions) + get_starts(actions))

    def test_workers_that_have_shrunk_to_nothing_may_win_none(self) -> None:
        self.policy = LoadPolicy(forecasts=True, preempts=True)
        for cpu in (0, -1000):
            self.scheduler = self.make_scheduler()
            self.add_worker("w0", now=NOW - 1.0)
            self.scheduler.submit(make_long("long"), now=NOW - 0.1)
            self.scheduler.resize_worker("w0", Resources(cpu=cpu, memory_mb=65536))
            self.fill_worker("w0", in_s=LONG_S)
            self.assertIsNone(self.arrive(make_urgent("a")))


class WorkAheadTests(ForecastTestCase):
    """Room comes free in time, and others that are as urgent use it."""

    def test_what_waits_here(self) -> None:
        """After 0.05 s 40 tasks begin, after 0.15 s 40 more, and the next after 0.25 s."""
        self.fill(in_s=0.05)
        for number in range(20):
            self.assertIsNone(self.arrive(make_urgent(f"first-{number}", count=4)))
        refused = self.arrive(make_urgent("next"))
        self.assertAlmostEqual(8.0, refused.forecast.here_core_s)
        self.assertIsNone(self.arrive(make_long("long")))

    def test_what_waits_elsewhere(self) -> None:
        self.fill(in_s=0.05)
        self.elsewhere.core_s = 100.0
        refused = self.arrive(make_urgent("a"))
        self.assertEqual(100.0, refused.forecast.elsewhere_core_s)
        self.assertEqual([("floor", 0)], self.elsewhere.asked[:1])

    def test_less_urgent_work_does_not_count(self) -> None:
        self.fill(in_s=0.05)
        for number in range(50):
            self.scheduler.submit(make_long(f"long-{number}"), now=NOW)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_another_services_work_does_not_count(self) -> None:
        self.fill(in_s=0.05)
        queue = make_queue(name="urgent", service="maps")
        for number in range(100):
            job = make_job(f"other-{number}", make_step(8), queue=queue)
            self.scheduler.submit(job, now=NOW)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_a_word_that_is_no_number_counts_as_none(self) -> None:
        self.fill(in_s=0.05)
        for core_s in (math.nan, math.inf, -math.inf, -1e9):
            self.elsewhere.core_s = core_s
            self.assertIsNone(self.arrive(make_urgent(f"a{core_s}")))


class DoubtfulWordsTests(ForecastTestCase):
    """Nothing is refused at arrival by words that are missing, old or absurd."""

    def test_no_word(self) -> None:
        self.fill(is_told=False)
        self.assertIsNone(self.arrive(make_urgent("a")))
        self.assertEqual(1, len(get_refused(self.scheduler.tick(now=NOW + 0.2))))

    def test_an_old_word(self) -> None:
        self.fill(in_s=60.0, told_at=NOW - 0.9)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_a_word_of_the_future(self) -> None:
        self.fill(told_at=NOW + 5.0)
        self.assertIsNone(self.arrive(make_urgent("a"), now=NOW))

    def test_one_worker_without_a_word_may_free_its_room_at_once(self) -> None:
        self.fill()
        self.fill_worker("w7", in_s=0.0, is_told=False)
        self.tell("w7")
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_absurd_times(self) -> None:
        self.fill()
        for number, in_s in enumerate((math.nan, math.inf, -1.0)):
            self.tell("w5", CapacityRelease(in_s=in_s, cpu=4000))
            at = NOW + number * LOOK_S
            self.assertIsNone(self.arrive(make_urgent(f"a{in_s}"), now=at))
            self.scheduler.cancel(f"a{in_s}")

    def test_absurd_room(self) -> None:
        self.fill()
        self.elsewhere.core_s = 1000.0
        for number in range(self.workers):
            self.tell(f"w{number}", CapacityRelease(in_s=LONG_S, cpu=10**12))
        self.assertAlmostEqual(40.0, self.arrive(make_urgent("a")).forecast.cores)
        for number in range(self.workers):
            self.tell(f"w{number}", CapacityRelease(in_s=LONG_S, cpu=-(10**12)))
        self.elsewhere.core_s = 0.0
        self.assertIsNone(self.arrive(make_urgent("b"), now=NOW + LOOK_S))

    def test_an_absurd_run_time_that_a_caller_declares(self) -> None:
        """It may go ahead of others for ever, and holds nobody up in working that out."""
        self.fill(in_s=0.05)
        for number, estimate_s in enumerate((1e308, math.inf, math.nan, 0.0)):
            step = make_step(1000, estimate_s=estimate_s)
            self.scheduler.submit(make_job(f"absurd{number}", step, queue=URGENT), now=NOW)
            self.arrive(make_urgent(f"a{number}"))
        self.assertLessEqual(len(self.scheduler.open_jobs), 8)

    def test_an_absurd_length_does_not_make_a_look_at_the_room_serve_for_long(self) -> None:
        self.fill()
        step = make_step(estimate_s=1e9)
        self.assertIsNone(self.arrive(make_job("a", step, queue=LONG)))
        job = self.scheduler.open_jobs["a"]
        later = NOW + 2 * MAX_REUSE_S
        self.fill(in_s=1000.0, told_at=later)
        forecast = self.scheduler._forecasts.expect(job, now=later)
        self.assertAlmostEqual(1000.0, forecast.begin_s)

    def test_a_service_without_workers(self) -> None:
        queue = make_queue(service="maps")
        self.assertIsNone(self.arrive(make_job("a", queue=queue)))


class YoungOwnerTests(ForecastTestCase):
    """It has just started and is still finding workers."""

    def test_it_keeps_what_it_does_not_know_to_be_in_vain(self) -> None:
        self.fill(told_at=1.0)
        self.assertIsNone(self.arrive(make_urgent("a"), now=1.0))


class ForecastErrsTests(ForecastTestCase):
    """Run times are off, so that room comes sooner or later than was told."""

    def test_room_that_is_told_for_a_little_too_late_is_waited_for(self) -> None:
        self.fill(in_s=0.12)
        self.assertIsNone(self.arrive(make_urgent("a")))

    def test_room_that_comes_sooner_is_used_by_the_next(self) -> None:
        self.fill()
        self.assertIsNotNone(self.arrive(make_urgent("a")))
        room = CapacityReport(seen=0, free=Resources(cpu=4000, memory_mb=65536), is_accepting=True)
        self.scheduler.update_worker("w0", room, now=NOW + 0.05)
        (start,) = get_starts(self.scheduler.submit(make_urgent("b"), now=NOW + 0.05))
        self.assertEqual("w0", start.worker)

    def test_room_that_comes_later_leads_to_the_present_rule(self) -> None:
        self.fill(in_s=0.05)
        self.assertIsNone(self.arrive(make_urgent("a")))
        (refused,) = get_refused(self.scheduler.tick(now=NOW + 0.2))
        self.assertEqual("a", refused.job.id)

    def test_a_job_is_refused_as_not_run_only_if_no_agent_took_a_start(self) -> None:
        (start,) = get_starts(self.scheduler.submit(make_urgent("a"), now=NOW))
        self.fill()
        self.assertEqual([], get_refused(self.end(start, EndReason.STOPPED, now=NOW + 0.5)))
        self.assertEqual([], get_refused(self.scheduler.tick(now=NOW + 5.0)))

    def test_a_label_that_no_worker_in_reach_has_leads_to_the_present_rule(self) -> None:
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
