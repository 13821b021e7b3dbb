"""Tests of evacuations on the whole path, from the store to entries and agents."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import msgspec

from dalemast.core.evacuations import Evacuations
from dalemast.fleet.entry import FleetEntryProcess
from dalemast.fleet.frames import (
    AgentHello,
    EvacuationUpdate,
    MemberRow,
    PeerHello,
)
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    LocalFleet,
    find_address,
    make_configuration,
    make_text,
    settle,
)

WACO = 1
"""Index of the worker in waco; the other one is in austin."""
JOBS = 12


def make_fleet(**arguments: Any) -> LocalFleet:
    return LocalFleet(workers=2, data_centres=("austin", "waco"), **arguments)


def get_evacuated(processes: list[Any]) -> list[list[str]]:
    return [process.get_state()["evacuated"] for process in processes]


async def wait_for_evacuated(processes: list[Any], *data_centres: str) -> None:
    expected = [list(data_centres)] * len(processes)
    await wait_until(lambda: get_evacuated(processes) == expected, f"{data_centres} everywhere")


async def add_entry_without_store(fleet: LocalFleet) -> FleetEntryProcess:
    """Start an entry that can't reach the store."""
    settings = await fleet._make_entry(len(fleet.entries))
    fleet.entry_settings.append(settings)
    settings = msgspec.structs.replace(
        settings,
        store=AddressSettings(address=find_address()),
        seeds=tuple(entry._member.address for entry in fleet.entries),
    )
    return await fleet.add_entry(settings)


class EvacuationTests(AsyncTestCase):
    async def run_jobs(self, fleet: LocalFleet, name: str, *, entry: int = 0) -> None:
        for number in range(JOBS):
            response = await fleet.submit_with_retries(f"{name}{number:015x}", entry=entry)
            self.assertEqual(200, response.status)

    def test_no_task_starts_there_until_it_is_withdrawn(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated([*fleet.entries, *fleet.agents], "waco")
                before = len(fleet.workers[WACO].started)
                await self.run_jobs(fleet, "a")
                self.assertEqual(before, len(fleet.workers[WACO].started))
                fleet.store.drop("op", "evacuate/waco")
                await wait_for_evacuated([*fleet.entries, *fleet.agents])
                await wait_until(fleet.is_ready, "its workers to be used again")

        self.run_async(run())

    def test_running_tasks_are_not_stopped(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/austin", {})
                await wait_for_evacuated([*fleet.entries, *fleet.agents], "austin")
                job = fleet.submit_with_retries("b" * 16, text=make_text(0.5))
                response = asyncio.create_task(job)
                await wait_until(lambda: bool(fleet.get_running("b" * 16)), "the job to run")
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated(fleet.agents, "austin", "waco")
                self.assertEqual(200, (await response).status)

        self.run_async(run())

    def test_an_entry_without_the_store_receives_it_from_its_peers(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated(fleet.entries, "waco")
                entry = await add_entry_without_store(fleet)
                await wait_until(
                    lambda: entry.get_state()["configuration"] is not None, "a configuration"
                )
                self.assertEqual(["waco"], entry.get_state()["evacuated"])
                fleet.store.drop("op", "evacuate/waco")
                await wait_for_evacuated([entry])

        self.run_async(run())

    def test_a_withdrawal_in_a_lost_history_is_found_by_a_full_read(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated(fleet.entries, "waco")
                fleet.store.outage = "busy"
                fleet.store.drop("op", "evacuate/waco")
                fleet.store.forget_history()
                await settle()
                fleet.store.outage = ""
                await wait_for_evacuated([*fleet.entries, *fleet.agents])

        self.run_async(run())

    def test_an_entry_knows_of_it_before_its_first_start(self) -> None:
        """Guards against starts after a full restart, when agents don't know of it either."""

        async def run() -> None:
            async with make_fleet(documents={"evacuate/waco": {}}) as fleet:
                self.assertEqual([["waco"]] * 2, get_evacuated(fleet.entries))
                await self.run_jobs(fleet, "c")
                self.assertEqual([], fleet.workers[WACO].started)

        self.run_async(run())

    def test_an_agent_refuses_starts_of_an_entry_that_does_not_know_of_it(self) -> None:
        async def run() -> None:
            async with make_fleet(entries=1) as fleet:
                agent = fleet.agents[WACO]
                update = Evacuations(version=10**9, data_centres=frozenset({"waco"}))
                agent._evacuations.offer(update, source="another entry")
                await self.run_jobs(fleet, "d")
                self.assertEqual([], fleet.workers[WACO].started)

        self.run_async(run())

    def test_an_outdated_entry_is_updated_by_a_peer_that_it_updates(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                ahead, behind = fleet.entries
                update = Evacuations(version=10**9, data_centres=frozenset({"waco"}))
                ahead._evacuations._view.offer(update)
                self.assertEqual([], behind.get_state()["evacuated"])
                fleet.store.put("op", "evacuate/temple", {})
                await wait_for_evacuated([behind], "waco")

        self.run_async(run())

    def test_a_change_while_a_link_is_being_opened_is_not_missed(self) -> None:
        """Changes are sent on greeted links only, so one during the greeting could be missed."""

        async def run() -> None:
            async with make_fleet(entries=2) as fleet:
                entry = fleet.entries[0]
                sent: list[Any] = []
                link = mock.Mock(send=sent.append)
                agent = entry._agents.accept(link)
                peer = entry._peers._open(link, is_dialled=True)
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated([entry], "waco")
                sent.clear()
                hello = AgentHello(name="new", incarnation="n", data_centre="waco")
                agent.receive([hello])
                row = MemberRow(name="e9", incarnation="i", address="a:1", data_centre="waco")
                peer.receive([PeerHello(member=row, jobs=())])
                updates = [update for update in sent if isinstance(update, EvacuationUpdate)]
                self.assertEqual([("waco",)] * 2, [update.data_centres for update in updates])
                agent.close()
                peer.close()

        self.run_async(run())

    def test_configurations_still_take_effect(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/waco", {})
                fleet.store.put("op", "config", make_configuration(9))
                await wait_for_evacuated(fleet.entries, "waco")
                await wait_until(
                    lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries)
                )

        self.run_async(run())
