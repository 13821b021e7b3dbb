"""Calls to the emulated worker meet the fates that the platform's pages allow."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

from dalemast.emulator import CallFates, CallRecord, EmulatedWorker, Fate
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.platform.worker import POLL_PATH, START_PATH, STOP_PATH
from tests.base import AsyncTestCase, wait_until

TASK = "00ab.0.0.0"
DRAWS = 4000
CALL_TIMEOUT_S = 0.15
LEASE_S = 60.0


class DrawTests(AsyncTestCase):
    def test_each_fate_comes_as_often_as_its_share_says(self) -> None:
        fates = CallFates(answered_late=0.1, unanswered=0.2, done_late=0.3, lost=0.1)
        rng = random.Random(1)
        drawn = [fates.draw(rng) for _ in range(DRAWS)]
        shares = {fate: drawn.count(fate) / DRAWS for fate in Fate}
        for fate, share in zip(Fate, (0.3, 0.1, 0.2, 0.3, 0.1), strict=True):
            self.assertAlmostEqual(share, shares[fate], delta=0.04)

    def test_without_shares_every_call_is_served(self) -> None:
        rng = random.Random(1)
        self.assertEqual({Fate.SERVED}, {CallFates().draw(rng) for _ in range(DRAWS)})


class CallTests(AsyncTestCase):
    def setUp(self) -> None:
        """Let late calls come soon, and leases last longer than a host may stand still."""
        super().setUp()
        for name, value in (
            ("dalemast.emulator.worker.DONE_LATE_S", (0.2, 0.2)),
            ("dalemast.emulator.runs.LEASE_MAX_S", LEASE_S),
        ):
            patch = mock.patch(name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def begin(self) -> None:
        """Start a worker whose calls are recorded."""
        self.worker = EmulatedWorker(
            address="127.0.0.1:0", report_to="127.0.0.1:9", service="s", zone="z", cpu=1
        )
        self.records: list[CallRecord] = []
        self.worker.on_call = self.records.append
        self.worker.start()
        self.client = JsonClient()

    async def call(self, path: str, **fields: Any) -> int | None:
        """Send a call; return the status, or None if there was no answer in time."""
        try:
            response = await self.client.request(
                "POST",
                f"http://{self.worker.address}{path}",
                body={"fence": 1, **fields},
                timeout_s=CALL_TIMEOUT_S,
                is_fresh=True,
            )
        except HttpFailure:
            return None
        return response.status

    async def look(self) -> dict[str, Any]:
        """Look at the worker without renewing its lease."""
        url = f"http://{self.worker.address}{POLL_PATH}"
        response = await self.client.request("POST", url, body={"fence": 1})
        return dict(response.decode(dict[str, Any]))

    async def find_lease_end_ms(self, lease_s: float) -> int:
        """Return the end of a lease from now, by the worker's clock."""
        return round((await self.look())["clock_ms"] + lease_s * 1000)

    async def start(self, *, lease_s: float = LEASE_S) -> int | None:
        """Tell the worker to start a task of half a minute."""
        until_ms = await self.find_lease_end_ms(lease_s)
        spec = '{"run_s": 30}'
        return await self.call(START_PATH, task=TASK, run=1, spec=spec, until_ms=until_ms)

    async def stop(self) -> int | None:
        """Tell it to stop that task."""
        return await self.call(STOP_PATH, task=TASK, run=1)

    def check(self, scenario: Any) -> None:
        """Run a scenario between start and crash of the worker."""

        async def run() -> None:
            self.begin()
            try:
                await scenario()
            finally:
                await self.worker.crash()

        self.run_async(run())

    def test_a_lost_start_never_begins(self) -> None:
        async def scenario() -> None:
            self.worker.set_faults(starts=CallFates(lost=1.0))
            self.assertIsNone(await self.start())
            await asyncio.sleep(0.3)
            self.assertEqual([], self.worker.started)

        self.check(scenario)

    def test_a_start_without_an_answer_begins_at_once(self) -> None:
        async def scenario() -> None:
            self.worker.set_faults(starts=CallFates(unanswered=1.0))
            self.assertIsNone(await self.start())
            self.assertEqual({TASK}, self.worker.active_tasks)

        self.check(scenario)

    def test_a_late_start_begins_within_its_lease_alone(self) -> None:
        async def scenario() -> None:
            self.worker.set_faults(starts=CallFates(done_late=1.0))
            self.assertIsNone(await self.start(lease_s=0.1))
            await wait_until(lambda: self.records[-1].reason == "late", "the refusal")
            self.assertEqual(set(), self.worker.active_tasks)
            self.assertIsNone(await self.start())
            await wait_until(lambda: bool(self.worker.active_tasks), "the late start")

        self.check(scenario)

    def test_a_late_start_is_barred_by_a_stop_that_came_before(self) -> None:
        async def scenario() -> None:
            self.worker.set_faults(starts=CallFates(done_late=1.0))
            self.assertIsNone(await self.start())
            self.assertEqual(200, await self.stop())
            await wait_until(lambda: self.records[-1].reason == "old", "the refusal")
            self.assertEqual([], self.worker.started)

        self.check(scenario)

    def test_a_late_stop_stops_late_and_a_lost_one_never(self) -> None:
        async def scenario() -> None:
            self.assertEqual(200, await self.start())
            self.worker.set_faults(stops=CallFates(lost=1.0))
            self.assertIsNone(await self.stop())
            self.worker.set_faults(stops=CallFates(done_late=1.0))
            self.assertIsNone(await self.stop())
            self.assertEqual({TASK}, self.worker.active_tasks)
            await wait_until(lambda: not self.worker.active_tasks, "the late stop")
            self.assertEqual([[1, TASK, 1, "stopped", ""]], (await self.look())["ended"])
            carried_out = [r.fate for r in self.records if r.task and r.reason is not None]
            self.assertEqual([Fate.SERVED, Fate.DONE_LATE], carried_out)

        self.check(scenario)

    def test_a_look_without_an_answer_renews_the_lease(self) -> None:
        async def scenario() -> None:
            self.assertEqual(200, await self.start(lease_s=1.0))
            until_ms = await self.find_lease_end_ms(LEASE_S)
            self.worker.set_faults(looks=CallFates(unanswered=1.0))
            self.assertIsNone(await self.call(POLL_PATH, until_ms=until_ms))
            await asyncio.sleep(1.0)
            self.assertEqual({TASK}, self.worker.active_tasks)

        self.check(scenario)

    def test_a_lost_look_renews_no_lease(self) -> None:
        async def scenario() -> None:
            self.assertEqual(200, await self.start(lease_s=1.0))
            until_ms = await self.find_lease_end_ms(LEASE_S)
            self.worker.set_faults(looks=CallFates(lost=1.0))
            self.assertIsNone(await self.call(POLL_PATH, until_ms=until_ms))
            await wait_until(lambda: not self.worker.active_tasks, "the lease to lapse")

        self.check(scenario)

    def test_a_crash_takes_late_calls_with_it(self) -> None:
        async def scenario() -> None:
            self.worker.set_faults(starts=CallFates(done_late=1.0))
            self.assertIsNone(await self.start())
            await self.worker.crash()
            self.worker.start()
            await asyncio.sleep(0.3)
            self.assertEqual([], self.worker.started)

        self.check(scenario)
