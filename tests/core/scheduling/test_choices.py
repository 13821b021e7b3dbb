"""Selection of workers: values that a round computes once, and excluded workers."""

from __future__ import annotations

from testtools import TestCase

from dalemast.core.scheduling import CapacityReport, FastestPlacement, WorkerView
from dalemast.core.scheduling.choices import ChoiceRound
from dalemast.core.scheduling.jobs import Job
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import make_job, make_step

NOW = 10.0


def make_view(name: str, *, cpu: int, slowness: float = 1.0) -> WorkerView:
    capacity = Resources(cpu=cpu, memory_mb=65536)
    view = WorkerView(
        name=name, service="floor", capacity=capacity, labels=frozenset(), is_same_data_centre=True
    )
    view.update(CapacityReport(seen=0, free=capacity, is_accepting=True), now=0.0)
    view.learn_slowness(slowness, now=NOW, weight=1.0)
    return view


def make_round(*views: WorkerView) -> ChoiceRound:
    return ChoiceRound(
        placement=FastestPlacement(remote_factor=1.5),
        workers={view.name: view for view in views},
        now=NOW,
    )


class ChoiceTestCase(TestCase):
    """A job of two tasks, the first of which needs a worker."""

    def setUp(self) -> None:
        super().setUp()
        request = make_job("a", make_step(2))
        self.job = Job(request=request, arrived_at=NOW, objective_s=1.0, chain_s=0.1)
        self.task = self.job.tasks[TaskKey(0, 0)]


class ChoiceRoundTests(ChoiceTestCase):
    def test_free_cpu_of_a_slow_worker_is_ignored(self) -> None:
        choices = make_round(make_view("full", cpu=500), make_view("slow", cpu=9000, slowness=5.0))
        self.assertEqual(500, choices.get_max_free_cpu("floor"))
        self.assertIsNone(choices.choose(self.job, self.task))

    def test_a_service_without_workers_has_no_free_cpu(self) -> None:
        self.assertEqual(-1, make_round().get_max_free_cpu("floor"))

    def test_free_cpu_is_computed_again_after_a_start(self) -> None:
        view = make_view("w", cpu=1500)
        choices = make_round(view)
        self.assertEqual(1500, choices.get_max_free_cpu("floor"))
        self.assertIs(view, choices.choose(self.job, self.task))
        view.reserve(self.task.step.resources, number=1)
        choices.note_start("floor")
        self.assertEqual(500, choices.get_max_free_cpu("floor"))
        self.assertIsNone(choices.choose(self.job, self.task))


class LearnedSlownessTests(ChoiceTestCase):
    """Noise in the estimates must not exclude sound workers."""

    def test_the_fastest_of_many_does_not_exclude_the_others(self) -> None:
        slowness_values = (0.6, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.3, 1.4)
        views = [
            make_view(f"w{n}", cpu=500, slowness=slowness)
            for n, slowness in enumerate(slowness_values)
        ]
        views[-1].update(
            CapacityReport(seen=0, free=Resources(cpu=9000, memory_mb=9000), is_accepting=True),
            now=NOW,
        )
        self.assertIs(views[-1], make_round(*views).choose(self.job, self.task))

    def test_slow_workers_are_excluded_also_when_they_are_many(self) -> None:
        sound = [make_view(f"w{n}", cpu=500) for n in range(6)]
        slow = [make_view(f"s{n}", cpu=9000, slowness=2.5) for n in range(5)]
        choices = make_round(*sound, *slow)
        self.assertIsNone(choices.choose(self.job, self.task))


class SuspectTests(ChoiceTestCase):
    """Workers that fail half of their tasks without being suspected by their agents."""

    def setUp(self) -> None:
        super().setUp()
        self.failing = make_view("failing", cpu=9000)
        self.failing.record_outcome(is_failure=True)
        self.failing.record_outcome(is_failure=False)
        self.sound = make_view("sound", cpu=9000, slowness=1.3)

    def fail_task(self) -> None:
        self.task.failures = 1
        self.task.avoided.add("gone")

    def test_a_first_attempt_may_use_a_suspect_worker(self) -> None:
        choices = make_round(self.failing, self.sound)
        self.assertIs(self.failing, choices.choose(self.job, self.task))

    def test_a_failed_task_uses_a_worker_without_failures(self) -> None:
        self.fail_task()
        choices = make_round(self.failing, self.sound)
        self.assertIs(self.sound, choices.choose(self.job, self.task))

    def test_a_failed_task_waits_for_a_full_worker_without_failures(self) -> None:
        self.fail_task()
        choices = make_round(self.failing, make_view("full", cpu=9000))
        choices._workers["full"].reserve(Resources(cpu=9000), number=1)
        self.assertIsNone(choices.choose(self.job, self.task))

    def test_a_failed_task_does_not_wait_if_all_workers_are_suspect(self) -> None:
        self.fail_task()
        self.assertIs(self.failing, make_round(self.failing).choose(self.job, self.task))

    def test_two_successes_clear_a_suspect_worker(self) -> None:
        self.failing.record_outcome(is_failure=False)
        self.failing.record_outcome(is_failure=False)
        self.assertFalse(self.failing.is_suspect)
