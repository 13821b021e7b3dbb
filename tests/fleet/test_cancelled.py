"""Tests that tasks are stopped once their caller has disconnected, also if stops get lost."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000cc"
ENDLESS = make_text(60.0)
"""A task that outlasts the test."""


class CancelledJobTests(AsyncTestCase):
    """Guards against leftover tasks of starts that were carried out late while stops were lost."""

    def setUp(self) -> None:
        super().setUp()
        late = mock.patch("dalemast.emulator.worker.LATE_ORDER_S", (0.3, 0.4))
        late.start()
        self.addCleanup(late.stop)
        self._checks = 0

    async def start_late(self, fleet: LocalFleet) -> None:
        """Return once a task has started whose caller had already disconnected."""
        # An entry grants no claims for a while after its start; the job must not wait for that.
        await self.check_capacity_is_free(fleet)
        fleet.workers[0].set_faults(late_orders=1.0, lost_stops=1.0)
        await fleet.abort_submission(JOB, after_s=0.2, text=ENDLESS)
        await wait_until(lambda: bool(fleet.get_running(JOB)), "the late start")

    def test_a_task_that_started_late_is_stopped_once_stops_arrive(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.start_late(fleet)
                fleet.workers[0].set_faults(late_orders=0.0, lost_stops=0.0)
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                await self.check_capacity_is_free(fleet)

        self.run_async(scenario())

    def test_a_task_that_started_late_is_stopped_though_its_owner_is_gone(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                await self.start_late(fleet)
                await fleet.entries[0].close()
                fleet.workers[0].set_faults(late_orders=0.0, lost_stops=0.0)
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                await self.check_capacity_is_free(fleet, entry=1)

        self.run_async(scenario())

    def test_a_task_is_stopped_when_its_owner_is_gone(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=ENDLESS))
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the task to start")
                await fleet.entries[0].close()
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                job.cancel()
                await self.check_capacity_is_free(fleet, entry=1)

        self.run_async(scenario())

    async def check_capacity_is_free(self, fleet: LocalFleet, entry: int = 0) -> None:
        """Check that a job that needs the whole worker can run."""
        self._checks += 1
        response = await fleet.submit_with_retries(
            f"{self._checks:016x}", entry=entry, cpu=fleet._cpu, text=make_text(0.05)
        )
        self.assertEqual(200, response.status)


class OverdueJobTests(AsyncTestCase):
    """A job that is still open after its caller's timeout is logged once."""

    def test_the_state_of_an_overdue_job_is_logged_once(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(2.0), deadline_ms=800))
                with mock.patch("dalemast.fleet.entry.job_tracker.log_event") as log:
                    self.assertEqual(200, (await job).status)
                overdue = [call for call in log.call_args_list if call.args == ("job:overdue",)]
                self.assertEqual(1, len(overdue))
                fields = overdue[0].kwargs
                self.assertEqual(
                    (JOB, True, {"placed": 1}),
                    (fields["job"], fields["is_claimed"], fields["tasks"]),
                )
                self.assertEqual(fields["workers"], fields["in_reach"])

        self.run_async(scenario())
