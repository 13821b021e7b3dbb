"""Decisions of the scheduler: starts, ends, retries, refusals and lost runs."""

from __future__ import annotations

from dalemast.core.scheduling import CapacityReport, EndReason, JobState, RefusalCause, SlowRun
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import (
    LOST_RUN_S,
    RUN_S,
    SchedulerTestCase,
    get_finished,
    get_refused,
    get_starts,
    get_stops,
    make_job,
    make_queue,
    make_step,
)

OBJECTIVE_S = 0.22
"""Objective of the jobs below, in seconds."""


class StartTests(SchedulerTestCase):
    def test_all_tasks_start_while_there_is_capacity(self) -> None:
        self.add_worker("w1")
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(4)), now=10.0))
        self.assertEqual([TaskKey(0, n) for n in range(4)], [start.task for start in starts])
        self.assertEqual({1}, {start.run for start in starts})

    def test_capacity_is_reserved_before_the_agent_confirms(self) -> None:
        self.add_worker("w1", cpu=3000)
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(5)), now=10.0))
        self.assertEqual(3, len(starts))

    def test_a_report_without_a_start_does_not_free_its_capacity(self) -> None:
        self.add_worker("w1", cpu=2000)
        self.scheduler.submit(make_job("a", make_step(3)), now=10.0)
        report = CapacityReport(seen=1, free=Resources(cpu=1000, memory_mb=1000), is_accepting=True)
        self.assertEqual([], get_starts(self.scheduler.update_worker("w1", report, now=10.0)))

    def test_a_worker_of_another_service_is_not_used(self) -> None:
        self.add_worker("w1", service="other")
        self.assertEqual([], get_starts(self.scheduler.submit(make_job("a"), now=10.0)))

    def test_a_label_is_required(self) -> None:
        self.add_worker("w1")
        self.add_worker("w2", labels=("gpu",))
        job = make_job("a", make_step(2, label="gpu"))
        starts = get_starts(self.scheduler.submit(job, now=10.0))
        self.assertEqual({"w2"}, {start.worker for start in starts})

    def test_a_step_is_spread_over_workers(self) -> None:
        self.add_worker("w1")
        self.add_worker("w2")
        job = make_job("a", make_step(4, max_per_worker=1))
        starts = get_starts(self.scheduler.submit(job, now=10.0))
        self.assertEqual(["w1", "w2"], sorted(start.worker for start in starts))

    def test_a_dependent_step_waits_for_all_tasks_of_the_earlier(self) -> None:
        self.add_worker("w1")
        job = make_job("a", make_step(2), make_step(1, after=(0,)))
        first, second = get_starts(self.scheduler.submit(job, now=10.0))
        self.assertEqual([], get_starts(self.end(first, EndReason.DONE)))
        starts = get_starts(self.end(second, EndReason.DONE))
        self.assertEqual([TaskKey(1, 0)], [start.task for start in starts])

    def test_a_worker_in_the_same_data_centre_is_preferred(self) -> None:
        self.add_worker("far", is_same_data_centre=False)
        self.add_worker("near")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.assertEqual("near", start.worker)


