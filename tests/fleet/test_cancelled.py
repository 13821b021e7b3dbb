"""Tasks of jobs whose callers have left: they are stopped, also where that takes several tries."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000cc"
LONG = make_text(60.0)
"""A task that never ends by itself while a test runs."""


class CancelledTests(AsyncTestCase):
    """The worker leaves the start unanswered, carries it out later, and loses stops meanwhile."""

    def setUp(self) -> None:
        super().setUp()
        late = mock.patch("dalemast.emulator.worker.LATE_ORDER_S", (0.3, 0.4))
        late.start()
        self.addCleanup(late.stop)
        self._checks = 0

    async def run_late(self, fleet: LocalFleet) -> None:
        """Return once a task of a job has begun that its caller left before."""
        # A young entry grants no claim yet, and the first job must not wait for that.
        await self.check_room_is_free(fleet)
        fleet.workers[0].set_faults(late_orders=1.0, lost_stops=1.0)
        await fleet.abort_submission(JOB, after_s=0.2, text=LONG)
        await wait_until(lambda: bool(fleet.get_running(JOB)), "the late start")

    def test_a_task_that_began_late_is_stopped_once_stops_arrive(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.run_late(fleet)
                fleet.workers[0].set_faults(late_orders=0.0, lost_stops=0.0)
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                await self.check_room_is_free(fleet)

        self.run_async(scenario())

    def test_a_task_that_began_late_is_stopped_though_its_owner_is_gone(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                await self.run_late(fleet)
                await fleet.entries[0].close()
                fleet.workers[0].set_faults(late_orders=0.0, lost_stops=0.0)
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                await self.check_room_is_free(fleet, entry=1)

        self.run_async(scenario())

    def test_a_task_is_stopped_when_its_owner_is_gone_without_a_word(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=LONG))
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the task to begin")
                await fleet.entries[0].close()
                await wait_until(lambda: not fleet.get_running(JOB), "the task to be stopped")
                job.cancel()
                await self.check_room_is_free(fleet, entry=1)

        self.run_async(scenario())

    async def check_room_is_free(self, fleet: LocalFleet, entry: int = 0) -> None:
        """Check that a job which takes the whole worker runs."""
        self._checks += 1
        response = await fleet.submit_with_retries(
            f"{self._checks:016x}", entry=entry, cpu=fleet._cpu, text=make_text(0.05)
        )
        self.assertEqual(200, response.status)


class OverdueTests(AsyncTestCase):
    """A job that is open though its caller has waited as long as it would is told of, once."""

    def test_what_an_overdue_job_waits_for_is_logged(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(2.0), deadline_ms=800))
                with mock.patch("dalemast.fleet.entry.desk.log_event") as log:
                    self.assertEqual(200, (await job).status)
                overdue = [call for call in log.call_args_list if call.args == ("job:overdue",)]
                self.assertEqual(1, len(overdue))
                told = overdue[0].kwargs
                self.assertEqual(
                    (JOB, True, {"placed": 1}), (told["job"], told["is_claimed"], told["tasks"])
                )
                self.assertEqual(told["workers"], told["in_reach"])

        self.run_async(scenario())
