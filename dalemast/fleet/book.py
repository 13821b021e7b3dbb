"""What a process knows of the entries: addresses, and who answered there last."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dalemast.fleet.base import Member
from dalemast.fleet.frames import MemberRow

__all__ = ["AddressBook", "to_member", "to_row"]


class AddressBook:
    """Addresses of entries, from settings, the store and peers. None of these alone is enough."""

    def __init__(self, *, own_address: str = "") -> None:
        self._own_address = own_address
        self._members: dict[str, Member | None] = {}
        self._listeners: list[Callable[[str], None]] = []

    @property
    def members(self) -> list[Member]:
        """The entries whose names are known."""
        return [member for member in self._members.values() if member is not None]

    @property
    def addresses(self) -> list[str]:
        """All addresses."""
        return list(self._members)

    def on_address(self, listener: Callable[[str], None]) -> None:
        """Call a function with each address that was not known before."""
        self._listeners.append(listener)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Take addresses whose owners are not known."""
        for address in addresses:
            self._add(address, None)

    def learn(self, members: Iterable[Member]) -> list[Member]:
        """Take in entries; return those at addresses that were not known.

        Which life of an entry answers at an address is told by its own hello alone: hearsay may be
        out of date, and passing that on as news would go round without end.
        """
        news = []
        for member in members:
            is_known = self._members.get(member.address) is not None
            if not is_known and member.address != self._own_address:
                news.append(member)
            self._add(member.address, member)
        return news

    def _add(self, address: str, member: Member | None) -> None:
        if address == self._own_address:
            return
        is_new = address not in self._members
        if is_new or member is not None:
            self._members[address] = member
        if is_new:
            for listener in self._listeners:
                listener(address)


def to_member(row: MemberRow) -> Member:
    """Turn a row of a frame into a member."""
    return Member(
        name=row.name,
        incarnation=row.incarnation,
        address=row.address,
        data_centre=row.data_centre,
    )


def to_row(member: Member) -> MemberRow:
    """Turn a member into a row of a frame."""
    return MemberRow(
        name=member.name,
        incarnation=member.incarnation,
        address=member.address,
        data_centre=member.data_centre,
    )
