"""What entries tell one another of a new configuration."""

from __future__ import annotations

from typing import Any

import msgspec

from dalemast.fleet.frames import ConfigurationUpdate
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, find_address, make_configuration, settle


class ConfigurationNewsTests(AsyncTestCase):
    def test_an_entry_that_has_a_configuration_is_not_sent_it_again(self) -> None:
        """Copies grow with the square of the entries, and fill the links of the smallest."""

        async def run() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                copies: list[int] = []
                for entry in fleet.entries:
                    count_copies(entry, copies)
                fleet.store.put("op", "config", make_configuration(9))
                await wait_until(
                    lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries),
                    "every entry to have the configuration",
                )
                await settle()
                self.assertEqual([], copies)

        self.run_async(run())

    def test_an_entry_that_the_store_turns_away_gets_it_from_one_peer(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                entry = await add_entry_without_store(fleet)
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 7, "the first configuration"
                )
                copies: list[int] = []
                count_copies(entry, copies)
                given = count_given(fleet.entries)
                fleet.store.put("op", "config", make_configuration(9))
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 9, "the configuration of a peer"
                )
                await settle()
                self.assertEqual([], copies)
                self.assertEqual([9], given)

        self.run_async(run())

    def test_a_peer_that_is_silent_is_followed_by_another(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                silent = fleet.entries[0]
                silent._peers._configuration_exchange.send_configuration = lambda session, ask: None
                entry = await add_entry_without_store(fleet)
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 7, "the other peer's answer"
                )

        self.run_async(run())


async def add_entry_without_store(fleet: LocalFleet) -> Any:
    """Start an entry whose store nobody serves, and wait until it is linked with all others."""
    settings = await fleet._make_entry(len(fleet.entries))
    settings = msgspec.structs.replace(
        settings,
        store=AddressSettings(address=find_address()),
        seeds=tuple(entry._member.address for entry in fleet.entries),
    )
    others = len(fleet.entries)
    entry = await fleet.add_entry(settings)
    await wait_until(lambda: len(entry._peers.peers) == others, "links with all entries")
    return entry


def count_given(entries: list[Any]) -> list[int]:
    """Note each version that one of the entries sends in whole."""
    given: list[int] = []
    for entry in entries:
        links = entry._peers
        note_given(links._configuration_exchange, given)
    return given


def note_given(news: Any, given: list[int]) -> None:
    """Note each version that an entry sends in whole."""
    give = news.send_configuration

    def give_and_note(session: Any, ask: Any) -> None:
        given.append(ask.version)
        give(session, ask)

    news.send_configuration = give_and_note


def count_copies(entry: Any, copies: list[int]) -> None:
    """Note each configuration that reaches an entry which has it already."""
    peers = entry._peers
    take = peers.handle_message

    def take_and_note(session: Any, message: Any) -> None:
        current = entry._configuration.current
        if isinstance(message, ConfigurationUpdate) and message.version <= current.version:
            copies.append(message.version)
        take(session, message)

    peers.handle_message = take_and_note
