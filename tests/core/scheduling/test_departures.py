"""Departures at short notice: which runs an owner moves before they are lost."""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import (
    Action,
    CapacityReport,
    DepartureRisk,
    EndReason,
    FastestPlacement,
    LoadPolicy,
    PriorityOrder,
    RunMoved,
    Scheduler,
    SchedulerLimits,
    StartTask,
)
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_finished,
    get_starts,
    get_stops,
    make_job,
    make_queue,
    make_step,
)

NOTICE_S = 2.0
LONG_S = 4.0
KEY = TaskKey(0, 0)
INVALID_S = (float("nan"), float("inf"), -1.0, 1e9)


class DepartureTestCase(SchedulerTestCase):
    policy = LoadPolicy(plans_departures=True)

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=self.policy,
        )

    def report(self, name: str, cpu: int, *, now: float, is_accepting: bool = True) -> list[Action]:
        """Report the free CPU of a worker, with all starts so far accounted for."""
        free = Resources(cpu=cpu, memory_mb=65536)
        report = CapacityReport(seen=1000, free=free, is_accepting=is_accepting)
        return self.scheduler.update_worker(name, report, now=now)

    def submit_long(
        self, job_id: str = "a", *, count: int = 1, now: float = 10.0
    ) -> list[StartTask]:
        job = make_job(job_id, make_step(count, estimate_s=LONG_S))
        return get_starts(self.scheduler.submit(job, now=now))

    def report_departure(self, name: str = "w1", *, now: float, in_s: float = NOTICE_S) -> None:
        self.scheduler.note_departure(name, in_s, now=now)
        self.report(name, 3000, now=now, is_accepting=False)

    def report_risk(
        self, start: StartTask, *, left_s: float, now: float, leaves_in_s: float = NOTICE_S
    ) -> list[Action]:
        report = DepartureRisk(left_s=left_s, leaves_in_s=leaves_in_s)
        return self.scheduler.note_departure_risk(
            start.worker, start.job.id, start.task, start.run, report, now=now
        )

    def start_on_leaving_worker(self, *, count: int = 1, free_cpu: int = 4000) -> list[StartTask]:
        """Start runs on w1, which announces its departure 0.3 s later, when w2 has ``free_cpu``."""
        self.add_worker("w1")
        starts = self.submit_long(count=count)
        self.add_worker("w2")
        self.report("w2", free_cpu, now=10.3)
        self.report_departure(now=10.3)
        return starts


class NoticeTests(DepartureTestCase):
    def test_a_run_is_moved_if_another_worker_has_capacity(self) -> None:
        (start,) = self.start_on_leaving_worker()
        actions = self.report_risk(start, left_s=3.7, now=10.3)
        (stop,) = get_stops(actions)
        self.assertEqual(("w1", "a", KEY, 1), (stop.worker, stop.job_id, stop.task, stop.run))
        (moved,) = [action for action in actions if isinstance(action, RunMoved)]
        self.assertEqual(("leaving", 1000), (moved.cause, moved.cpu))
        self.assertEqual([], get_starts(actions))

    def test_the_task_starts_again_only_after_its_end_is_confirmed(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.report_risk(start, left_s=3.7, now=10.3)
        self.assertEqual([], self.report("w2", 4000, now=10.32))
        self.assertEqual([], self.scheduler.tick(now=10.33))
        (second,) = get_starts(self.end(start, EndReason.STOPPED, now=10.35))
        self.assertEqual(("w2", 2), (second.worker, second.run))

    def test_without_capacity_a_run_is_kept_until_capacity_is_reported(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.assertEqual([], self.report_risk(start, left_s=3.7, now=10.3))
        self.assertEqual([], self.scheduler.tick(now=10.4))
        self.assertEqual(1, len(get_stops(self.report("w2", 1000, now=10.8))))

    def test_capacity_just_before_the_departure_is_too_late(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.assertEqual([], get_stops(self.report("w2", 1000, now=12.29)))

    def test_a_run_is_not_moved_for_an_insignificant_gain(self) -> None:
        """A move makes the job on time, but by a gain within the error of run times."""
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=12.0))
        self.add_worker("w2", now=12.0)
        self.report_departure(now=12.35, in_s=0.1)
        self.assertEqual([], self.report_risk(start, left_s=3.65, leaves_in_s=0.1, now=12.35))

    def test_queued_work_is_placed_before_moves(self) -> None:
        """A move must not take capacity that queued work could use."""
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        urgent = make_job("b", make_step(estimate_s=0.1), queue=make_queue(name="urgent"))
        self.scheduler.submit(urgent, now=10.4)
        actions = self.report("w2", 1000, now=10.5)
        self.assertEqual(["b"], [start.job.id for start in get_starts(actions)])
        self.assertEqual([], get_stops(actions))

    def test_capacity_for_one_run_moves_one_run(self) -> None:
        first, second = self.start_on_leaving_worker(count=2, free_cpu=1000)
        self.assertEqual(1, len(get_stops(self.report_risk(first, left_s=3.7, now=10.3))))
        self.assertEqual([], self.report_risk(second, left_s=3.7, now=10.3))
        self.assertEqual([], get_stops(self.report("w2", 1000, now=10.32)))

    def test_a_run_that_may_still_end_in_time_is_not_moved(self) -> None:
        """A worker may stay longer than the minimum time that it announces."""
        self.add_worker("w1")
        (start,) = self.submit_long()
        self.add_worker("w2")
        self.report_departure(now=12.5, in_s=1.2)
        self.assertEqual([], self.report_risk(start, left_s=1.5, leaves_in_s=1.2, now=12.5))

    def test_a_worker_that_stays_longer_keeps_its_runs(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", 0.0, now=12.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=12.6)))
        self.assertEqual([], get_stops(self.scheduler.tick(now=13.5)))

    def test_a_job_that_is_late_either_way_is_not_moved(self) -> None:
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=13.0))
        self.add_worker("w2", now=13.0)
        self.report_departure(now=14.0)
        self.assertEqual([], self.report_risk(start, left_s=3.0, now=14.0))

    def test_a_job_is_moved_if_it_would_otherwise_miss_its_late_limit(self) -> None:
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=24.0))
        self.add_worker("w2", now=24.0)
        self.report_departure(now=24.5)
        self.assertEqual(1, len(get_stops(self.report_risk(start, left_s=3.5, now=24.5))))

    def test_the_slack_of_dependent_steps_counts(self) -> None:
        """A single task would be late after a loss; with a dependent step its job is on time."""
        self.add_worker("w1", cpu=2000)
        (alone,) = self.submit_long()
        steps = (make_step(estimate_s=LONG_S), make_step(estimate_s=LONG_S, after=(0,)))
        (first,) = get_starts(self.scheduler.submit(make_job("b", *steps), now=10.0))
        self.add_worker("w2")
        self.report_departure(now=11.8, in_s=1.5)
        self.assertEqual([], self.report_risk(first, left_s=2.2, leaves_in_s=1.5, now=11.8))
        self.assertEqual(
            1, len(get_stops(self.report_risk(alone, left_s=2.2, leaves_in_s=1.5, now=11.8)))
        )


