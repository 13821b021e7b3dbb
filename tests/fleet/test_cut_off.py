"""What an entry that reaches nobody does with its jobs."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.ownership import Held
from dalemast.core.workloads import Resources
from dalemast.fleet.base import JobDropped, JobRejected
from dalemast.fleet.entry.job_tracker import CUT_OFF, UNCONFIRMED
from tests.core.scheduling.base import make_job, make_step
from tests.fleet.test_job_tracker import JOB, JobTrackerTestCase

WAITING = "00000000000000de"


class CutOffTests(JobTrackerTestCase):
    def test_what_has_begun_is_dropped_and_what_waits_has_not_run(self) -> None:
        async def run() -> None:
            tracker = self.make_tracker("i-1")
            begun = await self.submit(tracker)
            too_wide = make_job(WAITING, make_step(resources=Resources(cpu=4000, memory_mb=10)))
            waiting = asyncio.create_task(tracker.run(too_wide))
            await asyncio.sleep(0)
            tracker.abandon_isolated()
            self.assertEqual(JobDropped(cause=CUT_OFF), await begun)
            turned_away = await waiting
            self.assertIsInstance(turned_away, JobRejected)
            self.assertEqual(CUT_OFF, turned_away.cause)
            self.assertGreater(turned_away.retry_after_s, 0.0)
            self.assertEqual(0, len(tracker))
            self.assertEqual([JOB], [stop.job_id for stop in self.stops])

        self.run_async(run())

    def test_an_id_that_nobody_could_confirm_is_turned_away_as_not_run(self) -> None:
        async def run() -> None:
            for owner, kind in (("", JobRejected), ("life-other", JobDropped)):
                tracker = self.make_tracker("i-1")
                self.claims.result = Held(owner=owner, free_at=None)
                with mock.patch("dalemast.fleet.entry.job_tracker.CLAIM_WAIT_S", 0.05):
                    outcome = await tracker.run(make_job(JOB))
                self.assertIsInstance(outcome, kind)
                if isinstance(outcome, JobRejected):
                    self.assertEqual(UNCONFIRMED, outcome.cause)
                self.assertEqual([], self.starts)

        self.run_async(run())
