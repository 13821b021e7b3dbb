"""The agent's decisions: room, orders without an answer, silent owners, lives of the worker."""

from __future__ import annotations

from dataclasses import replace
from math import exp, sqrt

import testtools

from dalemast.core.scheduling import EndReason
from dalemast.core.scheduling.slow_runs import SLOW_PACE
from dalemast.core.supervision import (
    Action,
    EndedRun,
    ListedRun,
    OrderStart,
    OrderStop,
    ReportCapacity,
    ReportEnd,
    ReportSlow,
    RunId,
    StartOutcome,
    StartRequest,
    Supervisor,
    SupervisorLimits,
    WorkerHealth,
    WorkerIncarnation,
    list_crashed,
)
from dalemast.core.supervision.runs import DECLARED_ERROR
from dalemast.core.supervision.supervisor import STOP_MARGIN_S
from dalemast.core.workloads import Resources, TaskKey

PATIENCE_S = 0.45
LEASE_S = 0.6
STOP_S = 0.05


def make_life(
    life_id: str = "i-1", *, is_leaving: bool = False, cpu: int = 4000
) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=life_id,
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=cpu, memory_mb=1000),
        labels=frozenset(),
        is_leaving=is_leaving,
    )


def make_start(job_id: str = "a", *, run: int = 1, cpu: int = 1000, position: int = 0):
    return StartRequest(
        owner="o1",
        run_id=RunId(job_id, TaskKey(0, position), run),
        payload="text",
        resources=Resources(cpu=cpu, memory_mb=10),
        expected_s=0.2,
        number=1,
        sent_at=1.0,
    )


def pick(actions: list[Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


def sure(pace: float) -> float:
    """Return what three jobs of this pace say of their worker for sure."""
    return round(pace * exp(-DECLARED_ERROR / sqrt(3)), 6)


class SupervisorTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_timeout_s=PATIENCE_S, lease_s=LEASE_S, stop_s=STOP_S)
        self.supervisor = Supervisor(limits=limits)
        self.supervisor.register_incarnation(make_life(), now=0.0)
        self.poll(now=0.0)

    def poll(
        self,
        *running: ListedRun,
        ended: tuple[EndedRun, ...] = (),
        now: float,
        asked_at: float | None = None,
    ) -> list[Action]:
        asked_at = now if asked_at is None else asked_at
        return self.supervisor.handle_poll(running, ended, asked_at=asked_at, now=now)

    def start(self, request: StartRequest, now: float = 1.0) -> list[Action]:
        return self.supervisor.start(replace(request, sent_at=now), now=now)

    def run_task_after_look(self) -> RunId:
        self.poll(now=1.0)
        return self.run_task(make_start())

    def replace_life(self, life_id: str) -> list[Action]:
        """Let another life report, and the worker disown the one before."""
        self.supervisor.register_incarnation(make_life(life_id), now=1.0)
        return self.supervisor.lose_incarnation(is_over=True)

    def run_task(self, request: StartRequest, now: float = 1.0) -> RunId:
        self.start(request, now=now)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUNNING, now=now, expires_at=now + 0.6
        )
        return request.run_id


class RoomTests(SupervisorTestCase):
    def test_a_start_that_does_not_fit_is_not_taken(self) -> None:
        self.run_task(make_start("a", cpu=3000))
        (report,) = pick(self.start(make_start("b", cpu=2000)), ReportEnd)
        self.assertIs(EndReason.NO_ROOM, report.reason)

    def test_room_stays_taken_until_the_end_is_listed(self) -> None:
        run_id = self.run_task(make_start(cpu=4000))
        self.supervisor.stop(run_id, owner="o1", now=1.0)
        self.assertEqual(0, self.supervisor.get_free().cpu)
        self.poll(ended=(EndedRun(1, run_id, EndReason.STOPPED),), now=1.1)
        self.assertEqual(4000, self.supervisor.get_free().cpu)

    def test_a_start_that_is_known_already_is_not_ordered_twice(self) -> None:
        request = make_start()
        self.assertEqual(1, len(pick(self.start(request), OrderStart)))
        self.assertEqual([], self.start(request))

    def test_nothing_starts_before_the_first_look(self) -> None:
        self.replace_life("i-2")
        (report,) = pick(self.start(make_start()), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)

    def test_runs_of_an_earlier_agent_are_stopped_before_anything_starts(self) -> None:
        self.replace_life("i-2")
        stray = RunId("old", TaskKey(0, 0), 1)
        (stop,) = pick(self.poll(ListedRun(stray, 5.0), now=1.0), OrderStop)
        self.assertEqual(stray, stop.run_id)
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.poll(ended=(EndedRun(1, stray, EndReason.STOPPED),), now=1.1)
        self.assertTrue(self.supervisor.is_accepting(now=1.1))


