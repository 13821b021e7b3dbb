"""Expected capacity releases of a worker that is full of long tasks."""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import EndReason
from dalemast.core.scheduling.capacity_releases import MAX_STEPS
from dalemast.core.supervision import EndedRun, ListedRun, RunId, StartOutcome
from dalemast.core.workloads import TaskKey
from tests.core.supervision.test_supervisor import SupervisorTestCase, make_incarnation, make_start

LONG_S = 1.8
"""Run time of the long tasks, in seconds."""
TICK_S = 0.01


def get_id(position: int) -> RunId:
    return RunId("long", TaskKey(0, position), 1)


class CapacityReleaseTests(SupervisorTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.supervisor.register_incarnation(make_incarnation(cpu=16000), now=0.0)
        self.began: dict[int, float] = {}

    def begin(self, position: int, now: float, *, expected_s: float = LONG_S) -> None:
        """Start a task that uses one core."""
        request = replace(make_start("long", position=position), expected_s=expected_s)
        self.start(request, now=now)
        self.supervisor.handle_start_outcome(
            get_id(position), StartOutcome.RUNNING, now=now, expires_at=99
        )
        self.began[position] = now

    def play(self, now: float) -> None:
        """Poll the worker, which lists all runs with their progress."""
        rows = [
            ListedRun(get_id(position), int(100 * (now - began) / LONG_S))
            for position, began in self.began.items()
        ]
        self.supervisor.renew_owner("o1", sent_at=now)
        self.poll(*rows, now=now)

    def get(self, now: float) -> list[tuple[float, int]]:
        return [(row.in_s, row.cpu) for row in self.supervisor.get_releases(now=now)]

    def test_an_idle_worker_has_none(self) -> None:
        self.assertEqual([], self.get(1.0))

    def test_each_end_is_a_step_while_they_are_few(self) -> None:
        self.begin(0, 1.0)
        self.begin(1, 1.5)
        self.assertEqual([(1.3, 1000), (1.8, 1000)], self.get(1.5))

    def test_many_ends_are_grouped_into_steps_that_grow(self) -> None:
        for position in range(13):
            self.begin(position, 1.0 + position / 10)
        now = 2.3
        self.play(now)
        steps = self.get(now)
        self.assertEqual([1000, 2000, 4000, 6000], [cpu for _, cpu in steps])
        self.assertEqual(MAX_STEPS, len(steps))
        self.assertEqual(sorted(steps), steps)
        # The first end is that of the task that began first, at 2.8.
        self.assertAlmostEqual(0.5, steps[0][0], delta=0.05)
        # No step comes before the last end in it.
        self.assertGreaterEqual(steps[-1][0], 1.0 + 1.2 + LONG_S - now - 0.05)

    def test_tasks_that_end_together_are_one_step(self) -> None:
        for position in range(8):
            self.begin(position, 1.0)
        self.begin(8, 1.5)
        self.assertEqual([8000, 1000], [cpu for _, cpu in self.get(1.5)])

    def test_progress_takes_precedence_over_the_expected_time(self) -> None:
        self.begin(0, 1.0, expected_s=0.3)
        self.play(1.9)
        ((in_s, _),) = self.get(1.9)
        self.assertAlmostEqual(0.9, in_s, delta=0.05)

    def test_an_overdue_or_stalled_run_is_excluded(self) -> None:
        self.begin(0, 1.0, expected_s=0.3)
        self.assertEqual([], self.get(1.4))
        self.play(1.9)
        self.assertEqual([], self.get(4.0))

    def test_a_run_that_is_told_to_stop_is_excluded(self) -> None:
        self.begin(0, 1.0)
        self.supervisor.stop(get_id(0), owner="o1", now=1.1)
        self.assertEqual([], self.get(1.1))

    def test_a_leaving_worker_has_none(self) -> None:
        self.begin(0, 1.0)
        self.assertEqual(1, len(self.get(1.1)))
        self.supervisor.register_incarnation(
            replace(make_incarnation(cpu=16000), is_leaving=True), now=1.1
        )
        self.assertEqual([], self.get(1.1))

    def test_a_draining_agent_has_none(self) -> None:
        self.begin(0, 1.0)
        self.supervisor.drain()
        self.assertEqual([], self.get(1.1))

    def test_an_ended_run_is_no_longer_included(self) -> None:
        self.begin(0, 1.0)
        self.poll(ended=(EndedRun(1, get_id(0), EndReason.DONE),), now=1.2)
        self.assertEqual([], self.get(1.2))
