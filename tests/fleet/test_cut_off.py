"""Tests of the jobs of an entry that is isolated or can't confirm their ids."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.ownership import Held
from dalemast.core.workloads import Resources
from dalemast.fleet.base import JobDropped, JobRejected
from dalemast.fleet.entry.job_tracker import ISOLATED_CAUSE, UNCONFIRMED_CAUSE
from tests.core.scheduling.base import make_job, make_step
from tests.fleet.test_job_tracker import JOB, JobTrackerTestCase

QUEUED_JOB = "00000000000000de"


class IsolationTests(JobTrackerTestCase):
    def test_started_jobs_are_dropped_and_queued_jobs_rejected(self) -> None:
        async def run() -> None:
            tracker = self.make_tracker("i-1")
            started = await self.submit(tracker)
            too_wide = make_job(QUEUED_JOB, make_step(resources=Resources(cpu=4000, memory_mb=10)))
            queued = asyncio.create_task(tracker.run(too_wide))
            await asyncio.sleep(0)
            tracker.abandon_on_isolation()
            self.assertEqual(JobDropped(cause=ISOLATED_CAUSE), await started)
            rejected = await queued
            self.assertIsInstance(rejected, JobRejected)
            self.assertEqual(ISOLATED_CAUSE, rejected.cause)
            self.assertGreater(rejected.retry_after_s, 0.0)
            self.assertEqual(0, len(tracker))
            self.assertEqual([JOB], [stop.job_id for stop in self.stops])

        self.run_async(run())

    def test_a_job_whose_id_is_unconfirmed_is_rejected_as_not_run(self) -> None:
        async def run() -> None:
            for owner, kind in (("", JobRejected), ("other-1", JobDropped)):
                tracker = self.make_tracker("i-1")
                self.claims.result = Held(owner=owner, free_at=None)
                with mock.patch("dalemast.fleet.entry.job_tracker.CLAIM_WAIT_S", 0.05):
                    outcome = await tracker.run(make_job(JOB))
                self.assertIsInstance(outcome, kind)
                if isinstance(outcome, JobRejected):
                    self.assertEqual(UNCONFIRMED_CAUSE, outcome.cause)
                self.assertEqual([], self.starts)

        self.run_async(run())
