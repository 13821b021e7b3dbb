"""How an agent learns its worker's speed, and when it is reported to owners."""

from __future__ import annotations

import math
import random

import testtools

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import EndedRun, SpeedRecord, StartOutcome
from dalemast.core.supervision.speeds import FIRST_JOBS, MAX_JOBS, REPORT_INTERVAL_S
from tests.core.supervision.test_supervisor import SupervisorTestCase, make_incarnation, make_start

EXPECTED_S = 0.1


def learn(record: SpeedRecord, slowness: float, *, jobs: int, name: str = "j") -> None:
    """Record successful jobs of one task each."""
    for number in range(jobs):
        record.learn(f"{name}{number}", run_s=slowness * EXPECTED_S, expected_s=EXPECTED_S)


class SpeedRecordTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.record = SpeedRecord()

    def test_few_jobs_give_no_speed(self) -> None:
        learn(self.record, 1.67, jobs=FIRST_JOBS - 1)
        self.assertIsNone(self.record.get_speed())

    def test_many_tasks_of_one_job_count_as_one(self) -> None:
        """An inexact declared time affects all of them alike."""
        for _ in range(1000):
            self.record.learn("wide", run_s=0.3, expected_s=EXPECTED_S)
        self.assertIsNone(self.record.get_speed())

    def test_a_slow_worker_is_known_after_a_few_jobs(self) -> None:
        learn(self.record, 1.67, jobs=FIRST_JOBS)
        self.assertAlmostEqual(1.67, self.record.get_speed().slowness)

    def test_long_tasks_and_inexact_estimates_do_not_make_a_worker_slow(self) -> None:
        rng = random.Random(1)
        for number in range(MAX_JOBS):
            error = math.exp(rng.gauss(0.0, 0.35))
            for _ in range(rng.randint(1, 8)):
                tail = 7.0 if rng.random() < 0.03 else 1.0
                self.record.learn(f"j{number}", run_s=error * tail * 0.06, expected_s=EXPECTED_S)
        self.assertAlmostEqual(0.6, self.record.get_speed().slowness, delta=0.06)

    def test_a_short_slow_period_does_not_make_a_worker_slow(self) -> None:
        learn(self.record, 1.0, jobs=MAX_JOBS)
        learn(self.record, 5.0, jobs=MAX_JOBS // 5, name="slow")
        self.assertAlmostEqual(1.0, self.record.get_speed().slowness, delta=0.01)

    def test_a_worker_that_stays_slow_is_slow(self) -> None:
        learn(self.record, 1.0, jobs=MAX_JOBS)
        learn(self.record, 1.67, jobs=MAX_JOBS, name="slow")
        self.assertAlmostEqual(1.67, self.record.get_speed().slowness)

    def test_invalid_times_are_ignored(self) -> None:
        for run_s, expected_s in [
            (0.0, 0.1),
            (-1.0, 0.1),
            (math.nan, 0.1),
            (math.inf, 0.1),
            (0.1, 0.0),
            (0.1, -1.0),
            (0.1, math.nan),
            (0.1, math.inf),
        ]:
            for number in range(FIRST_JOBS):
                self.record.learn(f"j{number}", run_s=run_s, expected_s=expected_s)
        self.assertIsNone(self.record.get_speed())

    def test_memory_is_bounded(self) -> None:
        learn(self.record, 1.0, jobs=10_000)
        for _ in range(10_000):
            self.record.learn("wide", run_s=0.1, expected_s=0.1)
        self.assertEqual(MAX_JOBS, len(self.record._jobs))
        self.assertLess(len(self.record._jobs["wide"]), 100)

    def test_the_speed_is_reported_once_and_when_it_changes(self) -> None:
        self.assertIsNone(self.record.take_report(now=0.0))
        learn(self.record, 1.0, jobs=FIRST_JOBS)
        self.assertEqual(1.0, self.record.take_report(now=0.0).slowness)
        learn(self.record, 1.05, jobs=MAX_JOBS, name="alike")
        self.assertIsNone(self.record.take_report(now=10.0))
        learn(self.record, 1.67, jobs=MAX_JOBS, name="slow")
        self.assertAlmostEqual(1.67, self.record.take_report(now=10.0).slowness)
        self.assertAlmostEqual(1.67, self.record.reported.slowness)

    def test_the_number_of_reports_is_bounded_however_the_runs_vary(self) -> None:
        reports = 0
        for number in range(100):
            learn(self.record, 1.0 + number % 2, jobs=MAX_JOBS, name=f"{number}.")
            reports += self.record.take_report(now=number * REPORT_INTERVAL_S / 10) is not None
        self.assertLessEqual(reports, 10)


class SupervisorSpeedTests(SupervisorTestCase):
    """The record covers the runs of all owners, and lasts as long as the incarnation."""

    def end_runs(self, count: int, *, run_s: float = 0.4) -> None:
        for number in range(count):
            request = make_start(f"{number:x}")
            self.supervisor.start(request, now=1.0)
            self.supervisor.handle_start_outcome(
                request.run_id, StartOutcome.RUNNING, now=1.0, expires_at=9.0
            )
            ended = EndedRun(number + 1, request.run_id, EndReason.DONE)
            self.supervisor.handle_poll((), (ended,), asked_at=1.0, now=1.0 + run_s)

    def test_successful_runs_give_the_speed(self) -> None:
        self.end_runs(FIRST_JOBS)
        self.assertAlmostEqual(2.0, self.supervisor.speeds.get_speed().slowness)

    def test_the_speed_is_kept_for_an_incarnation_that_was_unreachable(self) -> None:
        self.end_runs(FIRST_JOBS)
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_incarnation(), now=2.0)
        self.assertAlmostEqual(2.0, self.supervisor.speeds.get_speed().slowness)

    def test_a_new_incarnation_has_no_speed_yet(self) -> None:
        self.end_runs(FIRST_JOBS)
        self.supervisor.lose_incarnation(is_over=True)
        self.supervisor.register_incarnation(make_incarnation("i-2"), now=2.0)
        self.assertIsNone(self.supervisor.speeds.get_speed())

    def test_a_restarted_agent_learns_the_speed_again_from_as_many_jobs(self) -> None:
        self.end_runs(FIRST_JOBS)
        self.restart_agent()
        self.assertIsNone(self.supervisor.speeds.get_speed())
        self.end_runs(FIRST_JOBS)
        self.assertAlmostEqual(2.0, self.supervisor.speeds.get_speed().slowness)

    def restart_agent(self) -> None:
        self.supervisor = type(self.supervisor)(limits=self.supervisor._limits)
        self.supervisor.register_incarnation(make_incarnation(), now=0.0)
        self.poll(now=0.0)
