"""Decisions of the supervisor: capacity, unanswered orders, incarnations, paces and health."""

from __future__ import annotations

from dataclasses import replace
from math import exp, sqrt

import testtools

from dalemast.core.scheduling import EndReason
from dalemast.core.scheduling.slow_runs import SLOW_PACE
from dalemast.core.supervision import (
    Action,
    EndedRun,
    ListedRun,
    OrderStart,
    OrderStop,
    ReportCapacity,
    ReportEnd,
    ReportSlow,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    SupervisorLimits,
    WorkerHealth,
    WorkerIncarnation,
    list_crashed,
)
from dalemast.core.supervision.runs import DECLARED_ERROR
from dalemast.core.supervision.supervisor import STOP_MARGIN_S
from dalemast.core.workloads import Resources, TaskKey

OWNER_TIMEOUT_S = 0.45
LEASE_S = 0.6
STOP_S = 0.05


def make_incarnation(
    incarnation_id: str = "i-1", *, is_leaving: bool = False, cpu: int = 4000
) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=incarnation_id,
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=cpu, memory_mb=1000),
        labels=frozenset(),
        is_leaving=is_leaving,
    )


def make_start(job_id: str = "a", *, run: int = 1, cpu: int = 1000, position: int = 0):
    return StartRequest(
        owner="o1",
        run_id=RunId(job_id, TaskKey(0, position), run),
        payload="text",
        resources=Resources(cpu=cpu, memory_mb=10),
        expected_s=0.2,
        number=1,
        sent_at=1.0,
    )


def pick(actions: list[Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


def lower_estimate(pace: float) -> float:
    """Return the lower estimate of a worker's pace from three jobs of this pace."""
    return round(pace * exp(-DECLARED_ERROR / sqrt(3)), 6)


class SupervisorTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_timeout_s=OWNER_TIMEOUT_S, lease_s=LEASE_S, stop_s=STOP_S)
        self.supervisor = Supervisor(limits=limits)
        self.supervisor.register_incarnation(make_incarnation(), now=0.0)
        self.poll(now=0.0)

    def poll(
        self,
        *running: ListedRun,
        ended: tuple[EndedRun, ...] = (),
        now: float,
        asked_at: float | None = None,
    ) -> list[Action]:
        asked_at = now if asked_at is None else asked_at
        return self.supervisor.handle_poll(running, ended, asked_at=asked_at, now=now)

    def start(self, request: StartRequest, now: float = 1.0) -> list[Action]:
        return self.supervisor.start(replace(request, sent_at=now), now=now)

    def run_task_after_poll(self) -> RunId:
        self.poll(now=1.0)
        return self.run_task(make_start())

    def replace_incarnation(self, incarnation_id: str) -> list[Action]:
        """Let another incarnation report, and an answer show that the previous one has ended."""
        self.supervisor.register_incarnation(make_incarnation(incarnation_id), now=1.0)
        return self.supervisor.lose_incarnation(is_over=True)

    def run_task(self, request: StartRequest, now: float = 1.0) -> RunId:
        self.start(request, now=now)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUNNING, now=now, expires_at=now + 0.6
        )
        return request.run_id


class CapacityTests(SupervisorTestCase):
    def test_a_start_that_does_not_fit_is_refused(self) -> None:
        self.run_task(make_start("a", cpu=3000))
        (report,) = pick(self.start(make_start("b", cpu=2000)), ReportEnd)
        self.assertIs(EndReason.NO_ROOM, report.reason)

    def test_capacity_stays_used_until_the_end_is_listed(self) -> None:
        run_id = self.run_task(make_start(cpu=4000))
        self.supervisor.stop(run_id, owner="o1", now=1.0)
        self.assertEqual(0, self.supervisor.get_free().cpu)
        self.poll(ended=(EndedRun(1, run_id, EndReason.STOPPED),), now=1.1)
        self.assertEqual(4000, self.supervisor.get_free().cpu)

    def test_a_repeated_start_is_not_ordered_twice(self) -> None:
        request = make_start()
        self.assertEqual(1, len(pick(self.start(request), OrderStart)))
        self.assertEqual([], self.start(request))

    def test_nothing_starts_before_the_first_poll(self) -> None:
        self.replace_incarnation("i-2")
        (report,) = pick(self.start(make_start()), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)

    def test_runs_of_an_earlier_agent_are_stopped_before_anything_starts(self) -> None:
        self.replace_incarnation("i-2")
        orphan = RunId("old", TaskKey(0, 0), 1)
        (stop,) = pick(self.poll(ListedRun(orphan, 5.0), now=1.0), OrderStop)
        self.assertEqual(orphan, stop.run_id)
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.poll(ended=(EndedRun(1, orphan, EndReason.STOPPED),), now=1.1)
        self.assertTrue(self.supervisor.is_accepting(now=1.1))


