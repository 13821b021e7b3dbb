"""Client of the store: pages, feeds and operators' declarations."""

from __future__ import annotations

import asyncio
from typing import Any

from dalemast.core.evacuations import EvacuationChanges
from dalemast.emulator import EmulatedStore
from dalemast.fleet.base import Member
from dalemast.platform import PlatformStore
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import make_configuration

MEMBERS = 7


class StoreSettings:
    """The part of the settings that the adapter reads."""

    def __init__(self, address: str) -> None:
        self.store = AddressSettings(address=address)
        self.data_centres: dict[str, str] = {}


class Listener:
    """Observer that records the declarations it receives, in order."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        self.received.append(changes)

    def handle_configuration(self, configuration: Any) -> None:
        self.received.append(configuration.version)

    def count_begun(self, data_centre: str) -> int:
        """Return the number of changes that start the evacuation of a data centre."""
        changes = [one for one in self.received if isinstance(one, EvacuationChanges)]
        return sum(data_centre in one.begun for one in changes)


class PlatformStoreTests(AsyncTestCase):
    def test_a_table_of_several_pages_is_read_completely(self) -> None:
        async def run() -> None:
            store = EmulatedStore(address="127.0.0.1:0")
            store.start()
            store.page_rows = 3
            client = PlatformStore(settings=StoreSettings(store.address))
            for number in range(MEMBERS):
                await client.announce(
                    Member(
                        name=f"e{number}",
                        incarnation="i",
                        address="10.0.0.1:80",
                        data_centre="austin",
                    )
                )
            members = await client.list_members()
            self.assertEqual([f"e{n}" for n in range(MEMBERS)], [m.name for m in members])
            await store.close()

        self.run_async(run())

    def test_evacuations_are_reported_before_the_configuration_of_the_same_response(self) -> None:
        async def run() -> None:
            store = EmulatedStore(address="127.0.0.1:0")
            store.start()
            store.put("op", "config", make_configuration(7))
            store.put("op", "evacuate/waco", {})
            store.put("op", "wave/1", {"wave": 1})
            listener = Listener()
            client = PlatformStore(settings=StoreSettings(store.address))
            watch = asyncio.create_task(client.watch_declarations(listener))
            await wait_until(lambda: 7 in listener.received, "the configuration")
            first, second = listener.received[:2]
            expected = EvacuationChanges(version=3, begun=frozenset({"waco"}), is_whole=True)
            self.assertEqual((expected, 7), (first, second))
            store.drop("op", "evacuate/waco")
            await wait_until(lambda: len(listener.received) > 2, "the withdrawal")
            self.assertEqual(frozenset({"waco"}), listener.received[2].ended)
            watch.cancel()
            await store.close()

        self.run_async(run())
