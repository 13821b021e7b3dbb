"""The soak test's check of departures must report late starts on leaving workers, and no others."""

from __future__ import annotations

import time

from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet
from tests.soak.departures import DRAIN_S, Departures
from tests.soak.report import Report


class DepartureCheckTests(AsyncTestCase):
    def check(self, worker, *, known_for_s: float) -> list[str]:
        report = Report(seed=1)
        departures = Departures(cluster=None, report=report, down=set())  # type: ignore[arg-type]
        worker.leave_known_at = time.monotonic() - known_for_s
        departures.check_start(worker, "task")
        return report.broken

    def test_a_start_after_the_notice_was_known_for_long_is_reported(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                worker = fleet.workers[0]
                self.assertEqual([], self.check(worker, known_for_s=DRAIN_S + 1.0))
                worker.state = "draining"
                self.assertEqual(1, len(self.check(worker, known_for_s=DRAIN_S + 1.0)))
                self.assertEqual([], self.check(worker, known_for_s=DRAIN_S / 2))

        self.run_async(scenario())

    def test_a_worker_keeps_when_its_agent_learnt_that_it_leaves(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                worker = fleet.workers[0]
                worker.state, worker.remaining_s = "draining", 2.0
                await wait_until(lambda: worker.leave_known_at is not None, "the notice")
                worker.state, worker.remaining_s = "ready", None
                await wait_until(lambda: worker.leave_known_at is None, "its end")
                worker.state = "draining"
                await wait_until(lambda: worker.leave_known_at is not None, "another")
                await worker.leave()
                worker.state = "ready"
                worker.start()
                self.assertIsNone(worker.leave_known_at)

        self.run_async(scenario())