class UnansweredOrderTests(SupervisorTestCase):
    def order_unanswered(self) -> RunId:
        request = make_start(cpu=4000)
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.UNANSWERED, now=1.3, expires_at=1.9
        )
        self.assertEqual([OrderStop(run_id=request.run_id)], pick(actions, OrderStop))
        return request.run_id

    def test_a_worker_that_leaves_orders_unanswered_gets_no_more(self) -> None:
        self.order_unanswered()
        request = make_start("b", cpu=0)
        self.start(request)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.UNANSWERED, now=1.3, expires_at=1.9
        )
        self.assertFalse(self.supervisor.is_accepting(now=1.5))

    def test_its_capacity_stays_used_until_the_order_has_expired(self) -> None:
        self.order_unanswered()
        self.assertEqual([], pick(self.poll(now=1.85), ReportEnd))
        self.assertEqual(0, self.supervisor.get_free().cpu)
        (report,) = pick(self.poll(now=1.95), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)
        self.assertEqual(4000, self.supervisor.get_free().cpu)

    def test_an_answered_stop_ends_the_run_after_the_time_of_a_stop(self) -> None:
        """The run may be running unlisted, if the worker executes orders without answering."""
        run_id = self.order_unanswered()
        self.assertEqual([], self.supervisor.handle_stop_response(run_id, now=1.4))
        self.assertEqual([], pick(self.supervisor.tick(now=1.4 + STOP_S), ReportEnd))
        self.assertEqual(0, self.supervisor.get_free().cpu)
        late = 1.4 + STOP_S + STOP_MARGIN_S
        (report,) = pick(self.supervisor.tick(now=late), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)

    def test_a_listed_run_ends_only_when_its_end_is_listed(self) -> None:
        run_id = self.order_unanswered()
        self.poll(ListedRun(run_id, 3.0), now=1.4)
        self.assertEqual([], self.supervisor.handle_stop_response(run_id, now=1.5))
        ended = (EndedRun(1, run_id, EndReason.STOPPED),)
        self.assertEqual(1, len(pick(self.poll(ended=ended, now=1.6), ReportEnd)))

    def test_a_poll_sent_before_the_order_expired_is_no_evidence(self) -> None:
        self.order_unanswered()
        self.assertEqual([], pick(self.poll(now=1.95, asked_at=1.8), ReportEnd))

    def test_a_used_run_number_is_resolved_by_the_next_poll(self) -> None:
        request = make_start()
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUN_USED, now=1.2, expires_at=1.9
        )
        self.assertEqual([], actions)
        ended = (EndedRun(1, request.run_id, EndReason.DONE),)
        (report,) = pick(self.poll(ended=ended, now=1.3), ReportEnd)
        self.assertIs(EndReason.DONE, report.reason)

    def test_an_order_that_the_worker_ignored_has_not_run(self) -> None:
        """Guards against counting it as a run that may have crashed its worker."""
        request = make_start()
        self.start(request)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUN_USED, now=1.2, expires_at=1.9
        )
        self.assertEqual((), list_crashed(self.supervisor.runs.values(), ended_at=1.25))
        (report,) = pick(self.poll(now=1.3), ReportEnd)
        self.assertIs(EndReason.RUN_USED, report.reason)

    def test_a_run_that_an_earlier_try_may_have_begun_counts_as_stopped(self) -> None:
        request = make_start()
        self.start(request)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUN_RECEIVED, now=1.2, expires_at=1.9
        )
        self.assertEqual(1, len(list_crashed(self.supervisor.runs.values(), ended_at=1.25)))
        (report,) = pick(self.poll(now=1.3), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)


