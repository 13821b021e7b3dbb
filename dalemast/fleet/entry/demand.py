"""Exchange of queued demand between entries."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from dalemast import clock
from dalemast.core.scheduling import QueuedDemand, Scheduler
from dalemast.core.scheduling.demand_reports import get_demand_report_interval_s
from dalemast.fleet.base import Member
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import DemandReport, DemandRow
from dalemast.fleet.links import encode_message
from dalemast.observability import Metrics, log_event

__all__ = ["DemandExchange"]

LOG_INTERVAL_S = 1.0
"""Minimum interval between two log lines of one event, as reports are far more frequent."""


class DemandExchange:
    """Reports this entry's queued work to its peers, and handles their reports.

    Reports are neither sent nor used unless ``is_on``.
    """

    def __init__(self, *, scheduler: Scheduler, is_on: bool, metrics: Metrics) -> None:
        self._scheduler = scheduler
        self._is_on = is_on
        self._metrics = metrics
        self._names: dict[str, str] = {}
        """Names of the reachable entries that have sent reports, by incarnation."""
        self._logged_at: dict[str, float] = {}

    def tick(self, sessions: Collection[PeerSession], *, beat_s: float, now: float) -> None:
        """Send reports to the peers for which one is due, and drop expired reports.

        ``beat_s`` is the interval between heartbeats to a peer. Reports are renewed at the same
        interval, so that renewals need no frames of their own.
        """
        if not self._is_on:
            return
        self._drop_expired(beat_s, now)
        summaries = self._scheduler.get_demand(now=now)
        report_interval_s = get_demand_report_interval_s(len(sessions))
        due = [
            session
            for session in sessions
            if session.demand.is_due(
                summaries, now=now, report_interval_s=report_interval_s, renewal_interval_s=beat_s
            )
        ]
        if not due:
            return
        message = msgspec.Raw(encode_message(_make_report(summaries)))
        for session in due:
            session.demand.record_sent(summaries, now=now)
            session.link.send(message)
        self._metrics.count("demand.told", len(due))
        self._log_waiting(summaries, now)

    def handle_report(self, member: Member, message: DemandReport) -> None:
        """Handle a peer's report of all its queued work."""
        if not self._is_on:
            return
        summaries = tuple(
            QueuedDemand(
                service=row.service,
                priority=row.priority,
                data_centre=member.data_centre,
                jobs=row.jobs,
                core_s=row.core_s,
            )
            for row in message.rows
        )
        now = clock.monotonic()
        self._names[member.incarnation] = member.name
        if self._scheduler.note_demand(member.incarnation, summaries, now=now):
            self._metrics.count("demand.heard")
            return
        self._metrics.count("demand.absurd")
        if self._may_log("demand:absurd", now):
            log_event("demand:absurd", peer=member.name, rows=len(summaries))

    def remove_peer(self, incarnation: str) -> None:
        """Remove the report of a peer that is unreachable."""
        self._names.pop(incarnation, None)
        self._scheduler.forget_demand(incarnation)

    def get_state(self) -> dict[str, object]:
        """Return the queued work here, and at each other entry by its last report."""
        now = clock.monotonic()
        return {
            "own": [_describe(summary) for summary in self._scheduler.get_demand(now=now)],
            "heard": {
                self._names.get(peer.entry, peer.entry): {
                    "incarnation": peer.entry,
                    "age_s": round(peer.age_s, 3),
                    "words": [_describe(summary) for summary in peer.demand],
                }
                for peer in self._scheduler.demand.list_peer_demand(now)
            },
        }

    def _drop_expired(self, beat_s: float, now: float) -> None:
        tracker = self._scheduler.demand
        tracker.set_renewal_interval(beat_s)
        expired = tracker.sweep(now)
        if not expired:
            return
        self._metrics.count("demand.faded", len(expired))
        if self._may_log("demand:faded", now):
            names = [self._names.get(entry, entry) for entry in expired]
            log_event("demand:faded", peers=names)

    def _log_waiting(self, summaries: tuple[QueuedDemand, ...], now: float) -> None:
        if not self._may_log("demand:waiting", now):
            return
        peers = self._scheduler.demand.list_peer_demand(now)
        log_event(
            "demand:waiting",
            own=[_describe(summary) for summary in summaries],
            entries=len(peers),
            core_s=round(sum(summary.core_s for peer in peers for summary in peer.demand), 2),
            oldest_s=round(max((peer.age_s for peer in peers), default=0.0), 3),
        )

    def _may_log(self, event: str, now: float) -> bool:
        """Return whether an event may be logged again, and record it as logged if so."""
        if now - self._logged_at.get(event, float("-inf")) < LOG_INTERVAL_S:
            return False
        self._logged_at[event] = now
        return True


def _make_report(summaries: tuple[QueuedDemand, ...]) -> DemandReport:
    return DemandReport(
        rows=tuple(
            DemandRow(
                service=summary.service,
                priority=summary.priority,
                jobs=summary.jobs,
                core_s=round(summary.core_s, 2),
            )
            for summary in summaries
        )
    )


def _describe(summary: QueuedDemand) -> dict[str, object]:
    """Return the fields of a summary for logs and for operators."""
    return {
        "service": summary.service,
        "priority": summary.priority,
        "jobs": summary.jobs,
        "core_s": round(summary.core_s, 2),
    }
