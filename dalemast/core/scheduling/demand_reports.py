"""When an entry tells another what waits.

It answers load that changes with each job at many entries at once: told at each change, words would
grow with the entries' square and with the load. Here an entry sends a bounded number a second to
all others together, and none in calm times, when nothing waits.
"""

from __future__ import annotations

from dalemast.core.scheduling.load import QueuedDemand

__all__ = ["REPORTS_PER_S", "DemandSubscriber", "get_demand_report_interval_s"]

REPORTS_PER_S = 80
"""Words of news that an entry sends in a second, to all others together: twice its beats, at some
0.04 ms a message at both ends 0.3 % of a core."""
MIN_REPORT_INTERVAL_S = 0.05
"""Shortest pause between words of news to one entry. Jobs wait from some 50 ms on for their room,
and what comes and goes in less need not be known elsewhere."""
CHANGE_SHARE = 0.25
"""Share by which what waits has to change to be news; what is less goes with the next renewal."""


def get_demand_report_interval_s(others: int) -> float:
    """Return the shortest pause between words of news to one of so many entries, in seconds."""
    return max(MIN_REPORT_INTERVAL_S, others / REPORTS_PER_S)


class DemandSubscriber:
    """One entry that hears what waits here, on one link. Times are seconds."""

    def __init__(self) -> None:
        self._told: tuple[QueuedDemand, ...] = ()
        self._told_at = float("-inf")

    def is_due(
        self,
        words: tuple[QueuedDemand, ...],
        *,
        now: float,
        report_interval_s: float,
        renewal_interval_s: float,
    ) -> bool:
        """Tell whether this entry should hear now what waits."""
        if not words and not self._told:
            return False
        if now - self._told_at >= renewal_interval_s:
            return True
        return now - self._told_at >= report_interval_s and _is_news(words, self._told)

    def record_sent(self, words: tuple[QueuedDemand, ...], *, now: float) -> None:
        """Note that the entry is told this."""
        self._told = words
        self._told_at = now


def _is_news(words: tuple[QueuedDemand, ...], told: tuple[QueuedDemand, ...]) -> bool:
    """Tell whether a row has come or gone, or changed by much."""
    before, after = _get_rows(told), _get_rows(words)
    if before.keys() != after.keys():
        return True
    return any(
        abs(core_s - before[key]) > CHANGE_SHARE * max(core_s, before[key])
        for key, core_s in after.items()
    )


def _get_rows(words: tuple[QueuedDemand, ...]) -> dict[tuple[str, int], float]:
    """Return the core-seconds by service and priority."""
    return {(word.service, word.priority): word.core_s for word in words}
