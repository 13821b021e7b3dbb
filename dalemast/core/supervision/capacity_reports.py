"""When an owner hears how much room a worker has.

A report costs both sides as much as the start of a task, and at 70 workers and 12 owners reports
were nine tenths of all messages. When a run ends, one owner hears of the room at once and may use
it before the others hear of it, so owners seldom race for the same room: the one that has said that
it wants room for the most urgent work, else the one whose run has ended.
"""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.scheduling.actions import CapacityRequest

__all__ = [
    "CapacitySubscriber",
    "find_most_urgent",
    "get_capacity_report_interval_s",
    "get_report_order",
]

NEAR_ROOM_PAUSE_S = 0.0125
"""Shortest pause between two reports to an owner in the same data centre on what others changed,
for each such owner: with more owners each hears less often, so that an agent's reports stay within
about 100 a second. By simulation, 3 owners and 11 workers lose up to 0.01 of worth at pauses of
50 ms and 400 ms; 12 owners and 70 workers lose nothing and send half the reports."""
FAR_ROOM_PAUSE_S = 0.05
"""The same to an owner elsewhere: bytes between data centres are priced, and such an owner places
here only what its own data centre has no room for."""


CONTENT_FACTOR = 16
"""How many times longer the pause is for an owner that lacks no room: it hears of its own runs'
ends anyway, and at once when an agent refuses a start for want of room. By simulation of twelve
owners and 67 workers at 0.52, 0.72 and 0.88 of their capacity, 16 sends 29 %, 23 % and 10 % fewer
reports than 4, with as many refused starts and no loss of worth."""


def get_capacity_report_interval_s(
    *, is_same_data_centre: bool, owners: int, is_satisfied: bool = False
) -> float:
    """Return the pause between reports to one of so many owners that are as near, in seconds.

    ``is_satisfied`` tells that the owner lacks no room.
    """
    pause_s = owners * (NEAR_ROOM_PAUSE_S if is_same_data_centre else FAR_ROOM_PAUSE_S)
    return CONTENT_FACTOR * pause_s if is_satisfied else pause_s


def find_most_urgent(
    audiences: Iterable[CapacitySubscriber], *, free_cpu: int
) -> CapacitySubscriber | None:
    """Return the owner whose work goes first and fits into the room, or None if none wants any."""
    asking = [
        (audience.request.rank, number, audience)
        for number, audience in enumerate(audiences)
        if audience.request is not None and audience.request.cpu <= free_cpu
    ]
    return min(asking)[2] if asking else None


def get_report_order(audience: CapacitySubscriber) -> float:
    """Return the sort key of owners that are told of a change together; the least goes first.

    The one that hears first may have taken the room when the others hear. Pauses are equal, so the
    same owners fall due together each time, and in one order the last ones would never find room.
    """
    return audience.last_first_at


class CapacitySubscriber:
    """One owner that hears of one worker's room. Times are the agent's steady clock, in seconds."""

    def __init__(self) -> None:
        self._is_due = False
        self._is_urgent = False
        self._told_at = float("-inf")
        self._last_first_at = float("-inf")
        self.request: CapacityRequest | None = None
        """What the owner lacks room for, by its last word."""

    @property
    def is_due(self) -> bool:
        """Whether a report waits for its pause to be over."""
        return self._is_due

    @property
    def is_satisfied(self) -> bool:
        """Whether the owner lacks no room, by its last word."""
        return self.request is None

    @property
    def last_first_at(self) -> float:
        """When others last heard of a change right after it."""
        return self._last_first_at

    def set_request(self, want: CapacityRequest | None, *, receives_releases: bool) -> None:
        """Take in what the owner lacks room for.

        One that ``receives_releases`` was sent none while it was satisfied, so a report is due.
        """
        if receives_releases and self.is_satisfied and want is not None:
            self.note_change()
        self.request = want

    def note_change(self) -> None:
        """Note that the room has changed; the owner hears of it when its pause is over."""
        self._is_due = True

    def mark_urgent(self) -> None:
        """Note a change that the owner should hear of at once."""
        self._is_due = True
        self._is_urgent = True

    def record_first(self, *, now: float) -> None:
        """Note that others hear of the same change after it."""
        self._last_first_at = now

    def take_due(self, *, now: float, pause_s: float) -> bool:
        """Tell whether a report is due, ``pause_s`` after the one before, and count it as told."""
        if not self._is_due:
            return False
        if not self._is_urgent and now - self._told_at < pause_s:
            return False
        self._is_due = False
        self._is_urgent = False
        self._told_at = now
        return True
