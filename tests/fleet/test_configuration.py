"""What entries tell one another of a new configuration."""

from __future__ import annotations

from typing import Any

from dalemast.fleet.frames import ConfigurationNews
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_configuration, settle


class ConfigurationNewsTests(AsyncTestCase):
    def test_an_entry_that_has_a_configuration_is_not_sent_it_again(self) -> None:
        """Copies grow with the square of the entries, and fill the links of the smallest."""

        async def run() -> None:
            async with LocalFleet(entries=3, workers=1) as fleet:
                copies: list[int] = []
                for entry in fleet.entries:
                    count_copies(entry._peers, copies)
                fleet.store.put("op", "config", make_configuration(9))
                await wait_until(
                    lambda: all(e.get_state()["configuration"] == 9 for e in fleet.entries),
                    "every entry to have the configuration",
                )
                await settle()
                self.assertEqual([], copies)

        self.run_async(run())


def count_copies(peers: Any, copies: list[int]) -> None:
    """Note each configuration that reaches an entry which has it already."""
    take = peers.take

    def take_and_note(session: Any, message: Any) -> None:
        current = peers._configuration.current
        if isinstance(message, ConfigurationNews) and message.version <= current.version:
            copies.append(message.version)
        take(session, message)

    peers.take = take_and_note
