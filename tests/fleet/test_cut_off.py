"""What an entry that reaches nobody does with its jobs."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.ownership import Held
from dalemast.core.workloads import Resources
from dalemast.fleet.base import JobDropped, JobTurnedAway
from dalemast.fleet.entry.desk import CUT_OFF, UNCONFIRMED
from tests.core.scheduling.base import make_job, make_step
from tests.fleet.test_desk import JOB, DeskTestCase

WAITING = "00000000000000de"


class CutOffTests(DeskTestCase):
    def test_what_has_begun_is_dropped_and_what_waits_has_not_run(self) -> None:
        async def run() -> None:
            desk = self.make_desk("i-1")
            begun = await self.submit(desk)
            too_wide = make_job(WAITING, make_step(resources=Resources(cpu=4000, memory_mb=10)))
            waiting = asyncio.create_task(desk.run(too_wide))
            await asyncio.sleep(0)
            desk.abandon_cut_off()
            self.assertEqual(JobDropped(cause=CUT_OFF), await begun)
            turned_away = await waiting
            self.assertIsInstance(turned_away, JobTurnedAway)
            self.assertEqual(CUT_OFF, turned_away.cause)
            self.assertGreater(turned_away.retry_after_s, 0.0)
            self.assertEqual(0, len(desk))
            self.assertEqual([JOB], [stop.job_id for stop in self.stops])

        self.run_async(run())

    def test_an_id_that_nobody_could_confirm_is_turned_away_as_not_run(self) -> None:
        async def run() -> None:
            for owner, kind in (("", JobTurnedAway), ("life-other", JobDropped)):
                desk = self.make_desk("i-1")
                self.claims.result = Held(owner=owner, free_at=None)
                with mock.patch("dalemast.fleet.entry.desk.CLAIM_PATIENCE_S", 0.05):
                    outcome = await desk.run(make_job(JOB))
                self.assertIsInstance(outcome, kind)
                if isinstance(outcome, JobTurnedAway):
                    self.assertEqual(UNCONFIRMED, outcome.cause)
                self.assertEqual([], self.starts)

        self.run_async(run())
