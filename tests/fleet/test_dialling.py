"""Which entries an agent dials when it learns of many at once, as after a power loss."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.ownership import (
    KnownEntry,
    LinkBounds,
    choose_owners,
)
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.agent.dialling import OwnerDialling
from dalemast.fleet.base import Member
from tests.base import AsyncTestCase

BOUNDS = LinkBounds(same_data_centre=3, other_data_centres=2)
OWN_DATA_CENTRE, OTHER_DATA_CENTRE = "austin", "waco"


def make_member(number: int) -> Member:
    return Member(
        name=f"entry-{number}",
        incarnation=f"i{number}",
        address=f"127.0.0.1:{9000 + number}",
        data_centre=OWN_DATA_CENTRE if number % 5 == 0 else OTHER_DATA_CENTRE,
    )


class OwnerDiallingTests(AsyncTestCase):
    def dial(self, members: list[Member], *, seeds: tuple[str, ...] = ()) -> list[str]:
        """Add members in one call; return the addresses that the agent dials."""

        async def run() -> list[str]:
            book = AddressBook()
            book.add_addresses(seeds)
            with mock.patch("dalemast.fleet.agent.dialling.Dialer") as dialer:
                dialling = OwnerDialling(
                    name="agent",
                    data_centre=OWN_DATA_CENTRE,
                    book=book,
                    bounds=BOUNDS,
                    make_receiver=mock.Mock(),
                )
                dialling.start()
                book.add_members(members)
                await asyncio.sleep(0)
                return [call.kwargs["url"].split("/")[2] for call in dialer.call_args_list]

        return self.run_async(run())

    def test_few_entries_are_all_dialled(self) -> None:
        members = [make_member(number) for number in range(BOUNDS.total)]
        self.assertEqual(sorted(m.address for m in members), sorted(self.dial(members)))

    def test_of_many_entries_only_the_chosen_ones_and_the_seeds_are_dialled(self) -> None:
        members = [make_member(number) for number in range(35)]
        known = [
            KnownEntry(name=m.name, is_same_data_centre=m.data_centre == OWN_DATA_CENTRE)
            for m in members
        ]
        chosen = choose_owners("agent", known, bounds=BOUNDS)
        expected = {m.address for m in members if m.name in chosen}
        seed = next(m.address for m in members if m.name not in chosen)
        dialled = self.dial(members, seeds=(seed,))
        self.assertEqual([seed, *sorted(expected)], [dialled[0], *sorted(dialled[1:])])
        self.assertEqual(BOUNDS.total + 1, len(dialled))

    def test_the_choice_includes_the_same_and_other_data_centres(self) -> None:
        members = [make_member(number) for number in range(35)]
        dialled = set(self.dial(members))
        local = sum(m.data_centre == OWN_DATA_CENTRE for m in members if m.address in dialled)
        self.assertEqual(BOUNDS.same_data_centre, local)