class UnansweredOrderTests(SupervisorTestCase):
    def order_unanswered(self) -> RunId:
        request = make_start(cpu=4000)
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.UNANSWERED, now=1.3, expires_at=1.9
        )
        self.assertEqual([OrderStop(run_id=request.run_id)], pick(actions, OrderStop))
        return request.run_id

    def test_a_worker_that_stays_mute_gets_no_more(self) -> None:
        self.order_unanswered()
        request = make_start("b", cpu=0)
        self.start(request)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.UNANSWERED, now=1.3, expires_at=1.9
        )
        self.assertFalse(self.supervisor.is_accepting(now=1.5))

    def test_its_room_stays_taken_until_it_can_no_longer_be_carried_out(self) -> None:
        self.order_unanswered()
        self.assertEqual([], pick(self.poll(now=1.85), ReportEnd))
        self.assertEqual(0, self.supervisor.get_free().cpu)
        (report,) = pick(self.poll(now=1.95), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)
        self.assertEqual(4000, self.supervisor.get_free().cpu)

    def test_an_answered_stop_bars_the_run_once_a_stop_has_taken_its_time(self) -> None:
        """The run may be going unlisted: a mute worker carries orders out and answers nothing."""
        run_id = self.order_unanswered()
        self.assertEqual([], self.supervisor.handle_stop_response(run_id, now=1.4))
        self.assertEqual([], pick(self.supervisor.tick(now=1.4 + STOP_S), ReportEnd))
        self.assertEqual(0, self.supervisor.get_free().cpu)
        late = 1.4 + STOP_S + STOP_MARGIN_S
        (report,) = pick(self.supervisor.tick(now=late), ReportEnd)
        self.assertIs(EndReason.STOPPED, report.reason)

    def test_a_run_that_was_listed_is_over_only_when_its_end_is(self) -> None:
        run_id = self.order_unanswered()
        self.poll(ListedRun(run_id, 3.0), now=1.4)
        self.assertEqual([], self.supervisor.handle_stop_response(run_id, now=1.5))
        ended = (EndedRun(1, run_id, EndReason.STOPPED),)
        self.assertEqual(1, len(pick(self.poll(ended=ended, now=1.6), ReportEnd)))

    def test_a_look_from_before_the_order_ended_says_nothing(self) -> None:
        self.order_unanswered()
        self.assertEqual([], pick(self.poll(now=1.95, asked_at=1.8), ReportEnd))

    def test_a_used_run_number_is_settled_by_the_next_look(self) -> None:
        request = make_start()
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUN_USED, now=1.2, expires_at=1.9
        )
        self.assertEqual([], actions)
        ended = (EndedRun(1, request.run_id, EndReason.DONE),)
        (report,) = pick(self.poll(ended=ended, now=1.3), ReportEnd)
        self.assertIs(EndReason.DONE, report.reason)


