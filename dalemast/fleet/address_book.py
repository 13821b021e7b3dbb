"""The entries that a process knows: their addresses, and the member last seen at each."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable

from dalemast.fleet.base import Member
from dalemast.fleet.frames import MemberRow
from dalemast.observability import Metrics, RefusalLog

__all__ = ["AddressBook", "find_fault", "to_member", "to_row"]

ADDRESS = re.compile(
    r"(?:(?P<numbers>\d{1,3}(?:\.\d{1,3}){3})|\[[0-9a-fA-F:]+\]):(?P<port>\d{1,5})\Z"
)
FOREIGN_MEMBER = "member:foreign"
"""Log event of a rejected member; with a dot for the colon, the prefix of its counters."""
MAX_TEXT = 200
"""Maximum number of characters in the fields of a member."""


class AddressBook:
    """Addresses of entries, collected from settings, the store and peers."""

    def __init__(self, *, own_address: str = "") -> None:
        self._own_address = own_address
        self._members: dict[str, Member | None] = {}
        self._listeners: list[Callable[[str], None]] = []
        self.set_metrics(Metrics())

    @property
    def members(self) -> list[Member]:
        """The entries whose names are known."""
        return [member for member in self._members.values() if member is not None]

    @property
    def addresses(self) -> list[str]:
        """All addresses, including those whose entry has not been identified yet."""
        return list(self._members)

    def set_metrics(self, metrics: Metrics) -> None:
        """Set the metrics that count rejected members."""
        self._refusals = RefusalLog(event=FOREIGN_MEMBER, metrics=metrics)

    def on_address(self, listener: Callable[[str], None]) -> None:
        """Call the listener with each new address."""
        self._listeners.append(listener)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses whose members are not known."""
        for address in addresses:
            self._add(address, None)

    def add_members(self, members: Iterable[Member]) -> list[Member]:
        """Add members; return those at addresses that had no known member before.

        A different incarnation at a known address is not returned: relayed reports may be out of
        date, and if entries forwarded them to each other, they would circulate forever.
        """
        added = []
        for member in members:
            fault = find_fault(member)
            if fault:
                # A peer may have read it from a row that another program wrote to the store.
                self._refusals.note(writer=member.name, reason="field-invalid", detail=fault)
                continue
            is_known = self._members.get(member.address) is not None
            if not is_known and member.address != self._own_address:
                added.append(member)
            self._add(member.address, member)
        return added

    def _add(self, address: str, member: Member | None) -> None:
        if address == self._own_address:
            return
        is_new = address not in self._members
        if is_new or member is not None:
            self._members[address] = member
        if is_new:
            for listener in self._listeners:
                listener(address)


def find_fault(member: Member) -> str:
    """Return why a member is invalid, or an empty string."""
    for name in ("name", "incarnation", "data_centre"):
        if not 0 < len(getattr(member, name)) <= MAX_TEXT:
            return f"{name} is empty or too long"
    match = ADDRESS.match(member.address)
    if match is None or not 0 < int(match["port"]) < 2**16:
        return "address is not an IP address and a port"
    if match["numbers"] and any(int(part) > 255 for part in match["numbers"].split(".")):
        return "address is not a valid IP address"
    return ""


def to_member(row: MemberRow) -> Member:
    """Convert a row of a frame to a member."""
    return Member(
        name=row.name,
        incarnation=row.incarnation,
        address=row.address,
        data_centre=row.data_centre,
    )


def to_row(member: Member) -> MemberRow:
    """Convert a member to a row of a frame."""
    return MemberRow(
        name=member.name,
        incarnation=member.incarnation,
        address=member.address,
        data_centre=member.data_centre,
    )
