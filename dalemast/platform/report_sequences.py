"""The reports of each life in their order, when another writer sends some under the same id.

A life says the same of its service and labels for as long as it lasts, and its numbers rise by one
a report. What does not go on from there is not taken, unless it proves to be the worker's: then it
goes on by itself while the line that was believed has fallen silent. So a foreign report costs the
worker nothing, and one that came first is believed for some reports only.

Its capacity may change. Another one is believed with the second report that says so, a second
or more later, with none in between that goes on with the known one: the worker's own reports
contradict what another writer says of it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from dalemast.core.workloads import Resources
from dalemast.platform.foreign import Fault, ForeignInput
from dalemast.platform.incarnations import parse_incarnation_id

__all__ = ["Account", "ReportLine", "ReportLines"]

NUMBERS_AHEAD = 8
"""How far a number may be ahead of the one before at once: reports that went to other processes."""
NUMBERS_PER_S = 20
"""How much further for each second of silence. A worker reports about every 1.5 s, and more often
while a report stays unanswered."""
RIVAL_REPORTS = 3
"""Reports in a row after which a line replaces one that is silent meanwhile."""
RESIZE_REPORTS = 2
"""Reports in a row after which another capacity is believed: within two pauses of some 1.5 s, where
room that has shrunk counts 3 s and one pause later; from the platform."""
RIVAL_S = 1.0
"""Shortest time between the first and the last of them, so that a burst of late reports, delivered
together, is not enough."""
MAX_LINES = 32
"""Lives that are remembered. A worker has few within one life of its agent; ids of another writer
may be new each time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """What a life says of itself; all but its capacity never changes."""

    service: str
    capacity: Resources
    labels: frozenset[str]

    def is_resized(self, known: Account) -> bool:
        """Tell whether only the capacity differs from a known account."""
        is_same = (self.service, self.labels) == (known.service, known.labels)
        return is_same and self.capacity != known.capacity

    def describe_change(self, known: Account) -> str:
        """Return which parts differ from a known account, with what they are here and there."""
        pairs = {
            "service": (self.service, known.service),
            "capacity": (self.capacity, known.capacity),
            "labels": (sorted(self.labels), sorted(known.labels)),
        }
        changes = [f"{name} {new} for {old}" for name, (new, old) in pairs.items() if new != old]
        return ", ".join(changes)


@dataclass(frozen=True, kw_only=True, slots=True)
class Rival:
    """Reports in a row that do not go on from the believed ones."""

    account: Account
    number: int
    count: int
    since: float


def count_rival(
    rival: Rival | None, account: Account, number: int, *, now: float, needed: int = RIVAL_REPORTS
) -> tuple[bool, Rival]:
    """Note a report that does not go on from the believed ones; tell whether it is to be by now."""
    if rival is None or rival.account != account or number <= rival.number:
        return False, Rival(account=account, number=number, count=1, since=now)
    count = rival.count + 1
    known = Rival(account=account, number=number, count=count, since=rival.since)
    return count >= needed and now - rival.since >= RIVAL_S, known