class IncarnationTests(SupervisorTestCase):
    def test_a_new_incarnation_ends_all_runs(self) -> None:
        self.run_task(make_start())
        (report,) = pick(self.replace_incarnation("i-2"), ReportEnd)
        self.assertIs(EndReason.CRASHED, report.reason)
        self.assertFalse(report.is_confirmed)

    def test_a_late_report_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.replace_incarnation("i-2")
        self.poll(now=1.0)
        run_id = self.run_task(make_start(cpu=3000))
        self.assertEqual([], self.supervisor.register_incarnation(make_incarnation("i-1"), now=1.2))
        self.assertEqual("i-2", self.supervisor.incarnation.id)
        self.assertIn(run_id, self.supervisor.runs)
        self.assertEqual(1000, self.supervisor.get_free().cpu)

    def test_a_late_report_of_an_unknown_incarnation_is_ignored(self) -> None:
        """An agent that has just started may receive the report of the earlier incarnation last."""
        run_id = self.run_task(make_start(cpu=3000))
        self.assertEqual([], self.supervisor.register_incarnation(make_incarnation("i-0"), now=1.1))
        self.assertTrue(self.supervisor.has_work)
        self.assertEqual(
            [], pick(self.poll(ListedRun(run_id, 10.0), now=1.3, asked_at=1.2), ReportEnd)
        )
        self.assertEqual("i-1", self.supervisor.incarnation.id)
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_incarnation("i-0"), now=1.4)
        self.assertIsNone(self.supervisor.incarnation)

    def test_an_answer_to_a_poll_sent_before_the_report_is_no_evidence(self) -> None:
        run_id = self.run_task(make_start())
        self.supervisor.register_incarnation(make_incarnation("i-2"), now=1.2)
        self.poll(ListedRun(run_id, 10.0), now=1.3, asked_at=1.1)
        self.supervisor.lose_incarnation(is_over=True)
        self.assertEqual("i-2", self.supervisor.incarnation.id)

    def test_a_deregistered_incarnation_never_comes_back(self) -> None:
        self.supervisor.end_incarnation("i-1")
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_incarnation("i-1"), now=1.2)
        self.assertIsNone(self.supervisor.incarnation)

    def test_a_deregistered_incarnation_ends_only_once_it_is_lost(self) -> None:
        """It may continue for seconds, and its runs are placed again once they count as ended."""
        run_id = self.run_task(make_start())
        self.assertEqual([], pick(self.supervisor.end_incarnation("i-1"), ReportEnd))
        self.supervisor.register_incarnation(make_incarnation("i-1"), now=1.2)
        self.poll(ListedRun(run_id, 50.0), now=1.2)
        self.assertEqual(float("-inf"), self.supervisor.get_lease_limit())
        self.assertFalse(self.supervisor.is_accepting(now=1.2))
        self.assertTrue(self.supervisor.has_work)
        (report,) = pick(self.supervisor.lose_incarnation(is_over=False), ReportEnd)
        self.assertEqual(run_id, report.run_id)

    def test_a_late_deregistration_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.replace_incarnation("i-2")
        run_id = self.run_task_after_poll()
        self.assertEqual([], self.supervisor.end_incarnation("i-1"))
        self.assertIn(run_id, self.supervisor.runs)

    def lose_worker(self, **how: bool) -> EndReason:
        """Lose the worker with a run on it; return the run's end reason."""
        self.run_task(make_start())
        (report,) = pick(self.supervisor.lose_incarnation(**how), ReportEnd)
        return report.reason

    def test_a_worker_that_refuses_connections_has_crashed(self) -> None:
        self.assertIs(EndReason.CRASHED, self.lose_worker(is_over=False, is_refused=True))

    def test_an_unresponsive_worker_counts_as_unreachable(self) -> None:
        self.assertIs(EndReason.STOPPED, self.lose_worker(is_over=False))

    def test_a_leaving_worker_that_is_gone_has_not_crashed(self) -> None:
        self.run_task(make_start())
        self.supervisor.register_incarnation(make_incarnation(is_leaving=True), now=1.1)
        (report,) = pick(
            self.supervisor.lose_incarnation(is_over=False, is_refused=True), ReportEnd
        )
        self.assertIs(EndReason.STOPPED, report.reason)

    def test_an_unreachable_incarnation_may_come_back(self) -> None:
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_incarnation("i-1"), now=2.0)
        self.assertEqual("i-1", self.supervisor.incarnation.id)
        self.assertFalse(self.supervisor.is_accepting(now=2.0))

    def test_an_outdated_report_does_not_exclude_the_running_incarnation(self) -> None:
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_incarnation("i-0"), now=2.0)
        self.supervisor.lose_incarnation(is_over=True)
        self.supervisor.register_incarnation(make_incarnation("i-1"), now=2.1)
        self.assertEqual("i-1", self.supervisor.incarnation.id)

    def test_a_leaving_worker_gets_no_start_and_keeps_its_runs(self) -> None:
        self.run_task(make_start())
        self.supervisor.register_incarnation(make_incarnation(is_leaving=True), now=1.0)
        (report,) = pick(self.start(make_start("b")), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)
        self.assertEqual(1, len(self.supervisor.runs))

    def test_a_draining_agent_refuses_starts_and_stops_no_runs(self) -> None:
        self.run_task(make_start())
        self.assertEqual([], pick(self.supervisor.drain(), OrderStop))
        (report,) = pick(self.start(make_start("b")), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)


