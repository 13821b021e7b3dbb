"""Configuration changes: concurrent writers, lost responses, and how entries apply versions."""

from __future__ import annotations

import asyncio
from typing import Any

from dalemast.core.configuration import (
    ConfigurationInvalid,
    UnknownName,
    VersionConflict,
)
from dalemast.entry.configuration import ConfigurationStore
from dalemast.hosting import (
    BaseTable,
    Condition,
    FaultControls,
    Host,
    HostRole,
    HostState,
    MemoryPlatform,
    PlatformAnswerLost,
    Put,
    Row,
)
from tests.base import AsyncTestCase, LocalSystem, make_job, wait_until


class LossyTable(BaseTable):
    """A table that loses the responses to the next transactions, before or after the write."""

    def __init__(self, table: BaseTable, losses: list[str]) -> None:
        self._table = table
        self._losses = losses

    async def get_rows(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        return await self._table.get_rows(keys)

    async def insert_rows(self, puts: tuple[Put, ...]) -> tuple[Row, ...]:
        return await self._table.insert_rows(puts)

    async def transact(self, *, conditions: tuple[Condition, ...], puts: tuple[Put, ...]) -> None:
        loss = self._losses.pop(0) if self._losses else ""
        if loss == "before":
            raise PlatformAnswerLost("lost before the write")
        await self._table.transact(conditions=conditions, puts=puts)
        if loss == "after":
            raise PlatformAnswerLost("lost after the write")


def name_account(name: str) -> dict[str, object]:
    return {"accounts": [{"name": name}]}


class StoreTests(AsyncTestCase):
    def test_one_of_several_concurrent_changes_is_accepted(self) -> None:
        async def run() -> None:
            store = ConfigurationStore(table=MemoryPlatform().table)
            results = await asyncio.gather(
                *(store.replace(expected_version=0, kinds=name_account(f"a{n}")) for n in range(8)),
                return_exceptions=True,
            )
            conflicts = [r for r in results if isinstance(r, VersionConflict)]
            winners = [r for r in results if not isinstance(r, BaseException)]
            self.assertEqual((len(winners), len(conflicts)), (1, 7))
            current = await store.read()
            self.assertEqual((current.version, current.accounts), (1, winners[0].accounts))

        self.run_async(run())

    def test_change_is_written_once_when_responses_are_lost(self) -> None:
        cases = [["after"], ["before"], ["before", "after"], ["before", "before", "before"]]

        async def run(losses: list[str]) -> None:
            platform = MemoryPlatform()
            store = ConfigurationStore(table=LossyTable(platform.table, list(losses)))
            await store.replace(expected_version=0, kinds=name_account("kept"))
            current = await store.read()
            self.assertEqual((current.version, current.accounts[0].name), (1, "kept"))

        for losses in cases:
            self.run_async(run(losses))

    def test_lost_response_is_a_conflict_if_another_change_was_accepted(self) -> None:
        async def run() -> None:
            platform = MemoryPlatform()
            rival = ConfigurationStore(table=platform.table)

            class ConflictingTable(LossyTable):
                async def transact(self, **arguments: Any) -> None:
                    await rival.replace(expected_version=0, kinds=name_account("rival"))
                    raise PlatformAnswerLost("lost, and another was first")

            store = ConfigurationStore(table=ConflictingTable(platform.table, []))
            failed: BaseException | None = None
            try:
                await store.replace(expected_version=0, kinds=name_account("mine"))
            except (VersionConflict, PlatformAnswerLost) as error:
                failed = error
            self.assertIsInstance(failed, VersionConflict)
            self.assertEqual((await rival.read()).accounts[0].name, "rival")

        self.run_async(run())

    def test_invalid_change_writes_nothing(self) -> None:
        async def run() -> None:
            store = ConfigurationStore(table=MemoryPlatform().table)
            failed = False
            try:
                kinds: dict[str, object] = {"accounts": [{"name": "a"}, {"name": "a"}]}
                await store.replace(expected_version=0, kinds=kinds)
            except ConfigurationInvalid:
                failed = True
            self.assertTrue(failed)
            self.assertEqual(await store.get_version(), 0)

        self.run_async(run())

    def test_delete_of_an_unknown_name_is_refused(self) -> None:
        async def run() -> None:
            store = ConfigurationStore(table=MemoryPlatform().table)
            failed = False
            try:
                await store.delete(kind="accounts", name="nobody")
            except UnknownName:
                failed = True
            self.assertTrue(failed)

        self.run_async(run())


class InForceTests(AsyncTestCase):
    def test_change_is_in_force_at_every_entry_and_survives_an_outage(self) -> None:
        async def run() -> None:
            async with LocalSystem(entry_count=3) as system:
                current = await system.operate("GET", "/v1/configuration")
                version = current.decode(dict)["version"]
                kinds = {"limits": [{"name": "platform", "max_tasks_per_job": 2}]}
                body = {"version": version, "kinds": kinds}
                answer = await system.operate("PUT", "/v1/configuration", body)
                self.assertEqual(answer.status, 200)
                engines = [entry.engine for entry in system.process.entries]
                await wait_until(
                    lambda: all(e.configuration.version == version + 1 for e in engines)
                )
                system.process.platform.set_faults(FaultControls(is_down=True))
                fresh = await system.process.start_entry(4)
                await wait_until(lambda: fresh.engine.configuration.is_ready)
                self.assertEqual(fresh.engine.configuration.version, version + 1)
                self.assertEqual(fresh.engine.configuration.limits.max_tasks_per_job, 2)

        self.run_async(run())

    def test_stale_change_is_a_conflict_over_http(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                body = {"version": 0, "kinds": {"limits": [{"name": "platform"}]}}
                answer = await system.operate("PUT", "/v1/configuration", body)
                self.assertEqual((answer.status, answer.get_error_code()), (409, "E1302"))

        self.run_async(run())

    def test_leaving_endpoint_gets_no_new_work(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                answer = await system.operate("GET", "/v1/configuration")
                current = answer.decode(dict)
                endpoints = current["endpoints"]
                for endpoint in endpoints[1:]:
                    endpoint["state"] = "leaving"
                body = {"version": current["version"], "kinds": {"endpoints": endpoints}}
                await system.operate("PUT", "/v1/configuration", body)
                caller = system.make_caller()
                result = await caller.submit(make_job("echo", *range(20)))
                self.assertEqual(result.status, 200)
                started = [agent.engine.gate.started for agent in system.process.agents]
                self.assertEqual(started, [20, 0, 0])

        self.run_async(run())

    def test_host_that_the_platform_lists_as_leaving_gets_no_new_work(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                leaving = system.process.agents[0].engine.gate
                name = system.process.entries[0].engine.owner.pool.get_views()[0].name
                host = Host(
                    name=name,
                    role=HostRole.WORKER,
                    address="127.0.0.1:1",
                    state=HostState.LEAVING,
                )
                system.process.platform.hosts.set_host(host)
                view = system.process.entries[0].engine.owner.pool.get(name)
                assert view is not None
                await wait_until(lambda: view.is_host_leaving)
                result = await system.make_caller().submit(make_job("echo", *range(30)))
                self.assertEqual(result.status, 200)
                self.assertEqual(leaving.started, 0)

        self.run_async(run())

    def test_drained_agent_gets_no_new_work_until_it_is_put_back(self) -> None:
        async def run() -> None:
            async with LocalSystem() as system:
                agent = system.process.agents[0]
                url = f"http://{agent.operators_address}/v1"
                await system.client.request("POST", f"{url}/drain")
                ready = await system.client.request("GET", f"{url}/ready")
                self.assertEqual(ready.status, 503)
                view = system.process.entries[0].engine.owner.pool.get_views()[0]
                await wait_until(lambda: view.is_draining)
                caller = system.make_caller()
                self.assertEqual((await caller.submit(make_job("echo", *range(16)))).status, 200)
                self.assertEqual(agent.engine.gate.started, 0)
                await system.client.request("DELETE", f"{url}/drain")
                await wait_until(lambda: not view.is_draining)
                self.assertEqual((await caller.submit(make_job("echo", *range(24)))).status, 200)
                self.assertGreater(agent.engine.gate.started, 0)

        self.run_async(run())
