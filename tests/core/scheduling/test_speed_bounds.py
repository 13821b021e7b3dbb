"""Tests for the maximum slowness of a worker for a job."""

from __future__ import annotations

from testtools import TestCase

from dalemast.core.scheduling import FastestPlacement, WorkerView
from dalemast.core.scheduling.choices import ChoiceRound
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.speed_bounds import (
    SPEED_MARGIN,
    get_max_slowness,
    get_max_slowness_late,
)
from dalemast.core.workloads import TaskKey
from tests.core.scheduling.base import make_job, make_step
from tests.core.scheduling.test_choices import make_view

NOW = 10.0


def make_sized_job(chain_s: float, *steps) -> Job:
    """Return a job whose objective is 1.6 times its chain plus 60 ms."""
    request = make_job("a", *(steps or (make_step(estimate_s=chain_s),)))
    objective_s = request.queue.get_objective_s(chain_s)
    return Job(request=request, arrived_at=NOW, objective_s=objective_s, chain_s=chain_s)


def make_kind(name: str, slowness: float, *, cpu: int = 9000) -> WorkerView:
    view = make_view(name, cpu=cpu)
    view.baseline_slowness = slowness
    return view


class BoundTests(TestCase):
    def test_table(self) -> None:
        """Check the bounds for several run times and waiting times, in seconds."""
        rows = [
            # chain_s, waited_s, bound on time, late bound
            (0.1, 0.0, 2.10, 6.29),
            (0.1, 0.06, 1.52, 5.71),
            (0.34, 0.0, 1.69, 5.08),
            (0.34, 0.06, 1.52, 4.91),
            (1.52, 0.0, 1.56, 4.68),
            (1.52, 1.0, 0.94, 4.06),
            (1.52, 3.0, -0.32, 2.81),
            (1.52, 8.0, -3.45, -0.33),
        ]
        for chain_s, waited_s, on_time, late in rows:
            job = make_sized_job(chain_s)
            with self.subTest(chain_s=chain_s, waited_s=waited_s):
                now = NOW + waited_s
                self.assertAlmostEqual(on_time, get_max_slowness(job, now=now), delta=0.006)
                self.assertAlmostEqual(late, get_max_slowness_late(job, now=now), delta=0.006)

    def test_the_bound_is_for_the_remaining_steps(self) -> None:
        steps = (make_step(estimate_s=0.3), make_step(estimate_s=0.1, after=(0,)))
        job = make_sized_job(0.4, *steps)
        whole = get_max_slowness(job, now=NOW)
        job.set_placed(job.waiting[0], worker="w", now=NOW, expected_s=0.3, run_factor=1.0)
        job.set_done(job.tasks[TaskKey(0, 0)])
        self.assertAlmostEqual(4 * whole, get_max_slowness(job, now=NOW))

    def test_a_job_without_a_declared_run_time_has_a_bound(self) -> None:
        steps = (make_step(estimate_s=0.0), make_step(estimate_s=0.0, after=(0,)))
        job = make_sized_job(0.4, *steps)
        self.assertAlmostEqual(job.objective_s / 0.4 / SPEED_MARGIN, get_max_slowness(job, now=NOW))


class UnevenChoiceTests(TestCase):
    """Workers of speeds 0.6, 1 and 1.6, of which only the slowest has free capacity."""

    def choose(self, job: Job, *views: WorkerView, now: float = NOW) -> str | None:
        choices = ChoiceRound(
            placement=FastestPlacement(remote_factor=1.5),
            workers={view.name: view for view in views},
            now=now,
            by_slack=True,
        )
        view = choices.choose(job, next(iter(job.tasks.values())))
        return None if view is None else view.name

    def setUp(self) -> None:
        super().setUp()
        self.fast = make_kind("fast", 0.625, cpu=0)
        self.normal = make_kind("normal", 1.0, cpu=0)
        self.slow = make_kind("slow", 1.67)

    def test_a_slow_worker_serves_jobs_with_enough_slack(self) -> None:
        workers = self.fast, self.normal, self.slow
        self.assertEqual("slow", self.choose(make_sized_job(0.1), *workers))
        self.assertEqual("slow", self.choose(make_sized_job(0.34), *workers))
        self.assertIsNone(self.choose(make_sized_job(1.52), *workers))

    def test_slow_workers_are_excluded_after_a_wait(self) -> None:
        workers = self.fast, self.normal, self.slow
        self.assertIsNone(self.choose(make_sized_job(0.34), *workers, now=NOW + 0.03))

    def test_a_late_start_is_preferred_to_a_refusal_at_the_latest_start(self) -> None:
        job = make_sized_job(1.52)
        workers = self.fast, self.normal, self.slow
        soon = job.latest_start - 0.05
        self.assertEqual("slow", self.choose(job, *workers, now=soon))

    def test_a_job_starts_at_once_if_all_workers_are_slow(self) -> None:
        self.assertEqual("slow", self.choose(make_sized_job(1.52), self.slow))

    def test_no_worker_is_chosen_beyond_the_late_limit(self) -> None:
        job = make_sized_job(1.52)
        self.assertIsNone(self.choose(job, make_kind("very-slow", 5.0)))
        self.assertIsNone(self.choose(job, self.slow, now=NOW + 8.0))

    def test_a_worker_far_from_the_data_is_slower(self) -> None:
        step = make_step(estimate_s=0.1, data_rack="r1")
        job = make_sized_job(0.1, step)
        self.assertIsNone(self.choose(job, self.normal, self.slow))

    def test_a_worker_that_has_become_slow_is_excluded(self) -> None:
        degraded = make_kind("degraded", 1.0)
        degraded.learn_slowness(4.0, now=NOW, weight=1.0)
        self.assertIsNone(self.choose(make_sized_job(0.1), self.normal, degraded))
        self.assertEqual("slow", self.choose(make_sized_job(0.1), degraded, self.slow))
