"""Evacuations on the whole path: declared in the store, kept to by entries and agents."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import msgspec

from dalemast.core.evacuations import Evacuations
from dalemast.fleet.entry import FleetEntryProcess
from dalemast.fleet.frames import AgentHello, EvacuationUpdate, MemberRow, PeerHello
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, find_address, make_configuration, make_text, settle

WACO = 1
"""The worker in the data centre that is evacuated; the other one is in austin."""
JOBS = 12


def make_fleet(**arguments: Any) -> LocalFleet:
    return LocalFleet(workers=2, data_centres=("austin", "waco"), **arguments)


def get_evacuated(processes: list[Any]) -> list[list[str]]:
    return [process.get_state()["evacuated"] for process in processes]


async def wait_for_evacuated(processes: list[Any], *data_centres: str) -> None:
    expected = [list(data_centres)] * len(processes)
    await wait_until(lambda: get_evacuated(processes) == expected, f"{data_centres} everywhere")


async def add_entry_without_store(fleet: LocalFleet) -> FleetEntryProcess:
    """Start an entry that the store turns away from the beginning."""
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

    def test_nothing_starts_there_until_it_is_taken_back(self) -> None:
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

    def test_what_runs_there_is_not_cut_off(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/austin", {})
                await wait_for_evacuated([*fleet.entries, *fleet.agents], "austin")
                job = fleet.submit_with_retries("b" * 16, text=make_text(0.5))
                answer = asyncio.create_task(job)
                await wait_until(lambda: bool(fleet.get_running("b" * 16)), "the job to run")
                fleet.store.put("op", "evacuate/waco", {})
                await wait_for_evacuated(fleet.agents, "austin", "waco")
                self.assertEqual(200, (await answer).status)

        self.run_async(run())

    def test_an_entry_that_the_store_turns_away_hears_of_it_from_the_others(self) -> None:
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

    def test_a_withdrawal_in_a_forgotten_history_is_found_by_reading_anew(self) -> None:
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

    def test_an_entry_knows_before_its_first_start(self) -> None:
        """Agents of an empty fleet know nothing either, as after a loss of all power."""

        async def run() -> None:
            async with make_fleet(documents={"evacuate/waco": {}}) as fleet:
                self.assertEqual([["waco"]] * 2, get_evacuated(fleet.entries))
                await self.run_jobs(fleet, "c")
                self.assertEqual([], fleet.workers[WACO].started)

        self.run_async(run())

    def test_an_agent_refuses_what_an_entry_asks_that_has_not_heard(self) -> None:
        async def run() -> None:
            async with make_fleet(entries=1) as fleet:
                agent = fleet.agents[WACO]
                news = Evacuations(version=10**9, data_centres=frozenset({"waco"}))
                agent._evacuations.offer(news, source="another entry")
                await self.run_jobs(fleet, "d")
                self.assertEqual([], fleet.workers[WACO].started)

        self.run_async(run())

    def test_an_entry_that_is_behind_is_told_by_whom_it_tells(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                ahead, behind = fleet.entries
                news = Evacuations(version=10**9, data_centres=frozenset({"waco"}))
                ahead._evacuations._view.offer(news)
                self.assertEqual([], behind.get_state()["evacuated"])
                fleet.store.put("op", "evacuate/temple", {})
                await wait_for_evacuated([behind], "waco")

        self.run_async(run())

    def test_a_change_while_a_link_is_opening_is_not_missed(self) -> None:
        """Changes are told on greeted links alone, and a greeting may be on its way."""

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
                told = [news for news in sent if isinstance(news, EvacuationUpdate)]
                self.assertEqual([("waco",)] * 2, [news.data_centres for news in told])
                agent.close()
                peer.close()

        self.run_async(run())

    def test_configurations_go_on_beside_it(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                fleet.store.put("op", "evacuate/waco", {})
                fleet.store.put("op", "config", make_configuration(9))
                await wait_for_evacuated(fleet.entries, "waco")
                await wait_until(
                    lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries)
                )

        self.run_async(run())
