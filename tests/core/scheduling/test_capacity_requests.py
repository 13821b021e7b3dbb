"""What an owner asks agents for while its jobs wait, and how it answers offers."""

from __future__ import annotations

from dalemast.core.scheduling import (
    Action,
    CapacityReport,
    PriorityOrder,
    RequestCapacity,
    Scheduler,
)
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.scheduler import SchedulerLimits
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_starts,
    make_job,
    make_queue,
    make_step,
)

URGENT = make_queue(name="urgent", priority=0)
PLAIN = make_queue(name="plain", priority=1)


def get_questions(actions: list[Action]) -> list[RequestCapacity]:
    return [action for action in actions if isinstance(action, RequestCapacity)]


def make_report(cpu: int, *, seen: int) -> CapacityReport:
    free = Resources(cpu=cpu, memory_mb=1000)
    return CapacityReport(seen=seen, free=free, is_accepting=True)


class WantTests(SchedulerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
        )
        self.add_worker("w1", cpu=1000)
        self.add_worker("w2", cpu=1000)

    def fill(self) -> None:
        """Start a task on each worker, so that nothing is free."""
        self.assertEqual(2, len(get_starts(self.submit("full", count=2))))

    def submit(self, name: str, *, count: int = 1, queue=PLAIN) -> list[Action]:
        return self.scheduler.submit(make_job(name, make_step(count), queue=queue), now=10.0)

    def test_an_owner_with_room_asks_for_nothing(self) -> None:
        self.assertEqual([], get_questions(self.submit("a")))

    def test_a_job_that_finds_no_room_is_told_to_the_workers(self) -> None:
        self.fill()
        (question,) = get_questions(self.submit("a"))
        self.assertEqual({"w1", "w2"}, set(question.workers))
        self.assertEqual(1000, question.request.cpu)

    def test_only_more_urgent_work_is_news(self) -> None:
        self.fill()
        (plain,) = get_questions(self.submit("a"))
        self.assertEqual([], get_questions(self.submit("b")))
        (urgent,) = get_questions(self.submit("c", queue=URGENT))
        self.assertLess(urgent.request.rank, plain.request.rank)
        self.assertEqual([], get_questions(self.submit("d")))

    def test_ranks_of_owners_compare_whatever_their_clocks_show(self) -> None:
        self.fill()
        self.submit("a")
        before = self.scheduler.get_capacity_request("w1")
        other = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=5000.0,
        )
        other.submit(make_job("a", make_step(1), queue=PLAIN), now=5010.0)
        after = other._capacity_requests.get("floor")
        for mine, theirs in zip(before.rank, after.rank, strict=True):
            self.assertAlmostEqual(mine, theirs)

    def test_offered_room_that_nothing_waits_for_is_given_back(self) -> None:
        self.fill()
        self.submit("a")
        self.scheduler.cancel("a")
        self.scheduler.tick(now=10.0)
        (question,) = get_questions(
            self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        )
        self.assertEqual((("w1",), None), (question.workers, question.request))
        again = self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        self.assertEqual([], get_questions(again))

    def test_room_that_is_too_small_keeps_the_want(self) -> None:
        self.fill()
        self.submit("a")
        actions = self.scheduler.update_worker("w1", make_report(500, seen=1), now=10.0)
        self.assertEqual([], actions)
        self.assertIsNotNone(self.scheduler.get_capacity_request("w1"))

    def test_a_start_goes_with_what_is_still_wanted(self) -> None:
        self.fill()
        self.submit("a", count=2)
        actions = self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        self.assertEqual(1, len(get_starts(actions)))
        self.assertIsNotNone(self.scheduler.get_capacity_request("w1"))
        self.scheduler.update_worker("w2", make_report(1000, seen=2), now=10.0)
        self.assertIsNone(self.scheduler.get_capacity_request("w2"))

    def test_many_workers_are_asked_in_turn(self) -> None:
        for number in range(3, 31):
            self.add_worker(f"w{number}", cpu=1000)
        self.submit("full", count=30)
        (first,) = get_questions(self.submit("a"))
        (second,) = get_questions(self.submit("b", queue=URGENT))
        self.assertEqual(12, len(first.workers))
        self.assertEqual(set(), set(first.workers) & set(second.workers))