class LifeTests(SupervisorTestCase):
    def test_a_new_life_ends_all_runs(self) -> None:
        self.run_task(make_start())
        (report,) = pick(self.replace_life("i-2"), ReportEnd)
        self.assertIs(EndReason.CRASHED, report.reason)

    def test_a_late_report_of_an_earlier_life_changes_nothing(self) -> None:
        self.replace_life("i-2")
        self.poll(now=1.0)
        run_id = self.run_task(make_start(cpu=3000))
        self.assertEqual([], self.supervisor.register_incarnation(make_life("i-1"), now=1.2))
        self.assertEqual("i-2", self.supervisor.incarnation.id)
        self.assertIn(run_id, self.supervisor.runs)
        self.assertEqual(1000, self.supervisor.get_free().cpu)

    def test_a_late_report_of_a_life_never_met_changes_nothing(self) -> None:
        """An agent that has just started may hear of the earlier life second."""
        run_id = self.run_task(make_start(cpu=3000))
        self.assertEqual([], self.supervisor.register_incarnation(make_life("i-0"), now=1.1))
        self.assertTrue(self.supervisor.has_work)
        self.assertEqual(
            [], pick(self.poll(ListedRun(run_id, 10.0), now=1.3, asked_at=1.2), ReportEnd)
        )
        self.assertEqual("i-1", self.supervisor.incarnation.id)
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_life("i-0"), now=1.4)
        self.assertIsNone(self.supervisor.incarnation)

    def test_an_answer_asked_for_before_the_report_proves_nothing(self) -> None:
        run_id = self.run_task(make_start())
        self.supervisor.register_incarnation(make_life("i-2"), now=1.2)
        self.poll(ListedRun(run_id, 10.0), now=1.3, asked_at=1.1)
        self.supervisor.lose_incarnation(is_over=True)
        self.assertEqual("i-2", self.supervisor.incarnation.id)

    def test_a_life_that_deregistered_never_comes_back(self) -> None:
        self.supervisor.end_incarnation("i-1")
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_life("i-1"), now=1.2)
        self.assertIsNone(self.supervisor.incarnation)

    def test_a_life_that_deregistered_is_over_only_once_it_is_gone(self) -> None:
        """It may run on for seconds, and what runs there is placed again once it counts as over."""
        run_id = self.run_task(make_start())
        self.assertEqual([], pick(self.supervisor.end_incarnation("i-1"), ReportEnd))
        self.supervisor.register_incarnation(make_life("i-1"), now=1.2)
        self.poll(ListedRun(run_id, 50.0), now=1.2)
        self.assertEqual(float("-inf"), self.supervisor.get_lease_limit())
        self.assertFalse(self.supervisor.is_accepting(now=1.2))
        self.assertTrue(self.supervisor.has_work)
        (report,) = pick(self.supervisor.lose_incarnation(is_over=False), ReportEnd)
        self.assertEqual(run_id, report.run_id)

    def test_a_late_goodbye_of_an_earlier_life_ends_nothing(self) -> None:
        self.replace_life("i-2")
        run_id = self.run_task_after_look()
        self.assertEqual([], self.supervisor.end_incarnation("i-1"))
        self.assertIn(run_id, self.supervisor.runs)

    def lose_worker(self, **how: bool) -> EndReason:
        """Lose the worker with a run on it; return how the run ended."""
        self.run_task(make_start())
        (report,) = pick(self.supervisor.lose_incarnation(**how), ReportEnd)
        return report.reason

    def test_a_worker_that_refuses_connections_has_crashed(self) -> None:
        self.assertIs(EndReason.CRASHED, self.lose_worker(is_over=False, is_refused=True))

    def test_a_worker_that_is_silent_may_be_cut_off(self) -> None:
        self.assertIs(EndReason.STOPPED, self.lose_worker(is_over=False))

    def test_a_worker_that_leaves_and_is_gone_has_not_crashed(self) -> None:
        self.run_task(make_start())
        self.supervisor.register_incarnation(make_life(is_leaving=True), now=1.1)
        (report,) = pick(
            self.supervisor.lose_incarnation(is_over=False, is_refused=True), ReportEnd
        )
        self.assertIs(EndReason.STOPPED, report.reason)

    def test_a_life_that_was_out_of_reach_comes_back(self) -> None:
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_life("i-1"), now=2.0)
        self.assertEqual("i-1", self.supervisor.incarnation.id)
        self.assertFalse(self.supervisor.is_accepting(now=2.0))

    def test_a_wrong_report_met_first_does_not_bar_the_life_that_is_there(self) -> None:
        self.supervisor.lose_incarnation(is_over=False)
        self.supervisor.register_incarnation(make_life("i-0"), now=2.0)
        self.supervisor.lose_incarnation(is_over=True)
        self.supervisor.register_incarnation(make_life("i-1"), now=2.1)
        self.assertEqual("i-1", self.supervisor.incarnation.id)

    def test_a_leaving_worker_gets_no_start_and_keeps_its_runs(self) -> None:
        self.run_task(make_start())
        self.supervisor.register_incarnation(make_life(is_leaving=True), now=1.0)
        (report,) = pick(self.start(make_start("b")), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)
        self.assertEqual(1, len(self.supervisor.runs))

    def test_an_agent_that_drains_takes_nothing_and_cuts_off_nothing(self) -> None:
        self.run_task(make_start())
        self.assertEqual([], pick(self.supervisor.drain(), OrderStop))
        (report,) = pick(self.start(make_start("b")), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)


