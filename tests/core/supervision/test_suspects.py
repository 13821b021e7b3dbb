"""What an agent starts beside a suspect, and whom it names when its worker crashes."""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import EndReason, Suspicion
from dalemast.core.supervision import OrderStart, ReportEnd, list_crashed
from dalemast.core.supervision.suspects import ALONE_S
from tests.core.supervision.test_supervisor import SupervisorTestCase, make_start, pick


class SuspectTests(SupervisorTestCase):
    def begin(self, job_id: str, suspicion: Suspicion = Suspicion.NONE) -> bool:
        """Ask for a start; return whether it was taken."""
        actions = self.start(replace(make_start(job_id), suspicion=suspicion))
        taken = bool(pick(actions, OrderStart))
        if not taken:
            (report,) = pick(actions, ReportEnd)
            self.assertIs(EndReason.NOT_TAKEN, report.reason)
        return taken

    def name_suspects(self) -> dict[str, bool]:
        """Return whom a crash would name now, and whether each is the only suspect."""
        runs = list(self.supervisor.runs.values())
        return {row.job_id: row.is_sole for row in list_crashed(runs, now=1.5)}

    def test_suspects_may_run_beside_each_other(self) -> None:
        self.assertTrue(self.begin("a", Suspicion.APART))
        self.assertTrue(self.begin("b", Suspicion.APART))
        self.assertEqual(2, self.supervisor.suspects)

    def test_a_task_that_is_to_be_alone_joins_no_suspect(self) -> None:
        self.assertTrue(self.begin("a", Suspicion.APART))
        self.assertFalse(self.begin("b", Suspicion.ALONE))

    def test_nothing_joins_a_task_that_is_to_be_alone(self) -> None:
        self.assertTrue(self.begin("a"))
        self.assertTrue(self.begin("b", Suspicion.ALONE))
        self.assertFalse(self.begin("c"))
        self.assertFalse(self.supervisor.is_accepting(now=1.0))

    def test_starts_are_taken_again_once_it_has_run_longer_than_crashes_take(self) -> None:
        self.assertTrue(self.begin("a", Suspicion.ALONE))
        self.assertFalse(self.supervisor.is_accepting(now=1.0 + 0.9 * ALONE_S))
        self.assertTrue(self.supervisor.is_accepting(now=1.0 + ALONE_S))

    def test_starts_are_taken_again_once_it_has_ended(self) -> None:
        run_id = self.run_task(replace(make_start("a"), suspicion=Suspicion.ALONE))
        self.look(now=3.0)
        self.assertNotIn(run_id, self.supervisor.runs)
        self.assertTrue(self.supervisor.is_accepting(now=3.0))

    def test_a_crash_names_all_that_ran_and_the_only_suspect(self) -> None:
        self.begin("a", Suspicion.APART)
        self.begin("b")
        self.assertEqual({"a": True, "b": False}, self.name_suspects())

    def test_of_several_suspects_none_is_the_only_one(self) -> None:
        self.begin("a", Suspicion.APART)
        self.begin("b", Suspicion.APART)
        self.assertEqual({"a": False, "b": False}, self.name_suspects())

    def test_a_crash_leaves_no_suspects(self) -> None:
        self.begin("a", Suspicion.ALONE)
        self.supervisor.lose_life(is_over=False, is_refused=True)
        self.assertEqual(0, self.supervisor.suspects)
