"""The queued work of all entries: a summary of this entry's jobs, and the reports of its peers.

An entry that knows only its own jobs would take capacity that more urgent jobs are waiting for at
other entries, and would forecast starts that are too early.

A report counts in full while it is renewed, then with a decreasing weight until it expires. It is
dropped when its entry becomes unreachable. Implausible reports are rejected.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.load import QueuedDemand
from dalemast.core.workloads import JobRequest

__all__ = [
    "FULL_WEIGHT_INTERVALS",
    "LIFETIME_INTERVALS",
    "MAX_ENTRIES",
    "MAX_NAME_LENGTH",
    "MAX_ROWS",
    "DemandTracker",
    "PeerDemand",
    "summarize_waiting",
]

MIN_RENEWAL_INTERVAL_S = 0.2
"""Minimum interval between renewals of a report, and the default one."""
FULL_WEIGHT_INTERVALS = 1.5
"""Age, in renewal intervals, up to which a report counts in full. More than 1, so that a renewal
may be late."""
LIFETIME_INTERVALS = 3.0
"""Age, in renewal intervals, at which a report expires. Guards against reports that are no longer
renewed while the link still works; those of a lost link are dropped with the link."""
MAX_ROWS = 32
"""Maximum number of rows in a report, each for one service and priority."""
MAX_ENTRIES = 256
"""Maximum number of entries whose reports are kept."""
MAX_NAME_LENGTH = 255
"""Maximum length of the name of a service or a data centre, in characters."""
MAX_JOBS = 1_000_000
MAX_CORE_S = 1_000_000.0
"""Maximum work of a row, in core-seconds: more than can wait at one entry and still be on time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerDemand:
    """The last report of another entry, and its age in seconds."""

    entry: str
    age_s: float
    demand: tuple[QueuedDemand, ...]


class DemandTracker:
    """The reported queued work of other entries, by incarnation.

    Times are in seconds, on the monotonic clock.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, tuple[QueuedDemand, ...]]] = {}
        self._renewal_interval_s = MIN_RENEWAL_INTERVAL_S

    def __len__(self) -> int:
        return len(self._reports)

    def set_renewal_interval(self, interval_s: float) -> None:
        """Set the interval at which entries renew their reports; it grows with their number."""
        self._renewal_interval_s = max(interval_s, MIN_RENEWAL_INTERVAL_S)

    def record(self, entry: str, demand: tuple[QueuedDemand, ...], now: float) -> bool:
        """Replace the report of an entry; return False if the new one is rejected."""
        self._reports.pop(entry, None)
        if not _is_plausible(demand):
            return False
        if len(self._reports) >= MAX_ENTRIES:
            self.sweep(now)
        if demand and len(self._reports) < MAX_ENTRIES:
            self._reports[entry] = (now, demand)
        return True

    def forget(self, entry: str) -> None:
        """Drop the report of an entry that has become unreachable."""
        self._reports.pop(entry, None)

    def sweep(self, now: float) -> list[str]:
        """Drop expired reports, and return the entries that sent them."""
        expired = [
            entry
            for entry, (received_at, _) in self._reports.items()
            if not self._weigh(received_at, now)
        ]
        for entry in expired:
            del self._reports[entry]
        return expired

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        """Return the core-seconds queued at other entries that are at least as urgent."""
        return sum(
            weight * row.core_s
            for weight, row in self._weigh_rows(service, now)
            if row.priority <= priority
        )

    def get_core_s_ahead_by_data_centre(
        self, service: str, priority: int, now: float
    ) -> dict[str, float]:
        """Return the result of :meth:`get_core_s_ahead`, by data centre of the entries."""
        waiting: dict[str, float] = {}
        for weight, row in self._weigh_rows(service, now):
            if row.priority <= priority:
                core_s = waiting.get(row.data_centre, 0.0) + weight * row.core_s
                waiting[row.data_centre] = core_s
        return waiting

    def list_peer_demand(self, now: float) -> list[PeerDemand]:
        """Return the reports of all entries."""
        return [
            PeerDemand(entry=entry, age_s=now - received_at, demand=demand)
            for entry, (received_at, demand) in self._reports.items()
        ]

    def _weigh_rows(self, service: str, now: float) -> Iterable[tuple[float, QueuedDemand]]:
        """Yield the rows on a service, each with the weight of its report."""
        for received_at, demand in self._reports.values():
            weight = self._weigh(received_at, now)
            if weight:
                yield from ((weight, row) for row in demand if row.service == service)

    def _weigh(self, received_at: float, now: float) -> float:
        """Return the weight of a report at its age, from 1 down to 0."""
        intervals = (now - received_at) / self._renewal_interval_s
        weight = (LIFETIME_INTERVALS - intervals) / (LIFETIME_INTERVALS - FULL_WEIGHT_INTERVALS)
        return min(max(weight, 0.0), 1.0)


def summarize_waiting(
    jobs: Iterable[Job], run_times: RunTimes, *, now: float
) -> tuple[QueuedDemand, ...]:
    """Return the queued work of this entry, the most urgent first.

    Jobs that can no longer be on time are left out, so that no other job waits for them. The data
    centre is empty: the receiver fills it in.
    """
    totals: dict[tuple[int, str], tuple[int, float]] = {}
    for job in jobs:
        if job.has_begun or not job.waiting or now > job.latest_start:
            continue
        queue = job.request.queue
        key = (queue.priority, queue.service)
        count, core_s = totals.get(key, (0, 0.0))
        totals[key] = (count + 1, core_s + _expect_core_s(job.request, run_times))
    return tuple(
        QueuedDemand(
            service=service,
            priority=priority,
            data_centre="",
            jobs=min(count, MAX_JOBS),
            core_s=min(core_s, MAX_CORE_S),
        )
        for (priority, service), (count, core_s) in sorted(totals.items())[:MAX_ROWS]
    )


def _expect_core_s(request: JobRequest, run_times: RunTimes) -> float:
    """Return the expected work of a job's tasks, in core-seconds.

    Callers may declare any run time. A job whose work is NaN or beyond the maximum of a row counts
    as 0, so that peers don't reject the whole report.
    """
    name = request.queue.name
    core_s = sum(
        step.count
        * step.resources.cpu
        / 1000
        * run_times.expect(queue=name, declared_s=step.estimate_s)
        for step in request.steps
    )
    return core_s if 0.0 <= core_s <= MAX_CORE_S else 0.0


def _is_plausible(demand: tuple[QueuedDemand, ...]) -> bool:
    """Return whether a report is short enough, without duplicates and valid in all its rows."""
    keys = {(row.service, row.priority) for row in demand[: MAX_ROWS + 1]}
    if len(demand) > MAX_ROWS or len(keys) < len(demand):
        return False
    return all(_is_valid(row) for row in demand)


def _is_valid(row: QueuedDemand) -> bool:
    """Return whether all values of a row are within their bounds; NaN is not."""
    if not 0 < len(row.service) <= MAX_NAME_LENGTH or len(row.data_centre) > MAX_NAME_LENGTH:
        return False
    if not math.isfinite(row.core_s) or not 0.0 <= row.core_s <= MAX_CORE_S:
        return False
    return row.priority >= 0 and 0 <= row.jobs <= MAX_JOBS
