"""When an entry reports its queued work to another entry.

Reporting each change would cost messages in proportion to the load and to the square of the number
of entries. Instead the total rate of an entry's reports is limited, and nothing is sent while
nothing is queued.
"""

from __future__ import annotations

from dalemast.core.scheduling.load import QueuedDemand

__all__ = ["REPORTS_PER_S", "DemandSubscriber", "get_demand_report_interval_s"]

REPORTS_PER_S = 80
"""Maximum rate of reports on changes that an entry sends, to all others together."""
MIN_REPORT_INTERVAL_S = 0.05
"""Minimum interval between reports on changes to one entry; shorter waits need not be reported."""
CHANGE_SHARE = 0.25
"""Relative change of the queued work that is reported before the next renewal is due."""


def get_demand_report_interval_s(others: int) -> float:
    """Return the minimum interval between reports on changes, in seconds.

    ``others`` is the number of entries that receive them.
    """
    return max(MIN_REPORT_INTERVAL_S, others / REPORTS_PER_S)


class DemandSubscriber:
    """An entry that receives reports of queued work on one link. Times are in seconds."""

    def __init__(self) -> None:
        self._sent: tuple[QueuedDemand, ...] = ()
        self._sent_at = float("-inf")

    def is_due(
        self,
        demand: tuple[QueuedDemand, ...],
        *,
        now: float,
        report_interval_s: float,
        renewal_interval_s: float,
    ) -> bool:
        """Return whether a report should be sent now."""
        if not demand and not self._sent:
            return False
        if now - self._sent_at >= renewal_interval_s:
            return True
        return now - self._sent_at >= report_interval_s and _has_changed(demand, self._sent)

    def record_sent(self, demand: tuple[QueuedDemand, ...], *, now: float) -> None:
        """Record the report that is being sent."""
        self._sent = demand
        self._sent_at = now


def _has_changed(demand: tuple[QueuedDemand, ...], sent: tuple[QueuedDemand, ...]) -> bool:
    """Return whether a row was added or removed, or its work changed considerably."""
    before, after = _get_core_s(sent), _get_core_s(demand)
    if before.keys() != after.keys():
        return True
    return any(
        abs(core_s - before[key]) > CHANGE_SHARE * max(core_s, before[key])
        for key, core_s in after.items()
    )


def _get_core_s(demand: tuple[QueuedDemand, ...]) -> dict[tuple[str, int], float]:
    return {(row.service, row.priority): row.core_s for row in demand}
