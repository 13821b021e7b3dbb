"""All platform implementations meet the same contract: in memory and over HTTP."""

from __future__ import annotations

import abc
import asyncio
from typing import Any

import msgspec

from dalemast.hosting import (
    BasePlatform,
    Condition,
    ConditionFailed,
    FaultControls,
    Host,
    HostRole,
    HostState,
    MemoryPlatform,
    PlatformAnswerLost,
    PlatformBusy,
    PlatformDown,
    Put,
)
from dalemast.hosting.http import HttpPlatform
from dalemast.hosting.server import PlatformServer
from dalemast.settings import ListenerSettings, PlatformServerSettings
from tests.base import FREE_ADDRESS, AsyncTestCase


def make_put(key: str, value: Any) -> Put:
    return Put(key=key, value=msgspec.Raw(msgspec.json.encode(value)))


class PlatformContract(abc.ABC):
    """Tests of every implementation; ``self.memory`` is the in-memory platform it uses."""

    memory: MemoryPlatform

    @abc.abstractmethod
    def check(self, body: Any) -> None:
        """Run a coroutine function with a fresh platform."""

    def test_absent_row_is_none(self) -> None:
        async def body(platform: BasePlatform) -> None:
            self.assertEqual(await platform.table.get_rows(("no", "nope")), (None, None))

        self.check(body)

    def test_insert_keeps_the_first_value_and_returns_it(self) -> None:
        async def body(platform: BasePlatform) -> None:
            await platform.table.insert_rows((make_put("k", "first"),))
            rows = await platform.table.insert_rows((make_put("k", "second"), make_put("l", 1)))
            self.assertEqual([bytes(row.value) for row in rows], [b'"first"', b"1"])
            self.assertEqual([row.version for row in rows], [1, 1])

        self.check(body)

    def test_one_of_several_concurrent_inserts_succeeds(self) -> None:
        async def body(platform: BasePlatform) -> None:
            answers = await asyncio.gather(
                *(platform.table.insert_rows((make_put("k", n),)) for n in range(10))
            )
            self.assertEqual(len({bytes(rows[0].value) for rows in answers}), 1)

        self.check(body)

    def test_transaction_writes_all_or_nothing(self) -> None:
        async def body(platform: BasePlatform) -> None:
            table = platform.table
            puts = (make_put("a", 1), make_put("b", 1))
            await table.transact(conditions=(Condition(key="a", version=0),), puts=puts)
            failed = False
            try:
                puts = (make_put("a", 2), make_put("b", 2))
                await table.transact(
                    conditions=(Condition(key="a", version=1), Condition(key="b", version=0)),
                    puts=puts,
                )
            except ConditionFailed:
                failed = True
            self.assertTrue(failed)
            rows = await table.get_rows(("a", "b"))
            self.assertEqual([row and bytes(row.value) for row in rows], [b"1", b"1"])

        self.check(body)

    def test_down_platform_refuses_and_writes_nothing(self) -> None:
        async def body(platform: BasePlatform) -> None:
            self.memory.set_faults(FaultControls(is_down=True))
            await self.expect(PlatformDown, platform.table.insert_rows((make_put("k", 1),)))
            await self.expect(PlatformDown, platform.hosts.get_hosts())
            self.memory.set_faults(FaultControls())
            self.assertEqual(await platform.table.get_rows(("k",)), (None,))

        self.check(body)

    def test_lost_answer_leaves_the_write_in_effect(self) -> None:
        async def body(platform: BasePlatform) -> None:
            self.memory.set_faults(FaultControls(is_losing_answers=True))
            insert = platform.table.insert_rows((make_put("k", 1),))
            await self.expect(PlatformAnswerLost, insert)
            self.memory.set_faults(FaultControls())
            (row,) = await platform.table.get_rows(("k",))
            self.assertIsNotNone(row)

        self.check(body)

    def test_calls_above_the_limit_are_refused_as_busy(self) -> None:
        async def body(platform: BasePlatform) -> None:
            self.memory.set_faults(FaultControls(writes_per_s=1.0))
            await platform.table.insert_rows((make_put("k", 1),))
            await self.expect(PlatformBusy, platform.table.insert_rows((make_put("l", 1),)))

        self.check(body)

    def test_host_list_shows_hosts_and_their_state(self) -> None:
        async def body(platform: BasePlatform) -> None:
            host = Host(name="w1", role=HostRole.WORKER, address="127.0.0.1:1")
            self.memory.hosts.set_host(host)
            self.assertEqual(await platform.hosts.get_hosts(), (host,))
            leaving = msgspec.structs.replace(host, state=HostState.LEAVING)
            self.memory.hosts.set_host(leaving)
            self.assertEqual(await platform.hosts.get_hosts(), (leaving,))
            self.memory.hosts.remove_host("w1")
            self.assertEqual(await platform.hosts.get_hosts(), ())

        self.check(body)

    def test_host_list_lags(self) -> None:
        async def body(platform: BasePlatform) -> None:
            self.memory.set_faults(FaultControls(host_lag_s=1000.0))
            host = Host(name="w1", role=HostRole.WORKER, address="127.0.0.1:1")
            self.memory.hosts.set_host(host)
            self.assertEqual(await platform.hosts.get_hosts(), ())

        self.check(body)

    async def expect(self, error_type: type[Exception], awaitable: Any) -> None:
        try:
            await awaitable
        except error_type:
            return
        raise AssertionError(f"{error_type.__name__} was not raised")


class MemoryPlatformTests(PlatformContract, AsyncTestCase):
    def check(self, body: Any) -> None:
        async def run() -> None:
            self.memory = MemoryPlatform()
            await body(self.memory)

        self.run_async(run())


class HttpPlatformTests(PlatformContract, AsyncTestCase):
    def check(self, body: Any) -> None:
        async def run() -> None:
            listen = ListenerSettings(address=FREE_ADDRESS)
            server = PlatformServer(settings=PlatformServerSettings(listen=listen))
            await server.start()
            self.memory = server.platform
            self.memory.set_faults(FaultControls())
            try:
                await body(HttpPlatform(url=f"http://{server.address}", timeout_s=10.0))
            finally:
                await server.close()

        self.run_async(run())
