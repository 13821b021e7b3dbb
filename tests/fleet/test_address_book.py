"""What counts as news of another entry."""

from __future__ import annotations

import testtools

from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.base import Member


def make_member(incarnation: str, address: str = "10.0.0.1:80") -> Member:
    return Member(name="e1", incarnation=incarnation, address=address, data_centre="austin")


class AddressBookTests(testtools.TestCase):
    def test_another_life_at_a_known_address_is_no_news(self) -> None:
        """Two entries that heard of two lives told each other of them without end."""
        book = AddressBook()
        self.assertEqual(1, len(book.add_members([make_member("old")])))
        self.assertEqual([], book.add_members([make_member("new")]))
        self.assertEqual([], book.add_members([make_member("old")]))

    def test_a_seed_is_news_once_its_name_is_known(self) -> None:
        book = AddressBook()
        book.add_addresses(["10.0.0.1:80"])
        self.assertEqual(1, len(book.add_members([make_member("a")])))

    def test_each_address_is_told_once(self) -> None:
        book = AddressBook()
        told: list[str] = []
        book.on_address(told.append)
        book.add_addresses(["10.0.0.1:80"])
        book.add_members([make_member("a"), make_member("b")])
        self.assertEqual(["10.0.0.1:80"], told)

    def test_the_own_address_is_passed_over(self) -> None:
        book = AddressBook(own_address="10.0.0.1:80")
        self.assertEqual([], book.add_members([make_member("a")]))
        self.assertEqual([], book.addresses)

    def test_what_is_no_address_or_has_no_name_is_not_learned(self) -> None:
        """A peer may have taken it from a row of the store that another writer has left."""
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
