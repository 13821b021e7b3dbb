"""Tests of the exchange of configurations between entries."""

from __future__ import annotations

from typing import Any

import msgspec

from dalemast.fleet.frames import ConfigurationUpdate
from dalemast.settings import AddressSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, find_address, make_configuration, settle


class ConfigurationExchangeTests(AsyncTestCase):
    def test_an_entry_that_has_a_configuration_is_not_sent_it_again(self) -> None:
        """Guards against needless copies, whose number grows with the square of the entries."""

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

    def test_an_entry_without_the_store_receives_it_from_one_peer(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                entry = await add_entry_without_store(fleet)
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 7, "the first configuration"
                )
                copies: list[int] = []
                count_copies(entry, copies)
                sent_versions = count_sent(fleet.entries)
                fleet.store.put("op", "config", make_configuration(9))
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 9, "the configuration from a peer"
                )
                await settle()
                self.assertEqual([], copies)
                self.assertEqual([9], sent_versions)

        self.run_async(run())

    def test_a_request_goes_to_another_peer_if_the_first_does_not_respond(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=2, workers=1) as fleet:
                unresponsive = fleet.entries[0]
                unresponsive._peers._configuration_exchange.send_configuration = (
                    lambda session, request: None
                )
                entry = await add_entry_without_store(fleet)
                await wait_until(
                    lambda: entry.get_state()["configuration"] == 7,
                    "the configuration from the other peer",
                )

        self.run_async(run())


async def add_entry_without_store(fleet: LocalFleet) -> Any:
    """Start an entry that can't reach the store, and wait for its links with all others."""
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


def count_sent(entries: list[Any]) -> list[int]:
    """Return a list to which each version that an entry sends as a whole is added."""
    sent_versions: list[int] = []
    for entry in entries:
        links = entry._peers
        record_sent(links._configuration_exchange, sent_versions)
    return sent_versions


def record_sent(exchange: Any, sent_versions: list[int]) -> None:
    """Record each version that an entry sends as a whole."""
    send = exchange.send_configuration

    def send_and_record(session: Any, request: Any) -> None:
        sent_versions.append(request.version)
        send(session, request)

    exchange.send_configuration = send_and_record


def count_copies(entry: Any, copies: list[int]) -> None:
    """Record each configuration that an entry receives although it has it already."""
    peers = entry._peers
    handle = peers.handle_message

    def handle_and_record(session: Any, message: Any) -> None:
        current = entry._configuration.current
        if isinstance(message, ConfigurationUpdate) and message.version <= current.version:
            copies.append(message.version)
        handle(session, message)

    peers.handle_message = handle_and_record
