"""What entries tell one another of the work that waits with them."""

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

LOG_PAUSE_S = 1.0
"""Shortest pause between two log lines of one kind; words come many times as often."""


class DemandExchange:
    """Tells peers what waits here, on this entry's own links, and takes their words in.

    Nothing is told or believed unless ``is_on``.
    """

    def __init__(self, *, scheduler: Scheduler, is_on: bool, metrics: Metrics) -> None:
        self._scheduler = scheduler
        self._is_on = is_on
        self._metrics = metrics
        self._names: dict[str, str] = {}
        """Names of the entries whose words were taken, by incarnation, while they are in reach."""
        self._logged_at: dict[str, float] = {}

    def tick(self, sessions: Collection[PeerSession], *, beat_s: float, now: float) -> None:
        """Tell the peers that should hear now what waits; drop words that have faded.

        ``beat_s`` is the pause between beats to a peer. A word is renewed as often, so that its
        renewals need no frames of their own.
        """
        if not self._is_on:
            return
        self._drop_faded(beat_s, now)
        words = self._scheduler.get_demand(now=now)
        report_interval_s = get_demand_report_interval_s(len(sessions))
        due = [
            session
            for session in sessions
            if session.demand.is_due(
                words, now=now, report_interval_s=report_interval_s, renewal_interval_s=beat_s
            )
        ]
        if not due:
            return
        news = msgspec.Raw(encode_message(_make_news(words)))
        for session in due:
            session.demand.record_sent(words, now=now)
            session.link.send(news)
        self._metrics.count("demand.told", len(due))
        self._log_waiting(words, now)

    def handle_report(self, member: Member, news: DemandReport) -> None:
        """Take in all that waits at a peer."""
        if not self._is_on:
            return
        words = tuple(
            QueuedDemand(
                service=row.service,
                priority=row.priority,
                data_centre=member.data_centre,
                jobs=row.jobs,
                core_s=row.core_s,
            )
            for row in news.rows
        )
        now = clock.monotonic()
        self._names[member.incarnation] = member.name
        if self._scheduler.note_demand(member.incarnation, words, now=now):
            self._metrics.count("demand.heard")
            return
        self._metrics.count("demand.absurd")
        if self._may_log("demand:absurd", now):
            log_event("demand:absurd", peer=member.name, rows=len(words))

    def forget(self, incarnation: str) -> None:
        """Note that a peer is out of reach."""
        self._names.pop(incarnation, None)
        self._scheduler.forget_demand(incarnation)

    def get_state(self) -> dict[str, object]:
        """Return the dump: what waits here, and at each other entry by its last word."""
        now = clock.monotonic()
        return {
            "own": [_describe(word) for word in self._scheduler.get_demand(now=now)],
            "heard": {
                self._names.get(heard.entry, heard.entry): {
                    "incarnation": heard.entry,
                    "age_s": round(heard.age_s, 3),
                    "words": [_describe(word) for word in heard.demand],
                }
                for heard in self._scheduler.demand.list_peer_demand(now)
            },
        }

    def _drop_faded(self, beat_s: float, now: float) -> None:
        book = self._scheduler.demand
        book.set_renewal_interval(beat_s)
        faded = book.sweep(now)
        if not faded:
            return
        self._metrics.count("demand.faded", len(faded))
        if self._may_log("demand:faded", now):
            names = [self._names.get(entry, entry) for entry in faded]
            log_event("demand:faded", peers=names)

    def _log_waiting(self, words: tuple[QueuedDemand, ...], now: float) -> None:
        if not self._may_log("demand:waiting", now):
            return
        heard = self._scheduler.demand.list_peer_demand(now)
        log_event(
            "demand:waiting",
            own=[_describe(word) for word in words],
            entries=len(heard),
            core_s=round(sum(word.core_s for row in heard for word in row.demand), 2),
            oldest_s=round(max((row.age_s for row in heard), default=0.0), 3),
        )

    def _may_log(self, event: str, now: float) -> bool:
        """Tell whether a line of this kind may be written again, and count it as written."""
        if now - self._logged_at.get(event, float("-inf")) < LOG_PAUSE_S:
            return False
        self._logged_at[event] = now
        return True


def _make_news(words: tuple[QueuedDemand, ...]) -> DemandReport:
    return DemandReport(
        rows=tuple(
            DemandRow(
                service=word.service,
                priority=word.priority,
                jobs=word.jobs,
                core_s=round(word.core_s, 2),
            )
            for word in words
        )
    )


def _describe(word: QueuedDemand) -> dict[str, object]:
    """Return a word's row for operators."""
    return {
        "service": word.service,
        "priority": word.priority,
        "jobs": word.jobs,
        "core_s": round(word.core_s, 2),
    }