class EndTests(SchedulerTestCase):
    def test_the_last_end_finishes_the_job(self) -> None:
        self.add_worker("w1")
        first, second = get_starts(self.scheduler.submit(make_job("a", make_step(2)), now=10.0))
        self.assertEqual([], get_finished(self.end(first, EndReason.DONE)))
        (finished,) = get_finished(self.end(second, EndReason.DONE))
        self.assertIs(JobState.SUCCEEDED, finished.state)

    def test_the_objective_of_a_finished_job_follows_its_actual_run_time(self) -> None:
        """A job must not count as late only because its declared time was too short."""
        self.add_worker("w1")
        declared = make_step(estimate_s=0.01)
        (start,) = get_starts(self.scheduler.submit(make_job("a", declared), now=10.0))
        (finished,) = get_finished(self.end(start, EndReason.DONE))
        self.assertLess(RUN_S, finished.objective_s)

    def test_a_failed_run_is_retried_elsewhere(self) -> None:
        self.add_worker("w1")
        self.add_worker("w2")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        (again,) = get_starts(self.end(start, EndReason.FAILED))
        self.assertNotEqual(start.worker, again.worker)
        self.assertEqual(2, again.run)

    def test_a_failed_task_waits_for_capacity_on_another_worker(self) -> None:
        self.add_worker("w1")
        self.add_worker("w2", cpu=1000)
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(5)), now=10.0))
        failed = next(start for start in starts if start.worker == "w1")
        self.assertEqual([], get_starts(self.end(failed, EndReason.FAILED)))
        done = next(start for start in starts if start.worker == "w2")
        self.end(done, EndReason.DONE)
        report = CapacityReport(
            seen=done.number, free=Resources(cpu=1000, memory_mb=1000), is_accepting=True
        )
        (again,) = get_starts(self.scheduler.update_worker("w2", report, now=10.2))
        self.assertEqual((failed.task, "w2"), (again.task, again.worker))

    def test_failures_up_to_the_limit_fail_the_job_and_stop_the_rest(self) -> None:
        self.add_worker("w1")
        first, other = get_starts(self.scheduler.submit(make_job("a", make_step(2)), now=10.0))
        (again,) = get_starts(self.end(first, EndReason.FAILED))
        actions = self.end(again, EndReason.FAILED)
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)
        self.assertEqual([other.task], [stop.task for stop in get_stops(actions)])

    def test_a_stopped_run_counts_as_no_failure(self) -> None:
        self.add_worker("w1")
        job = make_job("a", queue=make_queue(attempts=1))
        (start,) = get_starts(self.scheduler.submit(job, now=10.0))
        self.assertEqual(1, len(get_starts(self.end(start, EndReason.STOPPED))))

    def test_the_end_of_an_earlier_run_is_ignored(self) -> None:
        self.add_worker("w1")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.end(start, EndReason.STOPPED)
        self.assertEqual([], self.end(start, EndReason.DONE))

    def test_a_used_run_number_is_skipped(self) -> None:
        self.add_worker("w1")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        (again,) = get_starts(self.end(start, EndReason.RUN_USED))
        self.assertEqual(start.run + 1, again.run)

    def test_a_cancelled_job_is_stopped_and_removed(self) -> None:
        self.add_worker("w1")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.assertEqual([start.task], [s.task for s in get_stops(self.scheduler.cancel("a"))])
        self.assertEqual([], self.end(start, EndReason.DONE))


class LostWorkerTests(SchedulerTestCase):
    def test_a_lost_run_is_not_retried_before_it_must_have_ended(self) -> None:
        self.add_worker("w1")
        self.scheduler.submit(make_job("a"), now=10.0)
        self.add_worker("w2")
        self.assertEqual([], get_starts(self.scheduler.lose_worker("w1", now=11.0)))
        self.assertEqual([], get_starts(self.scheduler.tick(now=11.0 + LOST_RUN_S - 0.01)))
        (again,) = get_starts(self.scheduler.tick(now=11.0 + LOST_RUN_S))
        self.assertEqual(("w2", 2), (again.worker, again.run))

    def test_a_run_that_the_agent_still_lists_continues(self) -> None:
        self.add_worker("w1")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.scheduler.lose_worker("w1", now=10.1)
        self.add_worker("w1")
        listed = [("a", start.task, start.run)]
        self.assertEqual([], self.scheduler.reconcile("w1", listed, now=10.2))
        self.assertEqual([], get_starts(self.scheduler.tick(now=20.0)))
        self.assertEqual(1, len(get_finished(self.end(start, EndReason.DONE))))

    def test_a_run_that_the_agent_does_not_list_is_retried_immediately(self) -> None:
        self.add_worker("w1")
        self.scheduler.submit(make_job("a"), now=10.0)
        self.scheduler.lose_worker("w1", now=10.1)
        self.add_worker("w1")
        (again,) = get_starts(self.scheduler.reconcile("w1", [], now=10.2))
        self.assertEqual(2, again.run)

    def test_a_listed_run_that_is_not_expected_is_stopped(self) -> None:
        self.add_worker("w1")
        listed = [("gone", TaskKey(0, 0), 3)]
        (stop,) = get_stops(self.scheduler.reconcile("w1", listed, now=10.2))
        self.assertEqual(("gone", 3), (stop.job_id, stop.run))

    def test_cancelling_stops_lost_runs_too(self) -> None:
        self.add_worker("w1")
        self.scheduler.submit(make_job("a"), now=10.0)
        self.scheduler.lose_worker("w1", now=10.1)
        self.assertEqual(1, len(get_stops(self.scheduler.cancel("a"))))


