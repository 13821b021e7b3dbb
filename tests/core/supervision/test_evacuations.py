"""An agent is the last to say no to a start in an evacuated data centre."""

from __future__ import annotations

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import OrderStart, OrderStop, ReportEnd
from tests.core.supervision.test_supervisor import SupervisorTestCase, make_start, pick


class EvacuatedWorkerTests(SupervisorTestCase):
    def test_a_start_by_an_owner_that_has_not_heard_is_not_taken(self) -> None:
        self.supervisor.set_evacuated(frozenset({"austin"}))
        actions = self.start(make_start(), now=10.0)
        self.assertEqual([], pick(actions, OrderStart))
        self.assertEqual([EndReason.NOT_TAKEN], [end.reason for end in pick(actions, ReportEnd)])

    def test_what_runs_is_not_stopped(self) -> None:
        self.start(make_start(), now=10.0)
        actions = self.supervisor.set_evacuated(frozenset({"austin"}))
        self.assertEqual([], pick(actions, OrderStop))
        self.assertEqual(1, len(self.supervisor.runs))

    def test_starts_are_taken_again_once_it_is_taken_back(self) -> None:
        self.supervisor.set_evacuated(frozenset({"austin", "waco"}))
        self.supervisor.set_evacuated(frozenset({"waco"}))
        actions = self.start(make_start(), now=10.0)
        self.assertEqual(1, len(pick(actions, OrderStart)))
