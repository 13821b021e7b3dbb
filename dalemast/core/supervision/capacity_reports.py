"""When each owner receives a report of a worker's free capacity.

A report costs as much as the start of a task, so reports to one owner are sent at intervals. When a
run ends, a single owner receives the report at once and the others after their interval, so that
they do not race for the same capacity. That owner is the one with the most urgent capacity request
that fits, or else the owner of the run that ended.
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

SAME_DATA_CENTRE_INTERVAL_S = 0.0125
"""Interval between reports to an owner in the same data centre, multiplied by the number of such
owners so that an agent's total rate of reports is bounded."""
OTHER_DATA_CENTRE_INTERVAL_S = 0.05
"""The same for owners in other data centres. It is longer because traffic between data centres is
charged, and such an owner uses this worker only when its own data centre is full."""
SATISFIED_FACTOR = 16
"""Factor on the interval for an owner without an open capacity request. It still receives the ends
of its own runs, and a report at once when a start is refused for lack of capacity."""


def get_capacity_report_interval_s(
    *, is_same_data_centre: bool, owners: int, is_satisfied: bool = False
) -> float:
    """Return the interval between reports to one owner, in seconds.

    ``owners`` counts the owners in the same data centre as the agent, or those in all others.
    ``is_satisfied`` tells whether the owner has no open capacity request.
    """
    interval_s = owners * (
        SAME_DATA_CENTRE_INTERVAL_S if is_same_data_centre else OTHER_DATA_CENTRE_INTERVAL_S
    )
    return SATISFIED_FACTOR * interval_s if is_satisfied else interval_s


def find_most_urgent(
    subscribers: Iterable[CapacitySubscriber], *, free_cpu: int
) -> CapacitySubscriber | None:
    """Return the owner with the most urgent request that fits, or None if there is none."""
    candidates = [
        (subscriber.request.rank, number, subscriber)
        for number, subscriber in enumerate(subscribers)
        if subscriber.request is not None and subscriber.request.cpu <= free_cpu
    ]
    return min(candidates)[2] if candidates else None


def get_report_order(subscriber: CapacitySubscriber) -> float:
    """Return the sort key of owners to which a change is reported together, lowest first.

    The first owner may use all of the capacity before the others receive their reports. In a fixed
    order, owners that are due together each time would always come last and be starved.
    """
    return subscriber.last_first_at


class CapacitySubscriber:
    """One owner that receives reports of a worker's capacity.

    Times are readings of the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._is_due = False
        self._is_urgent = False
        self._reported_at = float("-inf")
        self._last_first_at = float("-inf")
        self.request: CapacityRequest | None = None
        """The owner's latest capacity request; None if it needs no capacity."""

    @property
    def is_due(self) -> bool:
        """Whether a report is pending until its interval has passed."""
        return self._is_due

    @property
    def is_satisfied(self) -> bool:
        """Whether the owner has no open capacity request."""
        return self.request is None

    @property
    def last_first_at(self) -> float:
        """When this owner last received a change before other owners."""
        return self._last_first_at

    def set_request(self, request: CapacityRequest | None, *, receives_releases: bool) -> None:
        """Set the owner's capacity request.

        An owner that ``receives_releases`` was sent no expected capacity releases while it had no
        request, so a report becomes due with a new one.
        """
        if receives_releases and self.is_satisfied and request is not None:
            self.note_change()
        self.request = request

    def note_change(self) -> None:
        """Make a report due once the interval has passed, since the capacity has changed."""
        self._is_due = True

    def mark_urgent(self) -> None:
        """Make a report due at once."""
        self._is_due = True
        self._is_urgent = True

    def record_first(self, *, now: float) -> None:
        """Record that a change was reported to this owner before others."""
        self._last_first_at = now

    def take_due(self, *, now: float, interval_s: float) -> bool:
        """Return whether a report is due, ``interval_s`` after the last; if so, mark it as sent."""
        if not self._is_due:
            return False
        if not self._is_urgent and now - self._reported_at < interval_s:
            return False
        self._is_due = False
        self._is_urgent = False
        self._reported_at = now
        return True