class ReportLine:
    """The reports of one life. Times are the agent's steady clock, in seconds."""

    def __init__(self, *, account: Account, number: int, now: float) -> None:
        self._rival: Rival | None = None
        self._is_replaced = False
        self._has_ended = False
        self._staying: Rival | None = None
        """Reports in a row after a goodbye which say that the life stays."""
        self.is_leaving = False
        """Whether its last report that was taken said that it leaves."""
        self._believe(account, number, now)

    @property
    def heard_at(self) -> float:
        """When its last report was taken."""
        return self._heard_at

    @property
    def is_replaced(self) -> bool:
        """Whether its last report showed that a goodbye, or what came before, was foreign."""
        return self._is_replaced

    def note_end(self) -> None:
        """Note a goodbye under this id: the life's own, or another writer's."""
        self._has_ended = True
        self._staying = None

    def note_state(self, *, is_leaving: bool, now: float) -> None:
        """Note whether the last report says that the life leaves.

        A goodbye is foreign if reports go on after it and say that the life stays.
        """
        self.is_leaving = is_leaving
        if is_leaving:
            self._staying = None
        elif self._has_ended:
            is_believed, self._staying = count_rival(
                self._staying, self._account, self._number, now=now
            )
            self._has_ended = not is_believed
            self._is_replaced = self._is_replaced or is_believed

    def take(self, account: Account, number: int, *, now: float) -> bool:
        """Return whether a report is news; raises :class:`ForeignInput` if it is foreign."""
        limit = self._number + NUMBERS_AHEAD + NUMBERS_PER_S * (now - self._heard_at)
        is_next = self._number < number <= limit
        if account == self._account and is_next:
            self._is_replaced = False
        elif is_next and account.is_resized(self._account):
            self._take_resized(account, number, now)
        elif not self._replaces(account, number, now):
            return self._pass_over(account, number, limit)
        self._believe(account, number, now)
        return True

    def _take_resized(self, account: Account, number: int, now: float) -> None:
        """Go on if another capacity was said before, or raise :class:`ForeignInput`.

        It need not be the same one: a capacity may change with each report.
        """
        resized = replace(account, capacity=Resources())
        is_believed, self._rival = count_rival(
            self._rival, resized, number, now=now, needed=RESIZE_REPORTS
        )
        if not is_believed:
            raise ForeignInput(Fault.OTHER_ACCOUNT, account.describe_change(self._account))
        self._is_replaced = False

    def _replaces(self, account: Account, number: int, now: float) -> bool:
        """Note a report that does not go on from the last; tell whether it is to be believed."""
        self._is_replaced, self._rival = count_rival(self._rival, account, number, now=now)
        return self._is_replaced

    def _pass_over(self, account: Account, number: int, limit: float) -> bool:
        """Raise :class:`ForeignInput` for a foreign report; a late one is only no news."""
        if account != self._account:
            raise ForeignInput(Fault.OTHER_ACCOUNT, account.describe_change(self._account))
        if number > limit:
            raise ForeignInput(Fault.NUMBER_JUMPED, f"from {self._number} to {number}")
        return False

    def _believe(self, account: Account, number: int, now: float) -> None:
        self._account = account
        self._number = number
        self._heard_at = now
        self._rival = None


class ReportLines:
    """The lines of the lives that were heard last."""

    def __init__(self) -> None:
        self._lines: dict[str, ReportLine] = {}
        self._unborn: Rival | None = None
        """Reports in a row under an id whose lives say when they were born, which do not."""

    def __len__(self) -> int:
        return len(self._lines)

    def take(
        self, life_id: str, account: Account, number: int, *, is_leaving: bool, now: float
    ) -> bool:
        """Return whether a report is news; raises :class:`ForeignInput` if it is foreign."""
        line = self._lines.get(life_id)
        if line is None:
            self._check_birth(life_id, account, number, now)
            line = self._add(life_id, account, number, now)
        elif not line.take(account, number, now=now):
            return False
        line.note_state(is_leaving=is_leaving, now=now)
        return True

    def note_end(self, life_id: str) -> None:
        """Note that a goodbye of this life was passed on."""
        self._lines[life_id].note_end()

    def is_replaced(self, life_id: str) -> bool:
        """Tell whether a life's last report showed that what came before was another writer's."""
        line = self._lines.get(life_id)
        return line is not None and line.is_replaced

    def find_leaving(self, worker_id: str) -> str:
        """Return the life under this id that has said that it leaves, the one heard last.

        A goodbye does not tell which of them it is. Raises :class:`ForeignInput` if there is none.
        """
        lives = [
            life_id for life_id in self._lines if parse_incarnation_id(life_id)[0] == worker_id
        ]
        leaving = [life_id for life_id in lives if self._lines[life_id].is_leaving]
        if not leaving:
            raise ForeignInput(Fault.NOT_ANNOUNCED, "not leaving" if lives else "unknown")
        return max(leaving, key=lambda life_id: self._lines[life_id].heard_at)

    def _check_birth(self, life_id: str, account: Account, number: int, now: float) -> None:
        """Raise :class:`ForeignInput` for a life that does not say when it was born, but others do.

        It is believed if it goes on, since those others may be another writer's.
        """
        worker_id, born_ms = parse_incarnation_id(life_id)
        if born_ms is not msgspec.UNSET:
            return
        if not any(parse_incarnation_id(known)[0] == worker_id for known in self._lines):
            return
        is_believed, self._unborn = count_rival(self._unborn, account, number, now=now)
        if not is_believed:
            raise ForeignInput(Fault.FIELD_MISSING, "born")

    def _add(self, life_id: str, account: Account, number: int, now: float) -> ReportLine:
        if len(self._lines) >= MAX_LINES:
            oldest = min(self._lines, key=lambda known: self._lines[known].heard_at)
            del self._lines[oldest]
        line = ReportLine(account=account, number=number, now=now)
        self._lines[life_id] = line
        return line
