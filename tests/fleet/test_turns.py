"""Which entry hears first of room that comes free, while several lack it."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import testtools

from dalemast.core.scheduling import LoadPolicy, Want
from dalemast.core.supervision import Supervisor, SupervisorLimits, WorkerLife
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.agent.reports import WorkerReports
from dalemast.fleet.frames import CapacityReport
from dalemast.observability import Metrics

NOW = 10.0
OWNERS = ("o1", "o2", "o3", "o4")
ROUNDS = 40
PAUSE_S = 1.0
"""Longer than the pause of any owner, so that all are due at each change."""


class TurnTests(testtools.TestCase):
    """Replays an overload in which all entries lack room, and fall due at the same changes."""

    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_patience_s=1e9, lease_s=0.6, stop_s=0.05)
        self.supervisor = Supervisor(limits=limits)
        life = WorkerLife(
            id="i-1",
            service="floor",
            data_centre="austin",
            capacity=Resources(cpu=4000, memory_mb=1000),
            labels=frozenset(),
            is_leaving=False,
        )
        self.supervisor.meet_life(life, now=NOW)
        self.supervisor.look((), (), asked_at=NOW, now=NOW)
        self.told: list[str] = []
        self.sessions: dict[str, OwnerSession] = {}
        for name in OWNERS:
            self.add_owner(name)

    def add_owner(self, name: str) -> None:
        session = OwnerSession(link=mock.Mock(), handler=mock.Mock())
        session.link.send.side_effect = lambda message: self.note(name, message)  # type: ignore[attr-defined]
        # More than is free, so that no one of them is offered the room before the others.
        session.subscriber.want = Want(rank=(0.0,), cpu=8000)
        self.sessions[name] = session

    def note(self, name: str, message: object) -> None:
        if isinstance(message, CapacityReport):
            self.told.append(name)

    def play(self, *, shares_demand: bool) -> list[list[str]]:
        """Return who was told in which order, change by change."""
        reports = WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(shares_demand=shares_demand),
            metrics=Metrics(),
        )
        rounds = []
        for number in range(ROUNDS):
            self.told = []
            reports.note_change(now=NOW + number * PAUSE_S)
            rounds.append(self.told)
        return rounds

    def test_each_owner_is_first_as_often(self) -> None:
        rounds = self.play(shares_demand=True)
        self.assertEqual([sorted(OWNERS)] * ROUNDS, [sorted(told) for told in rounds])
        firsts = Counter(told[0] for told in rounds)
        self.assertEqual({name: ROUNDS // len(OWNERS) for name in OWNERS}, firsts)

    def test_each_owner_is_last_as_often(self) -> None:
        lasts = Counter(told[-1] for told in self.play(shares_demand=True))
        self.assertEqual(set(OWNERS), set(lasts))
        self.assertLessEqual(max(lasts.values()) - min(lasts.values()), len(OWNERS))

    def test_one_that_is_told_alone_keeps_its_turn(self) -> None:
        reports = WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(shares_demand=True),
            metrics=Metrics(),
        )
        reports.note_change(now=NOW)
        self.sessions["o2"].subscriber.hasten()
        reports.send_due(now=NOW)
        self.told = []
        reports.note_change(now=NOW + PAUSE_S)
        self.assertEqual("o2", self.told[0])

    def test_without_the_setting_the_order_is_that_of_the_links(self) -> None:
        self.assertEqual([list(OWNERS)] * ROUNDS, self.play(shares_demand=False))
