"""Capacity that is taken away at short notice: what an agent tells of a worker that leaves."""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import LoadPolicy
from dalemast.core.supervision import (
    Action,
    ListedRun,
    ReportDeparture,
    ReportDepartureRisk,
    RunId,
    Supervisor,
    SupervisorLimits,
)
from dalemast.core.supervision.departures import MOST_REPORTS
from tests.core.supervision.test_supervisor import (
    LEASE_S,
    PATIENCE_S,
    STOP_S,
    SupervisorTestCase,
    make_life,
    make_start,
    pick,
)

NOTICE_S = 2.0
ABSURD_S = (float("nan"), float("inf"), -1.0, 1e9)


class DepartureTestCase(SupervisorTestCase):
    plans_departures = True

    def setUp(self) -> None:
        super().setUp()
        self.supervisor = Supervisor(
            limits=SupervisorLimits(owner_timeout_s=PATIENCE_S, lease_s=LEASE_S, stop_s=STOP_S),
            policy=LoadPolicy(plans_departures=self.plans_departures),
        )
        self.supervisor.register_incarnation(make_life(), now=0.0)
        self.poll(now=0.0)

    def begin(self, job_id: str = "a", *, expected_s: float = 4.0) -> RunId:
        """Start a run at 1.0."""
        return self.run_task(replace(make_start(job_id), expected_s=expected_s))

    def show(self, run_id: RunId, *, total_s: float, now: float) -> list[Action]:
        """Let a look list a run that takes so long in all."""
        percent = int(100 * (now - 1.0) / total_s)
        return self.poll(ListedRun(run_id, percent), now=now)

    def leave(
        self, *, now: float, remaining_s: float | None = NOTICE_S, life_id: str = "i-1"
    ) -> list[Action]:
        life = replace(make_life(life_id, is_leaving=True), remaining_s=remaining_s)
        return self.supervisor.register_incarnation(life, now=now)


class DepartureTests(DepartureTestCase):
    def test_owners_hear_at_once_what_a_notice_of_two_seconds_cuts_short(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        actions = self.leave(now=1.5)
        self.assertEqual([ReportDeparture(in_s=NOTICE_S)], pick(actions, ReportDeparture))
        (report,) = pick(actions, ReportDepartureRisk)
        self.assertEqual(
            (run_id, "o1", NOTICE_S), (report.run_id, report.owner, report.leaves_in_s)
        )
        self.assertAlmostEqual(3.5, report.left_s, delta=0.3)

    def test_a_run_that_ends_in_time_is_left_alone(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=2.4, now=1.5)
        self.assertEqual([], pick(self.leave(now=1.5), ReportDepartureRisk))
        self.assertEqual([], pick(self.show(run_id, total_s=2.4, now=3.3), ReportDepartureRisk))

    def test_a_run_that_may_end_just_in_time_is_left_alone(self) -> None:
        """Progress in whole percent does not tell 2.45 s from 2.55 s after half a second."""
        run_id = self.begin()
        self.poll(ListedRun(run_id, 19), now=1.5)
        self.assertEqual([], pick(self.leave(now=1.5), ReportDepartureRisk))

    def test_the_time_is_counted_down_between_reports(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=2.4, now=1.5)
        self.leave(now=1.5)
        self.assertEqual(0.5, self.supervisor.get_remaining_s(now=3.0))
        (report,) = pick(self.show(run_id, total_s=4.0, now=3.0), ReportDepartureRisk)
        self.assertEqual(0.5, report.leaves_in_s)

    def test_a_run_that_has_just_begun_is_judged_by_its_expected_time(self) -> None:
        self.begin(expected_s=7.0)
        self.begin("b", expected_s=1.8)
        reports = pick(self.leave(now=1.05), ReportDepartureRisk)
        self.assertEqual(["a"], [report.run_id.job_id for report in reports])

    def test_nothing_is_told_twice_while_nothing_changes(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        for tick in range(1, 10):
            self.assertEqual([], self.show(run_id, total_s=4.0, now=1.5 + 0.1 * tick))
        self.assertEqual([], self.leave(now=2.5, remaining_s=1.0))

    def test_a_run_that_turns_out_to_end_in_time_is_told_of_again(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        (report,) = pick(self.poll(ListedRun(run_id, 80), now=2.0), ReportDepartureRisk)
        self.assertLess(report.left_s, report.leaves_in_s)

    def test_reports_on_one_run_are_bounded(self) -> None:
        run_id = self.begin()
        self.leave(now=1.0)
        told = 0
        for tick in range(40):
            now = 1.5 + 0.01 * tick
            actions = self.poll(ListedRun(run_id, 5 if tick % 2 else 99), now=now)
            self.supervisor.runs[run_id].percent = 0.0
            told += len(pick(actions, ReportDepartureRisk))
        self.assertLessEqual(told, MOST_REPORTS)
        self.assertGreater(told, 1)

    def test_a_notice_that_is_taken_back_is_told_once(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        actions = self.supervisor.register_incarnation(make_life(), now=2.0)
        self.assertEqual([ReportDeparture(in_s=None)], pick(actions, ReportDeparture))
        self.assertEqual([], self.supervisor.register_incarnation(make_life(), now=3.5))
        actions = self.show(run_id, total_s=9.0, now=3.5)
        self.assertEqual([], pick(actions, ReportDepartureRisk) + pick(actions, ReportDeparture))

    def test_a_second_notice_tells_owners_anew_of_what_they_have_forgotten(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        self.supervisor.register_incarnation(make_life(), now=1.6)
        self.assertEqual(1, len(pick(self.leave(now=1.7), ReportDepartureRisk)))

    def test_a_worker_that_lingers_has_no_time_left(self) -> None:
        self.leave(now=1.0)
        self.assertEqual([], self.leave(now=4.0, remaining_s=0.0))
        self.assertEqual(0.0, self.supervisor.get_remaining_s(now=9.0))

    def test_absurd_times_are_no_word(self) -> None:
        self.begin()
        for told_s in (*ABSURD_S, None):
            actions = self.leave(now=1.0, remaining_s=told_s)
            self.assertEqual(
                [], pick(actions, ReportDeparture) + pick(actions, ReportDepartureRisk)
            )
        self.leave(now=1.0)
        for told_s in (*ABSURD_S, None):
            self.leave(now=1.5, remaining_s=told_s)
            self.assertEqual(1.5, self.supervisor.get_remaining_s(now=1.5))

    def test_the_report_of_another_life_tells_nothing_of_this_one(self) -> None:
        self.leave(now=1.0, life_id="i-2")
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.0))

    def test_the_next_life_stays(self) -> None:
        self.leave(now=1.0)
        self.replace_life("i-2")
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.5))

    def test_an_owner_that_was_out_of_reach_is_told_anew(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        self.supervisor.reset_departure_reports("o2")
        self.assertEqual([], self.show(run_id, total_s=4.0, now=1.6))
        self.supervisor.reset_departure_reports("o1")
        self.assertEqual(1, len(pick(self.show(run_id, total_s=4.0, now=1.7), ReportDepartureRisk)))


class NotAskedTests(DepartureTestCase):
    plans_departures = False

    def test_nothing_is_told_where_it_is_not_asked_for(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        actions = [*self.leave(now=1.5), *self.show(run_id, total_s=4.0, now=2.5)]
        self.assertEqual([], pick(actions, ReportDeparture) + pick(actions, ReportDepartureRisk))
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.5))
