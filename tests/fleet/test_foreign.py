"""Reports and store rows from other writers must not disturb a fleet."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import msgspec

from dalemast.emulator.fates import CallFates
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    LocalFleet,
    make_configuration,
    make_text,
    settle,
)

JOB = "00000000000000f1"


async def send(fleet: LocalFleet, name: str, life_id: str, data: bytes) -> int:
    """Send a request to the address where the first agent's worker reports."""
    address = fleet.agents[0]._settings.registration.address
    url = f"http://{address}/v1/Instances.{name}/{life_id}"
    return (await fleet.client.request("POST", url, body=data)).status


async def send_report(fleet: LocalFleet, life_id: str, **fields: Any) -> int:
    """Send a report of the worker with some fields changed."""
    report = msgspec.to_builtins(fleet.workers[0].make_report())
    return await send(fleet, "Heartbeat", life_id, msgspec.json.encode({**report, **fields}))


def get_worker(fleet: LocalFleet) -> dict[str, Any]:
    """Return the state of the only worker in the first entry."""
    (worker,) = fleet.entries[0].get_state()["workers"].values()  # type: ignore[attr-defined]
    return {name: worker[name] for name in ("is_accepting", "data_centre", "free_cpu")}


class ForeignReportTests(AsyncTestCase):
    def test_a_worker_and_its_run_go_on_despite_foreign_reports(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                before = get_worker(fleet)
                life_id = fleet.workers[0].life_id
                job = asyncio.create_task(fleet.submit(JOB, text=make_text(1.0)))
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the run to begin")
                for name in (life_id, "i-other"):
                    for fields in (
                        {"state": "gone"},
                        {"addr": "127.0.0.1:1"},
                        {"zone": "waco", "state": "draining"},
                        {"capacity": {}},
                        {"seq": 10**12, "state": "draining", "capacity": {"cpu": 1, "mem_mb": 1}},
                    ):
                        if name == life_id or "seq" not in fields:
                            self.assertEqual(400, await send_report(fleet, name, **fields), fields)
                    self.assertEqual(400, await send(fleet, "Heartbeat", name, b"\xff\x00"))
                    self.assertEqual(400, await send(fleet, "Deregister", name, b""))
                await settle()
                self.assertTrue(get_worker(fleet)["is_accepting"])
                self.assertEqual(200, (await job).status)
                self.assertEqual(1, len(fleet.get_started(JOB)))
                await wait_until(lambda: get_worker(fleet) == before, "the worker as before")

        self.run_async(run())

    def test_the_worker_can_still_leave_and_deregister(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                life_id = fleet.workers[0].life_id
                await send_report(fleet, life_id, seq=10**12)
                fleet.workers[0].state = "draining"
                await wait_until(lambda: not get_worker(fleet)["is_accepting"], "its leaving")
                self.assertEqual(200, await send(fleet, "Deregister", life_id, b""))

        self.run_async(run())


class ForeignEndTests(AsyncTestCase):
    """Another writer deregisters a worker that goes on.

    The agent must accept the worker again, or it has no worker until the next incarnation.
    """

    async def check_worker_is_back(self, fleet: LocalFleet, *, is_gone_first: bool) -> None:
        worker, agent = fleet.workers[0], fleet.agents[0]
        await worker.crash()
        with mock.patch.object(worker, "_beat"):
            worker.start()
            fields = {"state": "draining", "seq": 10**9}
            self.assertEqual(200, await send_report(fleet, worker.life_id, **fields))
            await wait_until(
                lambda: get_worker_id(agent) == worker.life_id, "the incarnation to be registered"
            )
            self.assertEqual(200, await send(fleet, "Deregister", worker.life_id, b""))
            if is_gone_first:
                worker.set_faults(looks=CallFates(lost=1.0))
                await wait_until(lambda: get_worker_id(agent) is None, "it to be given up")
                worker.set_faults(looks=CallFates())
        await wait_until(lambda: get_worker_id(agent) == worker.life_id, "the worker to be back")
        await wait_until(lambda: has_room(fleet), "it to take tasks")
        self.assertEqual(200, (await fleet.submit(JOB)).status)

    def test_a_worker_goes_on_after_a_foreign_deregistration(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.check_worker_is_back(fleet, is_gone_first=False)

        self.run_async(run())

    def test_a_worker_given_up_after_a_foreign_deregistration_comes_back(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.check_worker_is_back(fleet, is_gone_first=True)

        self.run_async(run())

    async def check_staying_worker_is_back(self, fleet: LocalFleet, *, is_gone_first: bool) -> None:
        """Check a foreign deregistration of a leaving worker that stays after all."""
        worker, agent = fleet.workers[0], fleet.agents[0]
        worker.state = "draining"
        await wait_until(lambda: not get_worker(fleet)["is_accepting"], "its notice")
        self.assertEqual(200, await send(fleet, "Deregister", worker.life_id, b""))
        if is_gone_first:
            worker.set_faults(looks=CallFates(lost=1.0))
            await wait_until(lambda: get_worker_id(agent) is None, "it to be given up")
            worker.set_faults(looks=CallFates())
        worker.state = "ready"
        await wait_until(lambda: get_worker_id(agent) == worker.life_id, "the worker to be back")
        await wait_until(lambda: has_room(fleet), "it to take tasks")
        self.assertEqual(200, (await fleet.submit(JOB)).status)

    def test_a_worker_that_stays_goes_on_after_a_foreign_deregistration(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.check_staying_worker_is_back(fleet, is_gone_first=False)

        self.run_async(run())

    def test_a_given_up_worker_that_stays_comes_back_after_a_foreign_deregistration(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                await self.check_staying_worker_is_back(fleet, is_gone_first=True)

        self.run_async(run())


def get_worker_id(agent: Any) -> str | None:
    """Return the id of the worker incarnation that an agent has accepted."""
    incarnation = agent._supervisor.incarnation
    return None if incarnation is None else incarnation.id


def has_room(fleet: LocalFleet) -> bool:
    """Return whether the first entry knows a worker that accepts starts."""
    workers = fleet.entries[0].get_state()["workers"].values()  # type: ignore[attr-defined]
    return any(worker["is_accepting"] for worker in workers)


class ForeignRowTests(AsyncTestCase):
    def test_a_fleet_goes_on_despite_foreign_rows(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                store, entry = fleet.store, fleet.entries[0]
                addresses = set(entry._book.addresses)
                for table in ("op", "dalemast-entries"):
                    store.put_raw(table, "a", b'{"key":"\xff","value":7}')
                    store.put_value(table, "b", "%%")
                store.put("dalemast-entries", "c", {"name": "c", "address": ""})
                store.put_value("op", "config", "/w==")
                store.put_value("op", "evacuate/austin", "%%")
                store.put("op", "evacuate/", {})
                await settle()
                self.assertEqual(200, (await fleet.submit(JOB)).status)
                store.put("op", "config", make_configuration(9))
                store.put("op", "evacuate/waco", {})
                await wait_until(
                    lambda: all(
                        (state["configuration"], state["evacuated"]) == (9, ["waco"])
                        for state in (entry.get_state() for entry in fleet.entries)
                    ),
                    "what operators have declared",
                )
                self.assertEqual(addresses, set(entry._book.addresses))
                counted = entry._metrics.dump().counters
                self.assertGreater(counted["row.foreign.unreadable"], 0)
                self.assertGreater(counted["row.foreign.field-missing"], 0)

        self.run_async(run())