class SilenceTests(SupervisorTestCase):
    def test_a_silent_worker_without_runs_is_looked_at_until_it_answers(self) -> None:
        """Nothing else would ever let it take starts again."""
        self.supervisor.note_unresponsive()
        self.assertTrue(self.supervisor.has_work)
        self.assertEqual([ReportCapacity()], self.poll(now=1.0))
        self.assertTrue(self.supervisor.is_accepting(now=1.0))
        self.assertFalse(self.supervisor.has_work)

    def test_what_runs_is_not_stopped_for_a_silence(self) -> None:
        self.run_task(make_start())
        self.assertEqual([ReportCapacity()], self.supervisor.note_unresponsive())

    def test_a_start_on_a_silent_worker_is_not_taken(self) -> None:
        self.supervisor.note_unresponsive()
        (report,) = pick(self.start(make_start()), ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)


class FirstLookTests(SupervisorTestCase):
    def test_owners_are_told_when_a_new_life_takes_starts(self) -> None:
        """An agent that ticks each 50 ms may never see that starts were not taken in between."""
        self.replace_life("i-2")
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.assertEqual([ReportCapacity()], self.poll(now=1.0))
        self.assertTrue(self.supervisor.is_accepting(now=1.0))
        self.assertEqual([], self.poll(now=1.1))


class PaceTests(SupervisorTestCase):
    def test_a_run_without_progress_is_reported_as_stalled(self) -> None:
        run_id = self.run_task(make_start())
        self.poll(ListedRun(run_id, 20.0), now=1.1)
        self.poll(ListedRun(run_id, 20.0), now=1.3)
        (report,) = pick(self.poll(ListedRun(run_id, 20.0), now=1.6), ReportSlow)
        self.assertTrue(report.is_stalled)

    def test_a_run_that_is_on_its_way_is_not_reported(self) -> None:
        run_id = self.run_task(make_start())
        self.assertEqual([], pick(self.poll(ListedRun(run_id, 90.0), now=1.2), ReportSlow))

    def test_the_pace_of_a_worker_needs_several_jobs(self) -> None:
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        rows = [ListedRun(run_id, 10.0) for run_id in runs]
        reports = pick(self.poll(*rows, now=1.2), ReportSlow)
        self.assertEqual({sure(10.0)}, {round(report.worker_pace, 6) for report in reports})

    def test_a_pace_is_judged_as_of_the_look_that_saw_the_progress(self) -> None:
        """Three jobs just under way are at their usual pace, however long no look came since.

        So it stands right after all workers began anew with long tasks: nothing ends meanwhile, so
        the next look comes only when its longest wait is over.
        """
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        for run_id in runs:
            self.supervisor.runs[run_id].request = replace(
                self.supervisor.runs[run_id].request, expected_s=2.0
            )
        self.poll(*(ListedRun(run_id, 6.0) for run_id in runs), now=1.12)
        self.assertEqual(sure(1.0), round(self.supervisor.get_pace(), 6))

    def test_jobs_declared_too_short_do_not_make_a_sound_worker_slow(self) -> None:
        """Owners that have just started know no better times than the declared ones."""
        runs = [self.run_task(make_start(name)) for name in ("a", "b", "c")]
        # Ratios of 4.0, 1.5 and 1.4 to the expected time: their plain mean is above the bound.
        percents = (25.0, 66.67, 71.43)
        rows = [ListedRun(run, percent) for run, percent in zip(runs, percents, strict=True)]
        self.poll(*rows, now=1.2)
        self.assertLess(0.0, self.supervisor.get_pace())
        self.assertLess(self.supervisor.get_pace(), SLOW_PACE)

    def test_one_job_says_nothing_of_its_worker(self) -> None:
        run_id = self.run_task(make_start())
        (report,) = pick(self.poll(ListedRun(run_id, 10.0), now=1.2), ReportSlow)
        self.assertEqual(0.0, report.worker_pace)