class PaceTests(SchedulerTestCase):
    def test_a_worker_that_its_agent_reports_as_slow_gets_no_tasks(self) -> None:
        """An owner must not have to lose tasks on a slow worker before it avoids the worker."""
        self.add_worker("slow", cpu=8000)
        self.add_worker("quick", cpu=8000, is_same_data_centre=False)
        free = Resources(cpu=8000, memory_mb=65536)
        for now in (10.0, 10.1, 10.2):
            report = CapacityReport(seen=0, free=free, is_accepting=True, pace=6.0)
            self.scheduler.update_worker("slow", report, now=now)
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(4)), now=10.3))
        self.assertEqual({"quick"}, {start.worker for start in starts})

    def test_a_pace_within_the_error_of_declared_times_is_ignored(self) -> None:
        self.add_worker("w")
        free = Resources(cpu=4000, memory_mb=65536)
        report = CapacityReport(seen=0, free=free, is_accepting=True, pace=2.0)
        self.scheduler.update_worker("w", report, now=10.0)
        self.assertEqual(1.0, self.scheduler.workers["w"].get_slowness(10.0))


class DistanceTests(SchedulerTestCase):
    def test_a_run_away_from_its_data_does_not_make_the_worker_slow(self) -> None:
        self.add_worker("w", labels=("r2",))
        step = make_step(2, data_rack="r1")
        first, second = get_starts(self.scheduler.submit(make_job("a", step), now=10.0))
        self.assertAlmostEqual(1.5 * step.estimate_s, first.expected_s)
        for start in (first, second):
            self.scheduler.end_run(
                "w", "a", start.task, start.run, EndReason.DONE, run_s=0.15, now=10.15
            )
        self.assertAlmostEqual(1.0, self.scheduler.workers["w"].get_slowness(10.15))
        (near,) = get_starts(self.scheduler.submit(make_job("b"), now=10.2))
        self.assertAlmostEqual(step.estimate_s, near.expected_s)


