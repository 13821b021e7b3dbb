"""Tests of open connections that stop working without a reset, while new ones work."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from dalemast.core.ownership import choose_home
from dalemast.core.supervision import StartOutcome
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    LocalFleet,
    make_configuration,
    make_text,
)
from tests.soak.proxy import Proxy

JOB = "00000000000000e{:x}"


async def claim_forever(fleet: LocalFleet, *, entry: int, home: str) -> None:
    """Claim ids one after the other whose home is another entry."""
    names = [settings.name for settings in fleet.entry_settings]
    claims = fleet.entries[entry]._peers.claims
    for number in itertools.count(1):
        job_id = f"{number:016x}"
        if choose_home(job_id, names) == home:
            await claims.claim(job_id)
            claims.release(job_id)
            await asyncio.sleep(0.02)


class ProxiedFleet:
    """A fleet with a proxy in front of each link address, each worker and the store."""

    def __init__(self, **arguments: Any) -> None:
        self._proxies: dict[str, Proxy] = {}
        self._fleet = LocalFleet(make_proxy=self._make_proxy, **arguments)

    async def __aenter__(self) -> tuple[LocalFleet, Callable[[str], None]]:
        return await self._fleet.__aenter__(), self._block

    async def __aexit__(self, *error: object) -> None:
        await self._fleet.__aexit__(*error)
        for proxy in self._proxies.values():
            await proxy.close()

    async def _make_proxy(self, address: str) -> str:
        proxy = self._proxies[address] = Proxy(target=address)
        await proxy.start()
        return proxy.address

    def _block(self, address: str) -> None:
        """Block all open connections to an address."""
        self._proxies[address].discard_open()


class UnresponsiveConnectionTests(AsyncTestCase):
    def play(
        self, scenario: Callable[[LocalFleet, Callable[[str], None]], Awaitable[None]], **shape: int
    ) -> None:
        async def run() -> None:
            async with ProxiedFleet(**shape) as (fleet, block):
                await scenario(fleet, block)

        self.run_async(run())

    def test_an_entry_and_an_agent_reconnect_during_a_run(self) -> None:
        async def scenario(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            job = asyncio.create_task(fleet.submit(JOB.format(1), text=make_text(2.0)))
            await wait_until(lambda: bool(fleet.get_running(JOB.format(1))), "the run to start")
            block(fleet.entry_settings[0].links.address)
            # The owner and the agent receive nothing from each other, so the run is stopped.
            self.assertEqual(200, (await job).status)
            self.assertEqual(200, (await fleet.submit(JOB.format(2))).status)

        self.play(scenario, entries=1, workers=1)

    def test_an_unresponsive_idle_link_is_noticed_by_its_next_start(self) -> None:
        async def scenario(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            block(fleet.entry_settings[0].links.address)
            self.assertEqual(200, (await fleet.submit(JOB.format(3))).status)

        self.play(scenario, entries=1, workers=1)

    def test_one_of_two_links_between_entries_is_redialled(self) -> None:
        async def scenario(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            first = fleet.entries[0]
            session_before = first._peers._dialled["entry-1"]
            # The claims of the second entry keep its link in use, so both entries stay reachable.
            claiming = asyncio.create_task(claim_forever(fleet, entry=1, home="entry-0"))
            await asyncio.sleep(1.0)
            block(fleet.entry_settings[1].links.address)
            await wait_until(
                lambda: first._peers._dialled.get("entry-1") not in (None, session_before),
                "the first entry to redial the other",
            )
            claiming.cancel()
            for number in range(4, 8):
                self.assertEqual(200, (await fleet.submit(JOB.format(number))).status)

        self.play(scenario, entries=2, workers=1)

    def test_orders_reach_a_worker_on_new_connections(self) -> None:
        async def scenario(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            agent = fleet.agents[0]
            jobs = [fleet.submit(JOB.format(n), text=make_text(0.3)) for n in range(8, 12)]
            for response in await asyncio.gather(*jobs):
                self.assertEqual(200, response.status)
            block(fleet.workers[0].address)
            self.assertEqual(200, (await fleet.submit(JOB.format(12))).status)
            counter = f"orders.{StartOutcome.UNANSWERED.value}"
            self.assertEqual(0, agent._metrics.get_count(counter))

        self.play(scenario, entries=1, workers=1)

    def test_a_configuration_arrives_though_the_feed_is_unresponsive(self) -> None:
        async def scenario(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            block(fleet.store.address)
            fleet.store.put("op", "config", make_configuration(9))
            await wait_until(
                lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries),
                "every entry to have the configuration",
            )

        self.play(scenario, entries=2, workers=1)


class PauseAtGreetingTests(AsyncTestCase):
    def test_a_greeting_received_during_a_process_pause_is_not_lost(self) -> None:
        """Guards against a link that stays open although its greeting was discarded."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                pauses = [True]
                owners._check_pause = lambda: bool(pauses) and pauses.pop()
                owners.reset_all()
                await wait_until(lambda: not pauses, "a greeting")
                await wait_until(lambda: len(owners) == 1, "the agent to be linked again")

        self.run_async(run())
