"""Rows of the store that another writer has left, or has written over."""

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
BAD_ROWS = (
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
BAD_VALUES = ("", "e30", "%%%%", "/w==", "bnVsbA==", "W10=")
"""Nothing, base64 that is cut off, no base64, no UTF-8, ``null`` and ``[]``."""


def encode(document: object) -> str:
    """Return the value of a row."""
    return base64.b64encode(msgspec.json.encode(document)).decode()


class StoreSettings:
    """The part of the settings that the adapter reads."""

    def __init__(self, address: str) -> None:
        self.store = AddressSettings(address=address)
        self.data_centres = DATA_CENTRES


class Listener:
    """Keeps what an entry would know."""

    def __init__(self) -> None:
        self._record = EvacuationRecord()
        self.evacuated: frozenset[str] = frozenset()
        self.configurations: list[Configuration] = []
        self.members: list[Member] = []

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        """Take in an answer."""
        self.evacuated = self._record.apply(changes).data_centres

    def handle_configuration(self, configuration: Configuration) -> None:
        """Take in a configuration."""
        self.configurations.append(configuration)

    @property
    def versions(self) -> list[int]:
        """The versions of the configurations, in order."""
        return [configuration.version for configuration in self.configurations]


class Scene:
    """A store, and a client that follows both of its tables."""

    def __init__(self) -> None:
        self.store = EmulatedStore(address="127.0.0.1:0")
        self.listener = Listener()

    def follow(self) -> None:
        """Begin to follow."""
        self.client = PlatformStore(settings=StoreSettings(self.store.address))
        self._watches = [
            asyncio.create_task(self.client.watch_declarations(self.listener)),
            asyncio.create_task(self.client.watch_members(self.listener.members.append)),
        ]

    async def know(self, version: int) -> None:
        """Wait until a version of the configuration is known."""
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

    def test_bad_rows_do_not_hide_the_others_of_a_table_read_in_whole(self) -> None:
        async def scenario(scene: Scene) -> None:
            for number, row in enumerate(BAD_ROWS):
                scene.store.put_raw("op", f"a{number}", row)
                scene.store.put_raw("op", f"z{number}", row)
            scene.store.put("op", "evacuate/waco", {})
            scene.follow()
            await scene.know(7)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            self.assertEqual([7], scene.listener.versions)

        self.play(scenario)

    def test_bad_rows_do_not_end_a_feed(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.follow()
            await scene.know(7)
            for number, row in enumerate(BAD_ROWS):
                scene.store.put_raw("op", f"a{number}", row)
                scene.store.put("op", "config", make_configuration(8 + number))
                await scene.know(8 + number)
            calls = scene.store.calls
            await asyncio.sleep(0.2)
            self.assertLessEqual(scene.store.calls - calls, 1, "the bad rows come again and again")

        self.play(scenario)

    def test_an_answer_that_cannot_be_read_does_not_end_the_reading(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.garbled_answers = 3
            scene.follow()
            await scene.know(7)
            scene.store.garbled_answers = 2
            scene.store.put("op", "config", make_configuration(9))
            await scene.know(9)

        self.play(scenario)

    def test_a_page_that_ends_with_bad_rows_is_followed_by_the_next(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.page_rows = 3
            for number in range(7):
                row = {"key": f"b{number}", "value": number, "ver": "new"}
                scene.store.put_raw("op", f"b{number}", msgspec.json.encode(row))
            scene.follow()
            await scene.know(7)

        self.play(scenario)

    def test_a_page_that_leads_no_further_is_not_asked_for_without_end(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.page_rows = 2
            scene.store.put("op", "evacuate/waco", {})
            for number in range(6):
                scene.store.put_raw("op", f"x{number}", BAD_ROWS[0])
            scene.follow()
            await scene.know(7)
            self.assertLess(scene.store.calls, 20)

        self.play(scenario)


class ForeignConfigurationTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_a_bad_document_leaves_the_configuration_in_force(self) -> None:
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
            await scene.know(7)
            number = 10
            for value in (*BAD_VALUES, *(encode(document) for document in documents)):
                known = scene.listener.versions
                scene.store.put_value("op", "config", value)
                scene.store.put("op", f"evacuate/{'waco' if number % 2 else 'temple'}", {})
                await asyncio.sleep(0.03)
                self.assertEqual(known, scene.listener.versions, value)
                scene.store.put("op", "config", make_configuration(number))
                await scene.know(number)
                number += 1

        self.play(scenario)


class ForeignEvacuationTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_rows_that_name_no_data_centre_evacuate_none(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.put("op", "evacuate/", {})
            scene.store.put("op", "evacuate/nowhere", {})
            scene.store.put("op", "evacuate/waco/", {})
            scene.store.put("op", "evacuate/temple", {})
            scene.follow()
            await scene.know(7)
            self.assertEqual({"temple"}, scene.listener.evacuated)

        self.play(scenario)

    def test_a_bad_value_evacuates_nothing(self) -> None:
        async def scenario(scene: Scene) -> None:
            for value in BAD_VALUES:
                scene.store.put_value("op", "evacuate/waco", value)
                scene.store.put("op", "config", make_configuration(scene.store.version + 7))
                scene.listener = Listener()
                scene.follow()
                await scene.know(scene.store.version + 6)
                self.assertEqual(set(), scene.listener.evacuated, value)

        self.play(scenario)

    def test_an_evacuation_holds_while_its_row_is_written_over(self) -> None:
        async def scenario(scene: Scene) -> None:
            scene.store.put("op", "evacuate/waco", {})
            scene.follow()
            await scene.know(7)
            scene.store.put_value("op", "evacuate/waco", "%%")
            scene.store.put("op", "config", make_configuration(8))
            await scene.know(8)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            scene.store.forget_history()
            scene.store.put("op", "config", make_configuration(9))
            await scene.know(9)
            self.assertEqual({"waco"}, scene.listener.evacuated)
            scene.store.drop("op", "evacuate/waco")
            await wait_until(lambda: not scene.listener.evacuated, "its end")

        self.play(scenario)


class ForeignMemberTests(AsyncTestCase):
    play = ForeignRowTests.play

    def test_only_whole_rows_are_entries(self) -> None:
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
            for value in BAD_VALUES:
                number += 1
                scene.store.put_value(ENTRIES, f"a{number}", value)
            for raw in BAD_ROWS:
                number += 1
                scene.store.put_raw(ENTRIES, f"a{number}", raw)
            scene.store.put(ENTRIES, "e1", row)
            scene.follow()
            await wait_until(lambda: bool(scene.listener.members), "the good row")
            self.assertEqual([good], await scene.client.list_members())
            self.assertEqual([good], scene.listener.members)

        self.play(scenario)