class StoppedRunTests(DepartureTestCase):
    def test_a_run_that_ends_before_its_stop_succeeds(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.report_risk(start, left_s=3.7, now=10.3)
        actions = self.end(start, EndReason.DONE, now=10.34)
        self.assertEqual(["succeeded"], [f.state.value for f in get_finished(actions)])
        self.assertEqual([], get_starts(actions))

    def test_a_task_is_moved_once(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.report_risk(start, left_s=3.7, now=10.3)
        (second,) = get_starts(self.end(start, EndReason.STOPPED, now=10.35))
        self.add_worker("w3")
        self.report_departure("w2", now=10.6)
        self.assertEqual([], self.report_risk(second, left_s=3.7, now=10.6))
        self.assertEqual([], get_stops(self.report("w3", 4000, now=10.7)))

    def test_a_report_on_an_earlier_run_moves_nothing(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.assertEqual([], self.report_risk(replace(start, run=7), left_s=3.7, now=10.3))
        self.assertEqual([], self.report_risk(replace(start, worker="w2"), left_s=3.7, now=10.3))

    def test_a_run_at_risk_on_a_lost_worker_is_not_duplicated(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.lose_worker("w1", now=10.5)
        self.assertEqual([], self.report("w2", 4000, now=10.6))
        self.assertEqual([], self.scheduler.tick(now=10.5 + LOST_RUN_S - 0.1))
        self.assertEqual(1, len(get_starts(self.scheduler.tick(now=10.5 + LOST_RUN_S))))

    def test_a_stopped_run_on_a_lost_worker_is_not_duplicated(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.lose_worker("w1", now=10.32)
        self.assertEqual([], self.scheduler.tick(now=10.32 + LOST_RUN_S - 0.1))
        self.assertEqual(1, len(get_starts(self.scheduler.tick(now=10.32 + LOST_RUN_S))))

    def test_a_cancelled_job_is_not_moved(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.cancel("a")
        self.assertEqual([], self.report("w2", 4000, now=10.4))


class ReportTests(DepartureTestCase):
    def test_a_withdrawn_departure_moves_nothing(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", None, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))
        self.assertIsNone(self.scheduler.workers["w1"].leaves_at)

    def test_a_run_that_is_expected_in_time_again_is_not_moved(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.report_risk(start, left_s=0.4, leaves_in_s=1.8, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))

    def test_a_later_departure_replaces_the_earlier_one(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report_risk(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", 3.6, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))

    def test_a_run_is_not_moved_to_its_own_worker(self) -> None:
        (start,) = self.start_on_leaving_worker(free_cpu=0)
        self.report("w1", 3000, now=10.3)
        self.assertEqual([], self.report_risk(start, left_s=3.7, now=10.3))

    def test_invalid_reports_are_ignored(self) -> None:
        (start,) = self.start_on_leaving_worker()
        leaves_at = self.scheduler.workers["w1"].leaves_at
        for reported_s in INVALID_S:
            self.assertEqual([], self.report_risk(start, left_s=reported_s, now=10.3))
            self.assertEqual(
                [], self.report_risk(start, left_s=3.7, leaves_in_s=reported_s, now=10.3)
            )
            self.scheduler.note_departure("w1", reported_s, now=10.3)
            self.assertEqual(leaves_at, self.scheduler.workers["w1"].leaves_at)
        self.assertEqual([], get_stops(self.scheduler.tick(now=10.4)))

    def test_reports_on_unknown_workers_and_runs_are_ignored(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.scheduler.note_departure("w9", NOTICE_S, now=10.3)
        for foreign in (replace(start, worker="w9"), replace(start, task=TaskKey(3, 9))):
            self.assertEqual([], self.report_risk(foreign, left_s=3.7, now=10.3))

    def test_a_report_on_a_run_of_a_staying_worker_is_ignored(self) -> None:
        self.add_worker("w1")
        (start,) = self.submit_long()
        self.add_worker("w2")
        self.assertEqual([], self.report_risk(start, left_s=3.7, now=10.3))


class DisabledTests(DepartureTestCase):
    policy = LoadPolicy()

    def test_nothing_is_moved_if_disabled(self) -> None:
        (start,) = self.start_on_leaving_worker()
        self.assertEqual([], self.report_risk(start, left_s=3.7, now=10.3))
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.4)))
