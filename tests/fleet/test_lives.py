"""Delayed reports of earlier worker incarnations that arrive while a later one runs."""

from __future__ import annotations

import asyncio

import msgspec

from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000d1"


async def deliver_report(fleet: LocalFleet, life_id: str) -> None:
    """Send a report of an ended incarnation to the first agent."""
    settings = fleet.agents[0]._settings
    body = msgspec.structs.replace(fleet.workers[0].make_report(), seq=3)
    url = f"http://{settings.registration.address}/v1/Instances.Heartbeat/{life_id}"
    answer = await fleet.client.request("POST", url, body=body)
    assert answer.status == 200


class LateReportTests(AsyncTestCase):
    def test_a_run_goes_on_after_a_report_of_an_earlier_incarnation(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                # An entry drops its jobs if the event loop of this process was late for too long.
                submitting = fleet.submit_with_retries(JOB, text=make_text(1.0))
                job = asyncio.create_task(submitting)
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the run to begin")
                await deliver_report(fleet, "i-earlier")
                self.assertEqual(200, (await job).status)
                self.assertEqual(1, len(fleet.get_started(JOB)))

        self.run_async(run())

    def test_a_later_incarnation_is_registered_while_nothing_runs(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                worker = fleet.workers[0]
                await worker.crash()
                worker.start()
                life_id = worker.life_id
                await wait_until(
                    lambda: life_id in fleet.entries[0].get_state()["workers"],  # type: ignore[operator]
                    "the later incarnation to be reachable",
                )
                await deliver_report(fleet, "i-earlier")
                answer = await fleet.submit(JOB, text=make_text(0.1))
                self.assertEqual(200, answer.status)

        self.run_async(run())
