"""An agent refuses starts in an evacuated data centre."""

from __future__ import annotations

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import OrderStart, OrderStop, ReportEnd
from tests.core.supervision.test_supervisor import SupervisorTestCase, make_start, pick


class EvacuatedWorkerTests(SupervisorTestCase):
    def test_a_start_by_an_owner_that_does_not_know_of_it_is_refused(self) -> None:
        self.supervisor.set_evacuated(frozenset({"austin"}))
        actions = self.start(make_start(), now=10.0)
        self.assertEqual([], pick(actions, OrderStart))
        self.assertEqual([EndReason.NOT_TAKEN], [end.reason for end in pick(actions, ReportEnd)])

    def test_runs_are_not_stopped(self) -> None:
        self.start(make_start(), now=10.0)
        actions = self.supervisor.set_evacuated(frozenset({"austin"}))
        self.assertEqual([], pick(actions, OrderStop))
        self.assertEqual(1, len(self.supervisor.runs))

    def test_starts_are_accepted_again_after_its_end(self) -> None:
        self.supervisor.set_evacuated(frozenset({"austin", "waco"}))
        self.supervisor.set_evacuated(frozenset({"waco"}))
        actions = self.start(make_start(), now=10.0)
        self.assertEqual(1, len(pick(actions, OrderStart)))
