"""Which entries an agent dials: all of them in a small system, a subset in a large one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from dalemast import clock
from dalemast.core.ownership import KnownEntry, LinkBounds, choose_owners
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.base import Member
from dalemast.fleet.frames import EntryMessage
from dalemast.fleet.links import Dialer, Link
from dalemast.fleet.paths import AGENTS_PATH
from dalemast.observability import log_event

__all__ = ["OwnerDialling"]

REVIEW_INTERVAL_S = 1.0
"""Interval between reviews of the chosen entries, in seconds."""
UNREACHABLE_AFTER_S = 6.0
"""An entry that was unreachable for this long is replaced by another one. Long enough that a short
network failure does not move links."""


class OwnerDialling:
    """Dials the chosen entries, and goes on dialling unreachable ones until they are back."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        book: AddressBook,
        bounds: LinkBounds,
        make_receiver: Callable[[Link], Any],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._book = book
        self._bounds = bounds
        self._make_receiver = make_receiver
        self._dialers: dict[str, Dialer] = {}
        self._reviewed_at = 0.0
        self._is_dialling_due = False

    def start(self) -> None:
        """Dial the chosen ones of the entries that are known now or later."""
        self._dial_chosen()
        self._book.on_address(self._handle_address)

    def stop(self) -> None:
        """Stop dialling and close all links."""
        for dialer in self._dialers.values():
            dialer.stop()

    def review(self, *, busy: Collection[str], is_linked: bool, now: float) -> None:
        """Dial the entries chosen now, and close other links except those of ``busy`` entries."""
        if now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        if len(self._book.addresses) <= self._bounds.total:
            return
        members = {member.address: member for member in self._book.members}
        chosen = self._choose_addresses(members, now)
        for address in chosen:
            self._dial(address)
        for address, dialer in list(self._dialers.items()):
            # An unreachable entry is still dialled, in case it comes back.
            if address in chosen or dialer.is_failing(now, longer_than_s=0.0):
                continue
            member = members.get(address)
            is_spare = is_linked if member is None else member.name not in busy
            if is_spare:
                self._end(address)

    def _handle_address(self, address: str) -> None:
        """Schedule one choice among all addresses that are added in this event loop iteration.

        If each address was dialled when it was added, an agent of a large system would open links
        to all entries and close most of them again a second later.
        """
        if not self._is_dialling_due:
            self._is_dialling_due = True
            asyncio.get_running_loop().call_soon(self._dial_chosen)

    def _dial_chosen(self) -> None:
        """Dial all entries if they are few, otherwise the chosen ones."""
        self._is_dialling_due = False
        chosen: Collection[str] = self._book.addresses
        if len(chosen) > self._bounds.total:
            members = {member.address: member for member in self._book.members}
            chosen = self._choose_addresses(members, clock.monotonic())
        for address in chosen:
            self._dial(address)

    def _choose_addresses(self, members: dict[str, Member], now: float) -> set[str]:
        by_name = {
            member.name: address
            for address, member in members.items()
            if not self._is_unreachable(address, now)
        }
        known = [
            KnownEntry(
                name=name, is_same_data_centre=members[address].data_centre == self._data_centre
            )
            for name, address in by_name.items()
        ]
        return {by_name[name] for name in choose_owners(self._name, known, bounds=self._bounds)}

    def _is_unreachable(self, address: str, now: float) -> bool:
        dialer = self._dialers.get(address)
        return dialer is not None and dialer.is_failing(now, longer_than_s=UNREACHABLE_AFTER_S)

    def _dial(self, address: str) -> None:
        if address in self._dialers:
            return
        self._dialers[address] = Dialer(
            url=f"ws://{address}{AGENTS_PATH}",
            message_type=EntryMessage,
            make_receiver=self._make_receiver,
        )

    def _end(self, address: str) -> None:
        log_event("entry:not-chosen", address=address)
        self._dialers.pop(address).stop()
