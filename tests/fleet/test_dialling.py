"""Which entries an agent dials when it learns of many at once, as after a loss of all power."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.ownership import KnownEntry, LinkBounds, choose_owners
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.agent.dialling import OwnerDialling
from dalemast.fleet.base import Member
from tests.base import AsyncTestCase

BOUNDS = LinkBounds(near=3, far=2)
NEAR, FAR = "austin", "waco"


def make_member(number: int) -> Member:
    return Member(
        name=f"entry-{number}",
        incarnation=f"i{number}",
        address=f"127.0.0.1:{9000 + number}",
        data_centre=NEAR if number % 5 == 0 else FAR,
    )


class OwnerDiallingTests(AsyncTestCase):
    def dial(self, members: list[Member], *, seeds: tuple[str, ...] = ()) -> list[str]:
        """Let an agent learn of members in one message; return the addresses that it dials."""

        async def run() -> list[str]:
            book = AddressBook()
            book.add_addresses(seeds)
            with mock.patch("dalemast.fleet.agent.dialling.Dialer") as dialer:
                dialling = OwnerDialling(
                    name="agent",
                    data_centre=NEAR,
                    book=book,
                    bounds=BOUNDS,
                    make_receiver=mock.Mock(),
                )
                dialling.start()
                book.add_members(members)
                await asyncio.sleep(0)
                return [call.kwargs["url"].split("/")[2] for call in dialer.call_args_list]

        return self.run_async(run())

    def test_all_are_dialled_while_they_are_few(self) -> None:
        members = [make_member(number) for number in range(BOUNDS.total)]
        self.assertEqual(sorted(m.address for m in members), sorted(self.dial(members)))

    def test_of_many_only_the_chosen_ones_and_the_seeds_are_dialled(self) -> None:
        members = [make_member(number) for number in range(35)]
        known = [KnownEntry(name=m.name, is_near=m.data_centre == NEAR) for m in members]
        chosen = choose_owners("agent", known, bounds=BOUNDS)
        expected = {m.address for m in members if m.name in chosen}
        seed = next(m.address for m in members if m.name not in chosen)
        dialled = self.dial(members, seeds=(seed,))
        self.assertEqual([seed, *sorted(expected)], [dialled[0], *sorted(dialled[1:])])
        self.assertEqual(BOUNDS.total + 1, len(dialled))

    def test_the_choice_has_near_and_far_ones(self) -> None:
        members = [make_member(number) for number in range(35)]
        dialled = set(self.dial(members))
        near = sum(m.data_centre == NEAR for m in members if m.address in dialled)
        self.assertEqual(BOUNDS.near, near)
