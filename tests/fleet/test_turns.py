"""Tests of the order in which entries that lack capacity receive capacity reports."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import testtools

from dalemast.core.scheduling import CapacityRequest, LoadPolicy
from dalemast.core.supervision import (
    Supervisor,
    SupervisorLimits,
    WorkerIncarnation,
)
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.agent.reports import WorkerReports
from dalemast.fleet.frames import CapacityReport
from dalemast.observability import Metrics

NOW = 10.0
OWNERS = ("o1", "o2", "o3", "o4")
ROUNDS = 40
ROUND_S = 1.0
"""Interval between changes, long enough for a report to every owner to be due."""


class ReportOrderTests(testtools.TestCase):
    """Guards against an order that favours some entries while all of them lack capacity."""

    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_timeout_s=1e9, lease_s=0.6, stop_s=0.05)
        self.supervisor = Supervisor(limits=limits)
        incarnation = WorkerIncarnation(
            id="i-1",
            service="floor",
            data_centre="austin",
            capacity=Resources(cpu=4000, memory_mb=1000),
            labels=frozenset(),
            is_leaving=False,
        )
        self.supervisor.register_incarnation(incarnation, now=NOW)
        self.supervisor.handle_poll((), (), asked_at=NOW, now=NOW)
        self.notified: list[str] = []
        self.sessions: dict[str, OwnerSession] = {}
        for name in OWNERS:
            self.add_owner(name)

    def add_owner(self, name: str) -> None:
        session = OwnerSession(link=mock.Mock(), handler=mock.Mock())
        session.link.send.side_effect = lambda message: self.record(name, message)  # type: ignore[attr-defined]
        # More than is free, so that no owner is offered the capacity before the others.
        session.subscriber.request = CapacityRequest(rank=(0.0,), cpu=8000)
        self.sessions[name] = session

    def record(self, name: str, message: object) -> None:
        if isinstance(message, CapacityReport):
            self.notified.append(name)

    def play(self, *, shares_demand: bool) -> list[list[str]]:
        """Return the owners in the order of their reports, for each change."""
        reports = WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(shares_demand=shares_demand),
            metrics=Metrics(),
        )
        rounds = []
        for number in range(ROUNDS):
            self.notified = []
            reports.note_change(now=NOW + number * ROUND_S)
            rounds.append(self.notified)
        return rounds

    def test_each_owner_is_first_equally_often(self) -> None:
        rounds = self.play(shares_demand=True)
        self.assertEqual([sorted(OWNERS)] * ROUNDS, [sorted(notified) for notified in rounds])
        firsts = Counter(notified[0] for notified in rounds)
        self.assertEqual({name: ROUNDS // len(OWNERS) for name in OWNERS}, firsts)

    def test_each_owner_is_last_about_equally_often(self) -> None:
        lasts = Counter(notified[-1] for notified in self.play(shares_demand=True))
        self.assertEqual(set(OWNERS), set(lasts))
        self.assertLessEqual(max(lasts.values()) - min(lasts.values()), len(OWNERS))

    def test_an_owner_that_is_notified_alone_keeps_its_turn(self) -> None:
        reports = WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(shares_demand=True),
            metrics=Metrics(),
        )
        reports.note_change(now=NOW)
        self.sessions["o2"].subscriber.mark_urgent()
        reports.send_due(now=NOW)
        self.notified = []
        reports.note_change(now=NOW + ROUND_S)
        self.assertEqual("o2", self.notified[0])

    def test_without_the_setting_the_order_of_the_links_applies(self) -> None:
        self.assertEqual([list(OWNERS)] * ROUNDS, self.play(shares_demand=False))
