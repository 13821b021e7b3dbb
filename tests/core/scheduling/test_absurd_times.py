"""Tests with absurd run times, reported by agents or declared by callers."""

from __future__ import annotations

import math

import testtools

from dalemast.core.scheduling import EndReason, LoadPolicy
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import START_MARGIN
from tests.core.scheduling.base import RUN_S, SchedulerTestCase, get_starts, make_job

NOW = 10.0
ABSURD = (math.nan, math.inf, -math.inf, -1.0)


class RunTimeTests(testtools.TestCase):
    def test_absurd_run_times_are_ignored(self) -> None:
        run_times = RunTimes()
        run_times.learn(queue="draws", declared_s=0.1, actual_s=0.2)
        before = run_times.expect(queue="draws", declared_s=0.1)
        for actual_s in ABSURD:
            run_times.learn(queue="draws", declared_s=0.1, actual_s=actual_s)
        self.assertEqual(before, run_times.expect(queue="draws", declared_s=0.1))

    def test_absurd_declared_times_do_not_affect_other_jobs(self) -> None:
        run_times = RunTimes()
        run_times.learn(queue="draws", declared_s=0.1, actual_s=0.2)
        before = run_times.expect(queue="draws", declared_s=0.1)
        for declared_s in ABSURD:
            run_times.learn(queue="draws", declared_s=declared_s, actual_s=0.2)
        self.assertEqual(before, run_times.expect(queue="draws", declared_s=0.1))


class ReportedRunTimeTests(SchedulerTestCase):
    """Guards against implausible run times that distort the learned ones."""

    policy = LoadPolicy(forecasts=True, learns_speeds=True)

    def end(self, job_id: str, *, run_s: float, now: float) -> None:
        (start,) = get_starts(self.scheduler.submit(make_job(job_id), now=now))
        self.scheduler.end_run(
            "w1", job_id, start.task, start.run, EndReason.DONE, run_s=run_s, now=now + RUN_S
        )

    def test_implausible_run_times_are_ignored(self) -> None:
        self.add_worker("w1", cpu=16_000)
        self.end("normal", run_s=RUN_S, now=NOW)
        for number, run_s in enumerate((*ABSURD, 1e300, 1e6)):
            self.end(f"j{number}", run_s=run_s, now=NOW + number)
        self.assertAlmostEqual(
            RUN_S, self.scheduler.estimate_completion_s(make_job("next")) / (1 + START_MARGIN)
        )
        self.assertAlmostEqual(1.0, self.scheduler.workers["w1"].get_slowness(NOW + 9.0))