class UnresponsiveWorkerTests(SupervisorTestCase):
    def test_an_unresponsive_worker_without_runs_is_polled_until_it_answers(self) -> None:
        """Otherwise it would never accept starts again."""
        self.supervisor.note_unresponsive()
        self.assertTrue(self.supervisor.has_work)
        self.assertEqual([ReportCapacity()], self.poll(now=1.0))
        self.assertTrue(self.supervisor.is_accepting(now=1.0))
        self.assertFalse(self.supervisor.has_work)

    def test_runs_are_not_stopped_on_an_unresponsive_worker(self) -> None:
        self.run_task(make_start())
        self.assertEqual([ReportCapacity()], self.supervisor.note_unresponsive())

    def test_a_start_on_an_unresponsive_worker_is_refused(self) -> None:
        self.supervisor.note_unresponsive()
        (report,) = pick(self.start(make_start()), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)


class FirstPollTests(SupervisorTestCase):
    def test_capacity_is_reported_when_a_new_incarnation_accepts_starts(self) -> None:
        """An agent that compares states on its ticks may miss the short refusal in between."""
        self.replace_incarnation("i-2")
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.assertEqual([ReportCapacity()], self.poll(now=1.0))
        self.assertTrue(self.supervisor.is_accepting(now=1.0))
        self.assertEqual([], self.poll(now=1.1))


class PaceTests(SupervisorTestCase):
    def test_a_run_without_progress_is_reported_as_stalled(self) -> None:
        run_id = self.run_task(make_start())
        self.poll(ListedRun(run_id, 20.0), now=1.1)
        self.poll(ListedRun(run_id, 20.0), now=1.3)
        (report,) = pick(self.poll(ListedRun(run_id, 20.0), now=1.6), ReportSlow)
        self.assertTrue(report.is_stalled)

    def test_a_run_that_makes_progress_is_not_reported(self) -> None:
        run_id = self.run_task(make_start())
        self.assertEqual([], pick(self.poll(ListedRun(run_id, 90.0), now=1.2), ReportSlow))

    def test_the_pace_of_a_worker_needs_several_jobs(self) -> None:
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        rows = [ListedRun(run_id, 10.0) for run_id in runs]
        reports = pick(self.poll(*rows, now=1.2), ReportSlow)
        self.assertEqual(
            {lower_estimate(10.0)}, {round(report.worker_pace, 6) for report in reports}
        )

    def test_a_pace_counts_as_of_the_poll_that_listed_the_progress(self) -> None:
        """Otherwise runs would seem slower the longer a poll waits for an end."""
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        for run_id in runs:
            self.supervisor.runs[run_id].request = replace(
                self.supervisor.runs[run_id].request, expected_s=2.0
            )
        self.poll(*(ListedRun(run_id, 6.0) for run_id in runs), now=1.12)
        self.assertEqual(lower_estimate(1.0), round(self.supervisor.get_pace(), 6))

    def test_jobs_declared_too_short_do_not_make_a_healthy_worker_slow(self) -> None:
        """Owners that have just started know only declared times."""
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        # Ratios of 4.0, 1.5 and 1.4 to the expected time: the arithmetic mean would count as slow.
        percents = (25.0, 66.67, 71.43)
        rows = [ListedRun(run, percent) for run, percent in zip(runs, percents, strict=True)]
        self.poll(*rows, now=1.2)
        self.assertLess(0.0, self.supervisor.get_pace())
        self.assertLess(self.supervisor.get_pace(), SLOW_PACE)

    def test_one_job_gives_no_worker_pace(self) -> None:
        run_id = self.run_task(make_start())
        (report,) = pick(self.poll(ListedRun(run_id, 10.0), now=1.2), ReportSlow)
        self.assertEqual(0.0, report.worker_pace)


