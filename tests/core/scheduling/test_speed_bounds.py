"""Which workers suit a job: the bound by its slack, for uneven workers."""

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
    """Return a job whose objective is 1.6 times its chain and 60 ms."""
    request = make_job("a", *(steps or (make_step(estimate_s=chain_s),)))
    objective_s = request.queue.get_objective_s(chain_s)
    return Job(request=request, arrived_at=NOW, objective_s=objective_s, chain_s=chain_s)


def make_kind(name: str, slowness: float, *, cpu: int = 9000) -> WorkerView:
    view = make_view(name, cpu=cpu)
    view.baseline_slowness = slowness
    return view


class BoundTests(TestCase):
    def test_table(self) -> None:
        """A task's run time, how long it has waited, and what its worker may be: seconds."""
        rows = [
            # chain, waited, on time, late
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

    def test_what_is_left_of_a_chain_counts(self) -> None:
        steps = (make_step(estimate_s=0.3), make_step(estimate_s=0.1, after=(0,)))
        job = make_sized_job(0.4, *steps)
        whole = get_max_slowness(job, now=NOW)
        job.set_placed(job.waiting[0], worker="w", now=NOW, expected_s=0.3, run_factor=1.0)
        job.set_done(job.tasks[TaskKey(0, 0)])
        self.assertAlmostEqual(4 * whole, get_max_slowness(job, now=NOW))

    def test_a_job_without_a_declared_time_has_a_bound(self) -> None:
        steps = (make_step(estimate_s=0.0), make_step(estimate_s=0.0, after=(0,)))
        job = make_sized_job(0.4, *steps)
        self.assertAlmostEqual(job.objective_s / 0.4 / SPEED_MARGIN, get_max_slowness(job, now=NOW))


class UnevenChoiceTests(TestCase):
    """Workers of speeds 0.6, 1 and 1.6; only the slow ones have room."""

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
        self.usual = make_kind("usual", 1.0, cpu=0)
        self.slow = make_kind("slow", 1.67)

    def test_a_slow_kind_serves_the_jobs_whose_slack_allows_it(self) -> None:
        workers = self.fast, self.usual, self.slow
        self.assertEqual("slow", self.choose(make_sized_job(0.1), *workers))
        self.assertEqual("slow", self.choose(make_sized_job(0.34), *workers))
        self.assertIsNone(self.choose(make_sized_job(1.52), *workers))

    def test_one_that_has_waited_leaves_them_out(self) -> None:
        workers = self.fast, self.usual, self.slow
        self.assertIsNone(self.choose(make_sized_job(0.34), *workers, now=NOW + 0.03))

    def test_a_job_that_will_not_find_better_in_time_is_rather_late_than_refused(self) -> None:
        job = make_sized_job(1.52)
        workers = self.fast, self.usual, self.slow
        soon = job.latest_start - 0.05
        self.assertEqual("slow", self.choose(job, *workers, now=soon))

    def test_one_to_which_only_slow_workers_are_left_does_not_wait(self) -> None:
        self.assertEqual("slow", self.choose(make_sized_job(1.52), self.slow))

    def test_none_goes_where_it_would_be_of_no_use(self) -> None:
        job = make_sized_job(1.52)
        self.assertIsNone(self.choose(job, make_kind("crawling", 5.0)))
        self.assertIsNone(self.choose(job, self.slow, now=NOW + 8.0))

    def test_a_worker_far_from_the_data_is_slower(self) -> None:
        step = make_step(estimate_s=0.1, data_rack="r1")
        job = make_sized_job(0.1, step)
        self.assertIsNone(self.choose(job, self.usual, self.slow))

    def test_a_worker_that_turned_slow_is_left_out_beside_one_of_a_slow_kind(self) -> None:
        turned = make_kind("turned", 1.0)
        turned.learn_slowness(4.0, now=NOW, weight=1.0)
        self.assertIsNone(self.choose(make_sized_job(0.1), self.usual, turned))
        self.assertEqual("slow", self.choose(make_sized_job(0.1), turned, self.slow))
