"""Reports of an agent on a worker that leaves at short notice."""

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
from dalemast.core.supervision.departures import MAX_REPORTS
from tests.core.supervision.test_supervisor import (
    LEASE_S,
    OWNER_TIMEOUT_S,
    STOP_S,
    SupervisorTestCase,
    make_incarnation,
    make_start,
    pick,
)

NOTICE_S = 2.0
INVALID_S = (float("nan"), float("inf"), -1.0, 1e9)


class DepartureTestCase(SupervisorTestCase):
    plans_departures = True

    def setUp(self) -> None:
        super().setUp()
        self.supervisor = Supervisor(
            limits=SupervisorLimits(
                owner_timeout_s=OWNER_TIMEOUT_S, lease_s=LEASE_S, stop_s=STOP_S
            ),
            policy=LoadPolicy(plans_departures=self.plans_departures),
        )
        self.supervisor.register_incarnation(make_incarnation(), now=0.0)
        self.poll(now=0.0)

    def begin(self, job_id: str = "a", *, expected_s: float = 4.0) -> RunId:
        """Start a run at 1.0."""
        return self.run_task(replace(make_start(job_id), expected_s=expected_s))

    def show(self, run_id: RunId, *, total_s: float, now: float) -> list[Action]:
        """Poll the worker, which lists the progress of a run that takes ``total_s``."""
        percent = int(100 * (now - 1.0) / total_s)
        return self.poll(ListedRun(run_id, percent), now=now)

    def leave(
        self, *, now: float, remaining_s: float | None = NOTICE_S, incarnation_id: str = "i-1"
    ) -> list[Action]:
        incarnation = replace(
            make_incarnation(incarnation_id, is_leaving=True), remaining_s=remaining_s
        )
        return self.supervisor.register_incarnation(incarnation, now=now)


class DepartureTests(DepartureTestCase):
    def test_a_run_that_outlasts_its_worker_is_reported_at_once(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        actions = self.leave(now=1.5)
        self.assertEqual([ReportDeparture(in_s=NOTICE_S)], pick(actions, ReportDeparture))
        (report,) = pick(actions, ReportDepartureRisk)
        self.assertEqual(
            (run_id, "o1", NOTICE_S), (report.run_id, report.owner, report.leaves_in_s)
        )
        self.assertAlmostEqual(3.5, report.left_s, delta=0.3)

    def test_a_run_that_ends_in_time_is_not_reported(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=2.4, now=1.5)
        self.assertEqual([], pick(self.leave(now=1.5), ReportDepartureRisk))
        self.assertEqual([], pick(self.show(run_id, total_s=2.4, now=3.3), ReportDepartureRisk))

    def test_a_run_that_may_end_just_in_time_is_not_reported(self) -> None:
        """Progress in whole percent is too coarse to decide it."""
        run_id = self.begin()
        self.poll(ListedRun(run_id, 19), now=1.5)
        self.assertEqual([], pick(self.leave(now=1.5), ReportDepartureRisk))

    def test_the_remaining_time_is_counted_down_between_reports(self) -> None:
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

    def test_nothing_is_reported_twice_without_a_change(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        for tick in range(1, 10):
            self.assertEqual([], self.show(run_id, total_s=4.0, now=1.5 + 0.1 * tick))
        self.assertEqual([], self.leave(now=2.5, remaining_s=1.0))

    def test_a_run_that_turns_out_to_end_in_time_is_reported_again(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        (report,) = pick(self.poll(ListedRun(run_id, 80), now=2.0), ReportDepartureRisk)
        self.assertLess(report.left_s, report.leaves_in_s)

    def test_reports_on_one_run_are_bounded(self) -> None:
        run_id = self.begin()
        self.leave(now=1.0)
        reports = 0
        for tick in range(40):
            now = 1.5 + 0.01 * tick
            actions = self.poll(ListedRun(run_id, 5 if tick % 2 else 99), now=now)
            self.supervisor.runs[run_id].percent = 0.0
            reports += len(pick(actions, ReportDepartureRisk))
        self.assertLessEqual(reports, MAX_REPORTS)
        self.assertGreater(reports, 1)

    def test_a_cancelled_departure_is_reported_once(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        actions = self.supervisor.register_incarnation(make_incarnation(), now=2.0)
        self.assertEqual([ReportDeparture(in_s=None)], pick(actions, ReportDeparture))
        self.assertEqual([], self.supervisor.register_incarnation(make_incarnation(), now=3.5))
        actions = self.show(run_id, total_s=9.0, now=3.5)
        self.assertEqual([], pick(actions, ReportDepartureRisk) + pick(actions, ReportDeparture))

    def test_runs_at_risk_are_reported_again_after_a_second_notice(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        self.supervisor.register_incarnation(make_incarnation(), now=1.6)
        self.assertEqual(1, len(pick(self.leave(now=1.7), ReportDepartureRisk)))

    def test_a_worker_that_stays_longer_has_no_time_left(self) -> None:
        self.leave(now=1.0)
        self.assertEqual([], self.leave(now=4.0, remaining_s=0.0))
        self.assertEqual(0.0, self.supervisor.get_remaining_s(now=9.0))

    def test_invalid_times_are_ignored(self) -> None:
        self.begin()
        for remaining_s in (*INVALID_S, None):
            actions = self.leave(now=1.0, remaining_s=remaining_s)
            self.assertEqual(
                [], pick(actions, ReportDeparture) + pick(actions, ReportDepartureRisk)
            )
        self.leave(now=1.0)
        for remaining_s in (*INVALID_S, None):
            self.leave(now=1.5, remaining_s=remaining_s)
            self.assertEqual(1.5, self.supervisor.get_remaining_s(now=1.5))

    def test_a_report_of_another_incarnation_is_ignored(self) -> None:
        self.leave(now=1.0, incarnation_id="i-2")
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.0))

    def test_the_next_incarnation_stays(self) -> None:
        self.leave(now=1.0)
        self.replace_incarnation("i-2")
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.5))

    def test_runs_at_risk_are_reported_again_to_an_owner_that_reconnects(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        self.leave(now=1.5)
        self.supervisor.reset_departure_reports("o2")
        self.assertEqual([], self.show(run_id, total_s=4.0, now=1.6))
        self.supervisor.reset_departure_reports("o1")
        self.assertEqual(1, len(pick(self.show(run_id, total_s=4.0, now=1.7), ReportDepartureRisk)))


class DisabledTests(DepartureTestCase):
    plans_departures = False

    def test_nothing_is_reported_if_the_policy_is_off(self) -> None:
        run_id = self.begin()
        self.show(run_id, total_s=4.0, now=1.5)
        actions = [*self.leave(now=1.5), *self.show(run_id, total_s=4.0, now=2.5)]
        self.assertEqual([], pick(actions, ReportDeparture) + pick(actions, ReportDepartureRisk))
        self.assertIsNone(self.supervisor.get_remaining_s(now=1.5))