class RefusalTests(SchedulerTestCase):
    def test_a_new_owner_keeps_jobs_that_can_still_be_late(self) -> None:
        """A restarted owner must not refuse jobs before its workers have connected."""
        scheduler = self.scheduler
        self.assertEqual([], scheduler.submit(make_job("a"), now=0.1))
        self.assertEqual([], get_refused(scheduler.tick(now=0.1 + 2 * OBJECTIVE_S)))
        self.assertEqual(1, len(get_starts(self.add_worker("w"))))

    def test_a_new_owner_refuses_jobs_past_their_late_limit(self) -> None:
        self.scheduler.submit(make_job("a"), now=0.1)
        (refused,) = get_refused(self.scheduler.tick(now=0.1 + 3 * OBJECTIVE_S))
        self.assertIs(RefusalCause.NO_WORKERS, refused.cause)

    def test_a_late_job_waits_behind_jobs_that_can_be_on_time(self) -> None:
        scheduler = self.scheduler
        scheduler.submit(make_job("late"), now=0.1)
        scheduler.submit(make_job("in-time"), now=0.5)
        self.assertEqual([], get_refused(scheduler.tick(now=0.5)))
        (start,) = get_starts(self.add_worker("w", cpu=1000, now=0.5))
        self.assertEqual("in-time", start.job.id)

    def test_a_job_that_can_not_be_on_time_is_refused_with_a_retry_time(self) -> None:
        self.add_worker("w1", cpu=1000)
        self.scheduler.submit(make_job("a"), now=10.0)
        self.scheduler.submit(make_job("b"), now=10.0)
        self.assertEqual([], get_refused(self.scheduler.tick(now=10.05)))
        (refused,) = get_refused(self.scheduler.tick(now=10.5))
        self.assertEqual("b", refused.job.id)
        self.assertIs(RefusalCause.OVERLOAD, refused.cause)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertEqual((1, 1000, 0), (refused.workers, refused.needed_cpu, refused.free_cpu))

    def test_a_service_without_workers_has_its_own_refusal_cause(self) -> None:
        self.add_worker("w", service="maps")
        self.scheduler.submit(make_job("a"), now=10.0)
        (refused,) = get_refused(self.scheduler.tick(now=10.5))
        self.assertIs(RefusalCause.NO_WORKERS, refused.cause)

    def test_a_job_with_a_start_is_never_refused(self) -> None:
        self.add_worker("w1", cpu=1000)
        self.scheduler.submit(make_job("a", make_step(2)), now=10.0)
        self.assertEqual([], get_refused(self.scheduler.tick(now=20.0)))

    def test_a_start_that_an_agent_refused_does_not_count_as_started(self) -> None:
        self.add_worker("w1", cpu=1000)
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.assertEqual([], get_starts(self.end(start, EndReason.NOT_TAKEN)))
        (refused,) = get_refused(self.scheduler.tick(now=11.0))
        self.assertIs(RefusalCause.NO_WORKERS, refused.cause)

    def test_an_infeasible_job_fails_immediately(self) -> None:
        self.add_worker("w1", cpu=1000)
        job = make_job("a", make_step(resources=Resources(cpu=2000)))
        (finished,) = get_finished(self.scheduler.submit(job, now=10.0))
        self.assertIs(JobState.FAILED, finished.state)

    def test_a_new_owner_considers_no_job_infeasible(self) -> None:
        self.add_worker("w1", cpu=1000)
        job = make_job("a", make_step(resources=Resources(cpu=2000)))
        self.assertEqual([], self.scheduler.submit(job, now=5.0))

    def test_a_lost_worker_still_makes_a_job_feasible(self) -> None:
        self.add_worker("w1", cpu=4000)
        self.add_worker("w2", cpu=1000)
        self.scheduler.lose_worker("w1", now=10.0)
        job = make_job("a", make_step(resources=Resources(cpu=2000)))
        self.assertEqual([], get_finished(self.scheduler.submit(job, now=10.0)))


def make_slow(**fields: object) -> SlowRun:
    values = {"age_s": 1.0, "total_s": 10.0, "worker_pace": 0.0, "is_stalled": False}
    return SlowRun(**{**values, **fields})


