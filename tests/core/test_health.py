"""Failing and slow workers are ejected; healthy ones are not, whatever other accounts send."""

from __future__ import annotations

import testtools

from dalemast.core.placement import HealthMonitor
from dalemast.core.placement.health import NO_TRIAL

WORKERS = 10
NOW = 100.0


class HealthTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.health = HealthMonitor()

    def observe(
        self,
        worker: int,
        *,
        run_s: float = 0.1,
        fails: bool = False,
        now: float = NOW,
        trial: int = NO_TRIAL,
    ) -> None:
        self.health.observe(
            worker=f"w{worker}",
            service="s",
            run_s=run_s,
            is_failure=fails,
            now=now,
            workers=WORKERS,
            trial=trial,
        )

    def send(self) -> int:
        """Send a task to the worker w0 and return its trial number."""
        return self.health.note_sent("w0", 1)

    def end(self, trial: int) -> None:
        """End a task of w0 successfully."""
        self.health.note_resolved("w0", trial=trial)
        self.observe(0, now=NOW + 4.0, trial=trial)

    def work(self, rounds: int = 6, run_s: float = 0.1) -> None:
        for _ in range(rounds):
            for worker in range(1, WORKERS):
                self.observe(worker, run_s=run_s)


class FailureTests(HealthTestCase):
    def test_worker_that_fails_a_working_service_is_ejected(self) -> None:
        self.work()
        for _ in range(3):
            self.observe(0, run_s=0.001, fails=True)
        self.assertEqual(self.health.ejected, ("w0",))
        self.assertEqual(self.health.get_allowance("w0", 8), 0)

    def test_service_that_fails_everywhere_ejects_no_worker(self) -> None:
        for _ in range(20):
            for worker in range(WORKERS):
                self.observe(worker, fails=True)
        self.assertEqual(self.health.ejected, ())

    def test_first_failures_of_an_unknown_service_eject_no_worker(self) -> None:
        for _ in range(10):
            self.observe(0, fails=True)
        self.assertEqual(self.health.ejected, ())

    def test_only_a_bounded_share_is_ejected(self) -> None:
        self.work(rounds=30)
        for worker in range(WORKERS):
            for _ in range(3):
                self.observe(worker, fails=True)
        self.assertLessEqual(len(self.health.ejected), 3)

    def test_probation_is_one_task_at_a_time_and_ends_with_a_success(self) -> None:
        self.work()
        for _ in range(3):
            self.observe(0, fails=True)
        self.assertFalse(self.health.tick(now=NOW + 3.0))
        self.assertTrue(self.health.tick(now=NOW + 4.0))
        self.assertEqual(self.health.get_allowance("w0", 8), 1)
        trial = self.health.note_sent("w0", 1)
        self.assertEqual(self.health.get_allowance("w0", 8), 0)
        self.health.note_resolved("w0", trial=trial)
        self.observe(0, now=NOW + 3.1, trial=trial)
        self.assertEqual(self.health.get_allowance("w0", 8), 8)

    def test_failed_probation_doubles_the_ejection_time(self) -> None:
        self.work()
        for _ in range(3):
            self.observe(0, fails=True)
        self.health.tick(now=NOW + 4.0)
        trial = self.health.note_sent("w0", 1)
        self.observe(0, fails=True, now=NOW + 4.0, trial=trial)
        self.assertFalse(self.health.tick(now=NOW + 11.0))
        self.assertTrue(self.health.tick(now=NOW + 13.0))

    def test_only_the_task_on_trial_decides_about_a_worker(self) -> None:
        """Tasks sent before an ejection that end during the trial must not decide the trial.

        Otherwise the worker is readmitted, or gets a second trial task, because of an old success.
        """
        self.work()
        early = [self.send() for _ in range(2)]
        for _ in range(3):
            self.observe(0, fails=True)
        self.health.tick(now=NOW + 4.0)
        trial = self.send()
        self.end(early[0])
        self.assertEqual(self.health.get_allowance("w0", 8), 0)
        self.assertEqual(self.health.ejected, ("w0",))
        self.end(trial)
        self.assertEqual(self.health.ejected, ())
        self.end(early[1])
        self.assertEqual(self.health.get_allowance("w0", 8), 8)

    def test_failed_trial_of_another_account_ejects_no_healthy_worker(self) -> None:
        self.work()
        self.health.postpone_trial(worker="w1", now=NOW)
        self.assertEqual(self.health.ejected, ())


class SpeedTests(HealthTestCase):
    def test_slow_worker_is_ejected_by_its_run_times(self) -> None:
        self.work()
        for _ in range(6):
            self.observe(0, run_s=1.0)
        self.assertEqual(self.health.ejected, ("w0",))

    def test_slow_worker_is_ejected_before_its_tasks_end(self) -> None:
        self.work()
        for _ in range(6):
            self.health.observe_overdue(
                worker="w0", service="s", running_s=0.7, now=NOW, workers=WORKERS
            )
        self.assertEqual(self.health.ejected, ("w0",))

    def test_service_that_gets_slow_everywhere_ejects_no_worker(self) -> None:
        self.work()
        for _ in range(12):
            for worker in range(WORKERS):
                self.observe(worker, run_s=0.35)
        self.assertEqual(self.health.ejected, ())
