"""Tests for an owner's capacity requests, and its answers to offers."""

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
NORMAL = make_queue(name="plain", priority=1)


def get_requests(actions: list[Action]) -> list[RequestCapacity]:
    return [action for action in actions if isinstance(action, RequestCapacity)]


def make_report(cpu: int, *, seen: int) -> CapacityReport:
    free = Resources(cpu=cpu, memory_mb=1000)
    return CapacityReport(seen=seen, free=free, is_accepting=True)


class CapacityRequestTests(SchedulerTestCase):
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
        """Start a task on each worker, so that no capacity is free."""
        self.assertEqual(2, len(get_starts(self.submit("full", count=2))))

    def submit(self, name: str, *, count: int = 1, queue=NORMAL) -> list[Action]:
        return self.scheduler.submit(make_job(name, make_step(count), queue=queue), now=10.0)

    def test_nothing_is_requested_while_capacity_is_free(self) -> None:
        self.assertEqual([], get_requests(self.submit("a")))

    def test_capacity_is_requested_from_all_workers_for_a_waiting_job(self) -> None:
        self.fill()
        (request,) = get_requests(self.submit("a"))
        self.assertEqual({"w1", "w2"}, set(request.workers))
        self.assertEqual(1000, request.request.cpu)

    def test_only_more_urgent_work_is_requested_again(self) -> None:
        self.fill()
        (normal,) = get_requests(self.submit("a"))
        self.assertEqual([], get_requests(self.submit("b")))
        (urgent,) = get_requests(self.submit("c", queue=URGENT))
        self.assertLess(urgent.request.rank, normal.request.rank)
        self.assertEqual([], get_requests(self.submit("d")))

    def test_ranks_do_not_depend_on_the_clock_of_the_owner(self) -> None:
        self.fill()
        self.submit("a")
        before = self.scheduler.get_capacity_request("w1")
        other = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=5000.0,
        )
        other.submit(make_job("a", make_step(1), queue=NORMAL), now=5010.0)
        after = other._capacity_requests.get("floor")
        for mine, theirs in zip(before.rank, after.rank, strict=True):
            self.assertAlmostEqual(mine, theirs)

    def test_an_offer_that_no_job_needs_withdraws_the_request(self) -> None:
        self.fill()
        self.submit("a")
        self.scheduler.cancel("a")
        self.scheduler.tick(now=10.0)
        (request,) = get_requests(
            self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        )
        self.assertEqual((("w1",), None), (request.workers, request.request))
        again = self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        self.assertEqual([], get_requests(again))

    def test_an_offer_that_is_too_small_keeps_the_request(self) -> None:
        self.fill()
        self.submit("a")
        actions = self.scheduler.update_worker("w1", make_report(500, seen=1), now=10.0)
        self.assertEqual([], actions)
        self.assertIsNotNone(self.scheduler.get_capacity_request("w1"))

    def test_the_request_is_kept_until_the_last_task_has_started(self) -> None:
        self.fill()
        self.submit("a", count=2)
        actions = self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        self.assertEqual(1, len(get_starts(actions)))
        self.assertIsNotNone(self.scheduler.get_capacity_request("w1"))
        self.scheduler.update_worker("w2", make_report(1000, seen=2), now=10.0)
        self.assertIsNone(self.scheduler.get_capacity_request("w2"))

    def test_many_workers_are_asked_in_rotation(self) -> None:
        for number in range(3, 31):
            self.add_worker(f"w{number}", cpu=1000)
        self.submit("full", count=30)
        (first,) = get_requests(self.submit("a"))
        (second,) = get_requests(self.submit("b", queue=URGENT))
        self.assertEqual(12, len(first.workers))
        self.assertEqual(set(), set(first.workers) & set(second.workers))