class SlowRunTests(SchedulerTestCase):
    def report(self, report: SlowRun) -> list[object]:
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        self.worker = start.worker
        self.add_worker("w2")
        return self.scheduler.handle_slow_run(
            start.worker, "a", start.task, start.run, report, now=11.0
        )

    def setUp(self) -> None:
        super().setUp()
        self.add_worker("w1")

    def test_a_stalled_run_is_stopped_first_and_then_moved(self) -> None:
        (stop,) = self.report(make_slow(is_stalled=True))
        self.assertEqual("w1", stop.worker)
        (start,) = get_starts(
            self.scheduler.end_run(
                "w1", "a", stop.task, stop.run, EndReason.STOPPED, run_s=1.0, now=11.1
            )
        )
        self.assertEqual("w2", start.worker)

    def test_a_long_run_on_a_sound_worker_is_left_alone(self) -> None:
        self.assertEqual([], self.report(make_slow(worker_pace=1.2)))

    def test_a_run_on_a_slow_worker_is_moved(self) -> None:
        self.assertEqual(1, len(self.report(make_slow(worker_pace=5.0))))

    def test_a_run_that_is_nearly_over_is_left_alone(self) -> None:
        report = make_slow(age_s=9.0, total_s=10.0, worker_pace=5.0)
        self.assertEqual([], self.report(report))

    def test_finished_tasks_of_the_step_show_that_a_run_is_slow(self) -> None:
        self.add_worker("w2")
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(3)), now=10.0))
        for start in starts[1:]:
            self.end(start, EndReason.DONE)
        report = make_slow(age_s=0.3, total_s=1.0, worker_pace=1.0)
        slow = starts[0]
        actions = self.scheduler.handle_slow_run(
            slow.worker, "a", slow.task, slow.run, report, now=10.3
        )
        self.assertEqual([slow.task], [stop.task for stop in get_stops(actions)])

    def test_a_long_task_is_moved_once_and_marks_one_worker_as_slow(self) -> None:
        """A long task must not be moved again and again, and so never end."""
        for number in range(2, 9):
            self.add_worker(f"w{number}")
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(4)), now=10.0))
        for start in starts[1:]:
            self.end(start, EndReason.DONE)
        report = make_slow(age_s=0.02, total_s=0.5, worker_pace=1.0)
        run = starts[0]
        moves = 0
        for step in range(6):
            now = 10.3 + 0.3 * step
            stops = get_stops(
                self.scheduler.handle_slow_run(run.worker, "a", run.task, run.run, report, now=now)
            )
            if not stops:
                break
            moves += 1
            (run,) = get_starts(
                self.scheduler.end_run(
                    run.worker, "a", run.task, run.run, EndReason.STOPPED, run_s=0.1, now=now + 0.1
                )
            )
        self.assertEqual(1, moves)
        views = self.scheduler.workers.values()
        self.assertEqual(1, sum(view.get_slowness(now) > 1.2 for view in views))


class SlowWorkerTests(SchedulerTestCase):
    def make_slow(self, name: str, now: float = 10.0) -> None:
        for _ in range(3):
            self.scheduler.workers[name].learn_slowness(6.0, now=now, weight=0.4)

    def test_a_slow_worker_gets_no_tasks_until_its_slowness_decays(self) -> None:
        self.add_worker("w1")
        self.add_worker("w2")
        self.make_slow("w1")
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(6)), now=10.0))
        self.assertEqual({"w2"}, {start.worker for start in starts})
        self.assertEqual(4, len(starts))
        later = get_starts(self.scheduler.tick(now=15.0))
        self.assertEqual({"w1"}, {start.worker for start in later})

    def test_workers_are_used_if_all_are_slow(self) -> None:
        self.add_worker("w1")
        self.make_slow("w1")
        self.assertEqual(1, len(get_starts(self.scheduler.submit(make_job("a"), now=10.0))))

    def test_one_long_job_makes_no_worker_slow(self) -> None:
        self.add_worker("w1", cpu=20000)
        starts = get_starts(self.scheduler.submit(make_job("a", make_step(12)), now=10.0))
        for start in starts:
            self.scheduler.end_run(
                "w1", "a", start.task, start.run, EndReason.DONE, run_s=1.0, now=11.0
            )
        self.assertLess(self.scheduler.workers["w1"].get_slowness(11.0), 1.5)


class BusyWorkerTests(SchedulerTestCase):
    def test_a_worker_whose_task_has_ended_is_not_busy(self) -> None:
        """Its agent sends no heartbeats for this owner and must not be considered lost."""
        self.add_worker("w1", cpu=1000)
        self.add_worker("w2", cpu=1000)
        self.scheduler.submit(make_job("a", make_step(2)), now=10.0)
        self.assertEqual({"w1", "w2"}, self.scheduler.get_busy_workers())
        task = next(t for t in self.scheduler.open_jobs["a"].tasks.values() if t.worker == "w1")
        self.scheduler.end_run("w1", "a", task.key, 1, EndReason.DONE, run_s=0.1, now=10.1)
        self.assertEqual({"w2"}, self.scheduler.get_busy_workers())
