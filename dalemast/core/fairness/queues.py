"""Weighted fair queueing over slot time.

The virtual time of an account is the slot-seconds it has used, divided by its weight. The account
with the lowest virtual time is served next. Callers charge the expected run time when a task is
sent, and the difference from the actual one when it ends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

ItemT = TypeVar("ItemT")


class _Share(Generic[ItemT]):
    __slots__ = ("items", "virtual_time", "weight")

    def __init__(self) -> None:
        self.items: deque[ItemT] = deque()
        self.virtual_time = 0.0
        self.weight = 1.0


class FairQueue(Generic[ItemT]):
    """A first-in first-out queue for each account, served in the order of virtual time."""

    def __init__(self) -> None:
        self._shares: dict[str, _Share[ItemT]] = {}
        self._length = 0
        self._floor = 0.0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[ItemT]:
        for share in self._shares.values():
            yield from share.items

    @property
    def active_weight(self) -> float:
        """The sum of the weights of the accounts that have queued items."""
        return sum(share.weight for share in self._shares.values() if share.items)

    def push(
        self, *, account: str, item: ItemT, weight: float = 1.0, is_first: bool = False
    ) -> None:
        """Append an item to the queue of its account, or put it first.

        An account that was idle resumes at the current virtual time. Otherwise it would be served
        alone until its virtual time has caught up with the others.
        """
        share = self._shares.setdefault(account, _Share())
        if not share.items:
            share.virtual_time = max(share.virtual_time, self._floor)
        share.weight = weight
        if is_first:
            share.items.appendleft(item)
        else:
            share.items.append(item)
        self._length += 1

    def get_next_account(self, *, excluding: Collection[str] = ()) -> str | None:
        """Return the account with items that has the lowest virtual time, or None."""
        best: str | None = None
        best_time = 0.0
        for account, share in self._shares.items():
            if not share.items or account in excluding:
                continue
            if best is None or share.virtual_time < best_time:
                best = account
                best_time = share.virtual_time
        if best is not None and not excluding:
            self._floor = max(self._floor, best_time)
        return best

    def get_items(self, account: str) -> deque[ItemT]:
        """Return the queue of an account. Do not modify it; use :meth:`remove` instead."""
        share = self._shares.get(account)
        return deque() if share is None else share.items

    def pop(self, account: str) -> ItemT:
        """Remove and return the first item of an account."""
        item = self._shares[account].items.popleft()
        self._length -= 1
        return item

    def remove(self, *, account: str, item: ItemT) -> bool:
        """Remove an item at any position; return whether it was queued."""
        share = self._shares.get(account)
        if share is None:
            return False
        try:
            share.items.remove(item)
        except ValueError:
            return False
        self._length -= 1
        return True

    def charge(self, *, account: str, slot_seconds: float) -> None:
        """Add used slot time to an account; a negative amount is a refund."""
        share = self._shares.get(account)
        if share is not None:
            share.virtual_time += slot_seconds / share.weight