class HealthTests(testtools.TestCase):
    def test_failures_of_one_job_say_nothing(self) -> None:
        health = WorkerHealth()
        for _ in range(5):
            health.note_failed("a", now=0.0)
        self.assertTrue(health.may_start(running=3, now=0.0))

    def test_failures_of_several_jobs_leave_single_trials(self) -> None:
        health = WorkerHealth()
        health.note_failed("a", now=0.0)
        health.note_failed("b", now=0.0)
        self.assertFalse(health.may_start(running=0, now=0.5))
        self.assertTrue(health.may_start(running=0, now=1.0))
        self.assertFalse(health.may_start(running=1, now=1.0))

    def test_a_success_restores_trust(self) -> None:
        health = WorkerHealth()
        health.note_failed("a", now=0.0)
        health.note_failed("b", now=0.0)
        health.note_done()
        self.assertTrue(health.may_start(running=5, now=0.1))


class CrashedTests(SupervisorTestCase):
    """Whom a crash of the worker names."""

    def name_crashed(self, ended_at: float | None = 1.5) -> list[tuple[str, float | None, bool]]:
        runs = list(self.supervisor.runs.values())
        rows = list_crashed(runs, ended_at=ended_at)
        return [(row.job_id, row.age_s, row.has_begun) for row in rows]

    def test_what_runs_is_named_with_its_age(self) -> None:
        self.run_task(make_start())
        self.assertEqual([("a", 0.5, True)], self.name_crashed())

    def test_a_silent_worker_says_nothing_of_ages(self) -> None:
        """Else two bystanders of workers that fell silent would both have the age of a lease."""
        self.run_task(make_start())
        self.assertEqual([("a", None, True)], self.name_crashed(ended_at=None))

    def test_a_start_whose_answer_was_read_late_says_nothing_of_its_age(self) -> None:
        """As by an agent that stood still; the run may have begun at any time since its order."""
        request = make_start()
        self.start(request, now=1.0)
        self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.RUNNING, now=1.4, expires_at=2.0
        )
        self.assertEqual([("a", None, True)], self.name_crashed())

    def test_a_start_on_its_way_may_have_come_too_late(self) -> None:
        self.start(make_start())
        self.assertEqual([("a", None, False)], self.name_crashed())

    def test_a_run_that_is_listed_before_its_start_is_answered_has_begun(self) -> None:
        request = make_start()
        self.start(request)
        self.poll(ListedRun(request.run_id, 1.0), now=1.2)
        self.assertEqual([True], [has_begun for _, _, has_begun in self.name_crashed()])

    def test_after_a_start_that_found_nothing_there_none_is_taken_until_a_look(self) -> None:
        request = make_start()
        self.start(request)
        actions = self.supervisor.handle_start_outcome(
            request.run_id, StartOutcome.NOT_LISTENING, now=1.0, expires_at=1.0
        )
        (report,) = pick(actions, ReportEnd)
        self.assertIs(EndReason.NOT_TAKEN, report.reason)
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.poll(now=1.1)
        self.assertTrue(self.supervisor.is_accepting(now=1.1))
