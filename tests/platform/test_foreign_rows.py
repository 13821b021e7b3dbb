"""Foreign rows in the store, added to valid rows or overwriting them."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from dalemast.core.evacuations import EvacuationChanges, EvacuationRecord
from dalemast.emulator import EmulatedStore
from dalemast.fleet.base import Configuration, Member
from dalemast.platform import PlatformStore
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import make_configuration

ENTRIES = "dalemast-entries"
DATA_CENTRES = {"austin": "texas", "waco": "texas", "temple": "texas"}
INVALID_ROWS = (
    b'{"key":7,"value":"","ver":3}',
    b'{"key":null}',
    b'{"value":"e30="}',
    b'{"key":"config","value":{"version":9},"ver":3}',
    b'{"key":"config","value":"e30=","ver":"3"}',
    b'{"table":"op","part":"mine","key":"config","value":"e30=","ver":3}',
    b'{"key":"config","removed":"yes"}',
    b'{"key":"\xff\xfe","ver":3}',
    b"[]",
    b"null",
    b'"config"',
)
INVALID_VALUES = ("", "e30", "%%%%", "/w==", "bnVsbA==", "W10=")
"""Empty, truncated base64, invalid base64, invalid UTF-8, ``null`` and ``[]``."""


def encode(document: object) -> str:
    """Encode a document as the value of a row."""
    return base64.b64encode(msgspec.json.encode(document)).decode()


class StoreSettings:
    """The part of the settings that the adapter reads."""

    def __init__(self, address: str) -> None:
        self.store = AddressSettings(address=address)
        self.data_centres = DATA_CENTRES


class Listener:
    """Observer that records the declarations and entries it receives."""

    def __init__(self) -> None:
        self._record = EvacuationRecord()
        self.evacuated: frozenset[str] = frozenset()
        self.configurations: list[Configuration] = []
        self.members: list[Member] = []

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        """Apply changes of evacuations."""
        self.evacuated = self._record.apply(changes).data_centres

    def handle_configuration(self, configuration: Configuration) -> None:
        """Record a configuration."""
        self.configurations.append(configuration)

    @property
    def versions(self) -> list[int]:
        """Return the versions of the configurations, in order."""
        return [configuration.version for configuration in self.configurations]


class Scene:
    """An emulated store and a client that follows both tables."""

    def __init__(self) -> None:
        self.store = EmulatedStore(address="127.0.0.1:0")
        self.listener = Listener()

    def follow(self) -> None:
        """Start to follow both tables."""
        self.client = PlatformStore(settings=StoreSettings(self.store.address))
        self._watches = [
            asyncio.create_task(self.client.watch_declarations(self.listener)),
            asyncio.create_task(self.client.watch_members(self.listener.members.append)),
        ]

    async def wait_for_version(self, version: int) -> None:
        """Wait until the listener has received a version of the configuration."""
        await wait_until(lambda: version in self.listener.versions, f"version {version}")

    async def __aenter__(self) -> Scene:
        self.store.start()
        self.store.put("op", "config", make_configuration(7))
        return self

    async def __aexit__(self, *error: object) -> None:
        for watch in self._watches:
            watch.cancel()
        await self.store.close()


class ForeignRowTests(AsyncTestCase):
    def play(self, scenario: Callable[[Scene], Awaitable[None]]) -> None:
        async def run() -> None:
            async with Scene() as scene:
                await scenario(scene)

        self.run_async(run())

    def test_invalid_rows_do_not_hide_the_others_of_a_table(self) -> None:
        async def scenario(scene: Scene) -> None:
            for number, row in enumerate(INVALID_ROWS):
                scene.store.put_raw("op", f"a{number}", row)
                scene.store.put_raw("op", f"z{number}", row)
            scene.store.put("op", "evacuate/waco", {})
            scene.follow()
            await scene.wait_for_version(7)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            self.assertEqual([7], scene.listener.versions)

        self.play(scenario)

    def test_invalid_rows_do_not_end_a_feed(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.follow()
            await scene.wait_for_version(7)
            for number, row in enumerate(INVALID_ROWS):
                scene.store.put_raw("op", f"a{number}", row)
                scene.store.put("op", "config", make_configuration(8 + number))
                await scene.wait_for_version(8 + number)
            calls = scene.store.calls
            await asyncio.sleep(0.2)
            self.assertLessEqual(
                scene.store.calls - calls, 1, "the invalid rows are read repeatedly"
            )

        self.play(scenario)

    def test_an_invalid_response_is_retried(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.garbled_answers = 3
            scene.follow()
            await scene.wait_for_version(7)
            scene.store.garbled_answers = 2
            scene.store.put("op", "config", make_configuration(9))
            await scene.wait_for_version(9)

        self.play(scenario)

    def test_a_page_that_ends_with_invalid_rows_is_followed_by_the_next(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.page_rows = 3
            for number in range(7):
                row = {"key": f"b{number}", "value": number, "ver": "new"}
                scene.store.put_raw("op", f"b{number}", msgspec.json.encode(row))
            scene.follow()
            await scene.wait_for_version(7)

        self.play(scenario)

    def test_a_page_without_a_readable_key_is_not_requested_endlessly(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.page_rows = 2
            scene.store.put("op", "evacuate/waco", {})
            for number in range(6):
                scene.store.put_raw("op", f"x{number}", INVALID_ROWS[0])
            scene.follow()
            await scene.wait_for_version(7)
            self.assertLess(scene.store.calls, 20)

        self.play(scenario)


class ForeignConfigurationTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_an_invalid_document_leaves_the_configuration_in_force(self) -> None:
        route = make_configuration(9)["routes"][0]
        documents: tuple[Any, ...] = (
            {},
            {"version": 9},
            {"version": "9", "routes": []},
            {"version": 2**70, "routes": []},
            {"version": -1, "routes": []},
            {"version": 9, "routes": {}},
            {"version": 9, "routes": [{"name": "r"}]},
            {"version": 9, "routes": [route, 7]},
            {"version": 9, "routes": [{**route, "attempts": 0}]},
            {"version": 9, "routes": [{**route, "stretch": -1}]},
            {"version": 9, "routes": [{**route, "host": ""}]},
            {"version": 9, "routes": [{**route, "timeout_ms": 1e300}]},
        )

        async def scenario(scene: Scene) -> None:
            scene.follow()
            await scene.wait_for_version(7)
            number = 10
            for value in (*INVALID_VALUES, *(encode(document) for document in documents)):
                known = scene.listener.versions
                scene.store.put_value("op", "config", value)
                scene.store.put("op", f"evacuate/{'waco' if number % 2 else 'temple'}", {})
                await asyncio.sleep(0.03)
                self.assertEqual(known, scene.listener.versions, value)
                scene.store.put("op", "config", make_configuration(number))
                await scene.wait_for_version(number)
                number += 1

        self.play(scenario)


class ForeignEvacuationTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_rows_without_a_known_data_centre_evacuate_none(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.put("op", "evacuate/", {})
            scene.store.put("op", "evacuate/nowhere", {})
            scene.store.put("op", "evacuate/waco/", {})
            scene.store.put("op", "evacuate/temple", {})
            scene.follow()
            await scene.wait_for_version(7)
            self.assertEqual({"temple"}, scene.listener.evacuated)

        self.play(scenario)

    def test_an_invalid_value_evacuates_nothing(self) -> None:
        async def scenario(scene: Scene) -> None:
            for value in INVALID_VALUES:
                scene.store.put_value("op", "evacuate/waco", value)
                scene.store.put("op", "config", make_configuration(scene.store.version + 7))
                scene.listener = Listener()
                scene.follow()
                await scene.wait_for_version(scene.store.version + 6)
                self.assertEqual(set(), scene.listener.evacuated, value)

        self.play(scenario)

    def test_an_evacuation_lasts_while_its_row_is_overwritten(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.put("op", "evacuate/waco", {})
            scene.follow()
            await scene.wait_for_version(7)
            scene.store.put_value("op", "evacuate/waco", "%%")
            scene.store.put("op", "config", make_configuration(8))
            await scene.wait_for_version(8)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            scene.store.forget_history()
            scene.store.put("op", "config", make_configuration(9))
            await scene.wait_for_version(9)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            scene.store.drop("op", "evacuate/waco")
            await wait_until(lambda: not scene.listener.evacuated, "its end")

        self.play(scenario)


class ForeignMemberTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_only_valid_rows_are_entries(self) -> None:
        good = Member(name="e1", incarnation="i", address="10.0.0.1:80", data_centre="austin")
        row = msgspec.to_builtins(good)

        async def scenario(scene: Scene) -> None:
            number = 0
            for name in row:
                missing = {key: value for key, value in row.items() if key != name}
                for document in (missing, {**row, name: ""}, {**row, name: 7}):
                    number += 1
                    scene.store.put(ENTRIES, f"a{number}", document)
            for address in ("10.0.0.1", "10.0.0.1:0", "host:80", "10.0.0.1:99999", "10.0.0.1:80/x"):
                number += 1
                scene.store.put(ENTRIES, f"a{number}", {**row, "address": address})
            for value in INVALID_VALUES:
                number += 1
                scene.store.put_value(ENTRIES, f"a{number}", value)
            for raw in INVALID_ROWS:
                number += 1
                scene.store.put_raw(ENTRIES, f"a{number}", raw)
            scene.store.put(ENTRIES, "e1", row)
            scene.follow()
            await wait_until(lambda: bool(scene.listener.members), "the valid row")
            self.assertEqual([good], await scene.client.list_members())
            self.assertEqual([good], scene.listener.members)

        self.play(scenario)