class HealthTests(testtools.TestCase):
    def test_failures_of_one_job_are_ignored(self) -> None:
        health = WorkerHealth()
        for _ in range(5):
            health.record_failure("a", now=0.0)
        self.assertTrue(health.may_start(running=3, now=0.0))

    def test_failures_of_several_jobs_allow_only_single_trials(self) -> None:
        health = WorkerHealth()
        health.record_failure("a", now=0.0)
        health.record_failure("b", now=0.0)
        self.assertFalse(health.may_start(running=0, now=0.5))
        self.assertTrue(health.may_start(running=0, now=1.0))
        self.assertFalse(health.may_start(running=1, now=1.0))

    def test_a_success_ends_the_suspicion(self) -> None:
        health = WorkerHealth()
        health.record_failure("a", now=0.0)
        health.record_failure("b", now=0.0)
        health.record_success()
        self.assertTrue(health.may_start(running=5, now=0.1))


class CrashedTests(SupervisorTestCase):
    """The tasks that may have crashed a worker."""

    def list_crashed_tasks(
        self, ended_at: float | None = 1.5
    ) -> list[tuple[str, float | None, bool]]:
        runs = list(self.supervisor.runs.values())
        rows = list_crashed(runs, ended_at=ended_at)
        return [(row.job_id, row.age_s, row.has_begun) for row in rows]

    def test_a_run_is_listed_with_its_age(self) -> None:
        self.run_task(make_start())
        self.assertEqual([("a", 0.5, True)], self.list_crashed_tasks())

    def test_the_loss_of_an_unresponsive_worker_gives_no_ages(self) -> None:
        """Otherwise tasks on unresponsive workers would seem to crash at the age of the lease."""
        self.run_task(make_start())
        self.assertEqual([("a", None, True)], self.list_crashed_tasks(ended_at=None))

    def test_a_start_whose_answer_was_read_late_has_no_age(self) -> None:
        """If the agent was paused, the run may have begun at any time since its order."""
        request = make_start()
        self.start(request, now=1.0)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUNNING, now=1.4, expires_at=2.0
        )
        self.assertEqual([("a", None, True)], self.list_crashed_tasks())

    def test_a_start_without_an_answer_may_not_have_begun(self) -> None:
        self.start(make_start())
        self.assertEqual([("a", None, False)], self.list_crashed_tasks())

    def test_a_run_that_is_listed_before_its_start_is_answered_has_begun(self) -> None:
        request = make_start()
        self.start(request)
        self.poll(ListedRun(request.run_id, 1.0), now=1.2)
        self.assertEqual([True], [has_begun for _, _, has_begun in self.list_crashed_tasks()])

    def test_after_a_start_without_a_listener_none_is_accepted_until_a_poll(self) -> None:
        request = make_start()
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.NOT_LISTENING, now=1.0, expires_at=1.0
        )
        (report,) = pick(actions, ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.poll(now=1.1)
        self.assertTrue(self.supervisor.is_accepting(now=1.1))
