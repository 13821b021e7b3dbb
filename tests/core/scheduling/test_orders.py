"""Orders of service."""

from __future__ import annotations

import testtools

from dalemast.core.scheduling import LeastSlackOrder, PriorityOrder
from dalemast.core.scheduling.jobs import Job
from tests.core.scheduling.base import make_job, make_queue


def make_queued_job(
    name: str, *, priority: int = 0, objective_s: float = 1.0, begun: bool = False
) -> Job:
    request = make_job(name, queue=make_queue(priority=priority))
    job = Job(request=request, arrived_at=0.0, objective_s=objective_s, chain_s=0.1)
    if begun:
        job.first_start_at = 0.1
    return job


class OrderTests(testtools.TestCase):
    def test_a_started_job_goes_first_in_every_order(self) -> None:
        begun = make_queued_job("begun", priority=9, objective_s=9.0, begun=True)
        for order in (LeastSlackOrder(), PriorityOrder()):
            self.assertLess(
                order.get_key(begun, now=0.2), order.get_key(make_queued_job("new"), now=0.2)
            )

    def test_slack_and_priority_rank_jobs_differently(self) -> None:
        urgent = make_queued_job("urgent", priority=0, objective_s=2.0)
        tight = make_queued_job("tight", priority=1, objective_s=1.0)
        by_slack, by_priority = LeastSlackOrder(), PriorityOrder()
        self.assertLess(by_slack.get_key(tight, now=0.0), by_slack.get_key(urgent, now=0.0))
        self.assertLess(by_priority.get_key(urgent, now=0.0), by_priority.get_key(tight, now=0.0))
