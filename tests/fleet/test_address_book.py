"""Tests of the address book and of which members it reports as new."""

from __future__ import annotations

import testtools

from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.base import Member


def make_member(incarnation: str, address: str = "10.0.0.1:80") -> Member:
    return Member(name="e1", incarnation=incarnation, address=address, data_centre="austin")


class AddressBookTests(testtools.TestCase):
    def test_another_incarnation_at_a_known_address_is_not_new(self) -> None:
        """Two entries that knew two incarnations forwarded them to each other forever."""
        book = AddressBook()
        self.assertEqual(1, len(book.add_members([make_member("old")])))
        self.assertEqual([], book.add_members([make_member("new")]))
        self.assertEqual([], book.add_members([make_member("old")]))

    def test_a_seed_is_new_once_its_name_is_known(self) -> None:
        book = AddressBook()
        book.add_addresses(["10.0.0.1:80"])
        self.assertEqual(1, len(book.add_members([make_member("a")])))

    def test_listeners_get_each_address_once(self) -> None:
        book = AddressBook()
        addresses: list[str] = []
        book.on_address(addresses.append)
        book.add_addresses(["10.0.0.1:80"])
        book.add_members([make_member("a"), make_member("b")])
        self.assertEqual(["10.0.0.1:80"], addresses)

    def test_the_own_address_is_ignored(self) -> None:
        book = AddressBook(own_address="10.0.0.1:80")
        self.assertEqual([], book.add_members([make_member("a")]))
        self.assertEqual([], book.addresses)

    def test_invalid_members_are_rejected(self) -> None:
        """A peer may have read them from rows that another program wrote to the store."""
        book = AddressBook()
        bad = [
            Member(name="", incarnation="a", address="10.0.0.1:80", data_centre="austin"),
            Member(name="e1", incarnation="", address="10.0.0.1:80", data_centre="austin"),
            Member(name="e1", incarnation="a", address="10.0.0.1:80", data_centre=""),
            *(make_member("a", address) for address in ("", "10.0.0.1", "e1:80", "10.0.0.1:0")),
            *(make_member("a", address) for address in ("10.0.0.1:65536", "10.0.0.300:80")),
        ]
        self.assertEqual([], book.add_members(bad))
        self.assertEqual([], book.addresses)
        self.assertEqual(1, len(book.add_members([*bad, make_member("a")])))
