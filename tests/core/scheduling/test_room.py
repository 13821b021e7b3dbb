"""Tests for an owner's view of a worker's free capacity."""

from __future__ import annotations

from dalemast.core.scheduling import CapacityReport
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import SchedulerTestCase, get_starts, make_job, make_step


def make_report(cpu: int, *, seen: int) -> CapacityReport:
    free = Resources(cpu=cpu, memory_mb=1000)
    return CapacityReport(seen=seen, free=free, is_accepting=True)


class FreeCapacityTests(SchedulerTestCase):
    def test_starts_that_a_report_does_not_include_are_subtracted(self) -> None:
        self.add_worker("w1", cpu=4000)
        self.scheduler.submit(make_job("a", make_step(2)), now=10.0)
        view = self.scheduler.workers["w1"]
        self.assertEqual(2000, view.free.cpu)
        view.update(make_report(3000, seen=1), now=10.0)
        self.assertEqual(2000, view.free.cpu)
        view.update(make_report(2000, seen=2), now=10.0)
        self.assertEqual(2000, view.free.cpu)

    def test_a_task_starts_only_when_enough_capacity_is_reported(self) -> None:
        self.add_worker("w1", cpu=1000)
        self.scheduler.submit(make_job("a", make_step(2)), now=10.0)
        self.assertEqual([], self.scheduler.update_worker("w1", make_report(999, seen=1), now=10))
        starts = self.scheduler.update_worker("w1", make_report(1000, seen=1), now=10.0)
        self.assertEqual(1, len(get_starts(starts)))

    def test_a_smaller_task_that_arrives_later_is_started(self) -> None:
        self.add_worker("w1", cpu=1000)
        self.scheduler.submit(make_job("a", make_step(2)), now=10.0)
        small = make_step(resources=Resources(cpu=500))
        self.scheduler.submit(make_job("b", small), now=10.0)
        starts = self.scheduler.update_worker("w1", make_report(500, seen=1), now=10.0)
        self.assertEqual(["b"], [start.job.id for start in get_starts(starts)])
