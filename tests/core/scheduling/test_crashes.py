"""Tests for finding and giving up tasks that crash their workers."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools
from hypothesis import (
    given,
    settings,
)
from hypothesis import (
    strategies as st,
)

from dalemast.core.scheduling import (
    Action,
    CapacityReport,
    Crash,
    CrashedTask,
    EndReason,
    FastestPlacement,
    JobState,
    LeastSlackOrder,
    RunPresumedOver,
    Scheduler,
    SchedulerLimits,
    StartTask,
    TaskGivenUp,
)
from dalemast.core.scheduling.crashes import (
    MAX_CRASHES,
    MAX_ENDED_JOBS,
    MAX_ENDS,
    MAX_REPORTED_JOBS,
    MAX_STARTS,
    RETENTION_S,
    SAME_AGE_S,
    CrashRecords,
)
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_finished,
    get_starts,
    get_stops,
    make_job,
    make_step,
)

TASK = TaskKey(0, 0)
CRASHES = st.builds(
    Crash,
    incarnation=st.sampled_from(["i-1", "i-2", "i-3", "i-4"]),
    age_s=st.one_of(st.none(), st.floats(0.0, 3.0)),
    is_observed=st.booleans(),
)


def make_crash(incarnation: str, *, age_s: float | None = 0.03, **fields: Any) -> Crash:
    return Crash(incarnation=incarnation, age_s=age_s, **fields)


class CrashRecordsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.open_jobs = {"open"}
        self.records = CrashRecords(open_jobs=self.open_jobs)

    def record(self, *crashes: Crash, job_id: str = "open", now: float = 1.0) -> None:
        for crash in crashes:
            self.records.record(job_id, TASK, crash, now=now)

    def should_give_up(self, *crashes: Crash) -> bool:
        self.record(*crashes)
        return self.records.should_give_up("open", TASK)

    def test_one_crash_only_makes_a_task_suspect(self) -> None:
        """Every task on a worker ends with it, whichever one caused the crash."""
        self.assertFalse(self.should_give_up(make_crash("i-1")))
        self.assertTrue(self.records.is_suspect("open", TASK))

    def test_a_task_is_given_up_after_two_crashes_at_the_same_age(self) -> None:
        later = make_crash("i-2", age_s=0.03 + 0.9 * SAME_AGE_S)
        self.assertTrue(self.should_give_up(make_crash("i-1"), later))

    def test_a_task_is_kept_after_two_crashes_at_different_ages(self) -> None:
        later = make_crash("i-2", age_s=0.03 + 1.1 * SAME_AGE_S)
        self.assertFalse(self.should_give_up(make_crash("i-1"), later))

    def test_unknown_ages_do_not_count_as_alike(self) -> None:
        crashes = (make_crash("i-1", age_s=None), make_crash("i-2", age_s=None))
        self.assertFalse(self.should_give_up(*crashes))

    def test_a_task_is_given_up_after_three_crashes_at_any_age(self) -> None:
        ages = (0.1, 1.0, None)
        crashes = (make_crash(f"i-{age_s}", age_s=age_s) for age_s in ages)
        self.assertTrue(self.should_give_up(*crashes))

    def record_tasks(self, ages: tuple[float, ...]) -> bool:
        """Record one crash for each task of a job; return whether the job is suspect."""
        for position, age_s in enumerate(ages):
            crash = make_crash(f"i-{position}", age_s=age_s)
            self.records.record("open", TaskKey(0, position), crash, now=1.0)
        return self.records.is_job_suspect("open")

    def test_a_job_with_several_crashes_at_the_same_age_is_suspect(self) -> None:
        self.assertTrue(self.record_tasks((0.03, 0.04, 0.03)))

    def test_a_job_with_several_crashes_at_different_ages_is_not_suspect(self) -> None:
        self.assertFalse(self.record_tasks((0.1, 0.5, 1.0)))

    def test_a_job_with_two_crashes_is_not_suspect(self) -> None:
        self.assertFalse(self.record_tasks((0.03, 0.03)))

    def test_a_task_that_may_not_have_started_is_not_given_up(self) -> None:
        """Guards against blaming a task whose starts arrived after the crashes."""
        for number in range(MAX_CRASHES):
            self.assertFalse(self.should_give_up(make_crash(f"i-{number}", has_begun=False)))

    def test_unconfirmed_ends_count_only_towards_the_higher_limit(self) -> None:
        """Workers that are disconnected repeatedly look the same."""
        for number in range(MAX_ENDS - 1):
            self.record(make_crash(f"i-{number}", is_observed=False))
        self.assertFalse(self.records.should_give_up("open", TASK))
        self.assertTrue(self.should_give_up(make_crash("i-9", is_observed=False)))

    def test_an_end_that_is_confirmed_later_counts_once(self) -> None:
        self.record(make_crash("i-1", is_observed=False))
        self.record(make_crash("i-1"))
        self.record(make_crash("i-1", is_observed=False))
        (crash,) = self.records.get("open", TASK)
        self.assertTrue(crash.is_observed)

    def test_unconfirmed_ends_of_a_responding_incarnation_are_dropped(self) -> None:
        self.record(make_crash("i-1", is_observed=False), make_crash("i-2"))
        self.assertEqual({"open"}, self.records.clear_unconfirmed("i-1"))
        self.assertEqual(set(), self.records.clear_unconfirmed("i-2"))
        self.assertEqual(["i-2"], [crash.incarnation for crash in self.records.get("open", TASK)])

    def test_a_stopped_run_counts_as_a_start_only(self) -> None:
        """Its worker has answered: it can't be one of the crashes that nobody observed."""
        stopped = make_crash("i-9", is_observed=False, is_lasting=True, is_stopped=True)
        ends = [make_crash(f"i-{number}", is_observed=False) for number in range(MAX_ENDS)]
        self.assertFalse(self.should_give_up(stopped, *ends[:-1]))
        self.assertTrue(self.should_give_up(ends[-1]))

    def test_ends_and_stopped_runs_do_not_exceed_the_starts_that_are_allowed(self) -> None:
        for number in range(MAX_STARTS - 1):
            self.assertFalse(
                self.should_give_up(
                    *(
                        make_crash(
                            f"i-{number}", is_observed=False, is_lasting=True, is_stopped=True
                        ),
                    )
                )
            )
        self.assertTrue(self.should_give_up(make_crash("i-9", is_observed=False)))

    def test_each_run_on_an_incarnation_counts(self) -> None:
        """One that was stopped is another start than the one that crashes the worker later."""
        for run in range(1, MAX_ENDS):
            self.record(make_crash("i-1", age_s=None, run=run, is_observed=False))
        self.assertFalse(self.records.should_give_up("open", TASK))
        last = make_crash("i-1", age_s=None, run=MAX_ENDS, is_observed=False)
        self.assertTrue(self.should_give_up(last))

    def test_a_withdrawn_run_leaves_the_other_ends_of_its_worker(self) -> None:
        for run in (1, 2):
            self.record(make_crash("i-1", run=run, is_observed=False, is_lasting=True))
        self.records.withdraw("open", TASK, ("i-1", 2))
        self.assertEqual([1], [crash.run for crash in self.records.get("open", TASK)])

    def test_an_open_job_is_kept_and_an_ended_one_dropped_after_a_while(self) -> None:
        self.record(make_crash("i-1"))
        self.record(make_crash("i-1"), job_id="ended")
        self.records.tick(now=1.0 + RETENTION_S)
        self.assertIn("open", self.records)
        self.assertNotIn("ended", self.records)

    def test_the_number_of_remembered_ended_jobs_is_limited(self) -> None:
        self.record(make_crash("i-1"))
        for number in range(3 * MAX_ENDED_JOBS):
            self.record(make_crash("i-1"), job_id=f"ended-{number}")
        self.assertEqual(MAX_ENDED_JOBS + 1, len(self.records))
        self.assertIn("open", self.records)

    @settings(max_examples=200)
    @given(crashes=st.lists(CRASHES, max_size=12), seconds=st.lists(st.floats(0.0, 300.0)))
    def test_nothing_that_is_told_makes_a_task_less_suspect(
        self, crashes: list[Crash], seconds: list[float]
    ) -> None:
        """In any order, any number of times, and with any time between."""
        records = CrashRecords(open_jobs={"open"})
        known: dict[str, bool] = {}
        for number, crash in enumerate(crashes):
            was_guilty = records.should_give_up("open", TASK)
            now = sum(seconds[: number + 1])
            is_news = records.record("open", TASK, crash, now=now)
            records.tick(now=now)
            self.assertEqual(is_news, known.get(crash.incarnation) not in (crash.is_observed, True))
            known[crash.incarnation] = crash.is_observed or known.get(crash.incarnation, False)
            self.assertEqual(set(known), {c.incarnation for c in records.get("open", TASK)})
            self.assertEqual(sum(known.values()), _count_seen(records))
            self.assertLessEqual(was_guilty, records.should_give_up("open", TASK))
            if sum(known.values()) >= MAX_CRASHES:
                self.assertTrue(records.should_give_up("open", TASK))


def _count_seen(records: CrashRecords) -> int:
    return sum(crash.is_observed for crash in records.get("open", TASK))


class CrashTestCase(SchedulerTestCase):
    def submit(self, job_id: str, count: int = 1, now: float = 10.0) -> list[Action]:
        return self.scheduler.submit(make_job(job_id, make_step(count)), now=now)

    def add_workers(self, count: int, *, cpu: int = 4000) -> None:
        for number in range(count):
            self.add_worker(f"w{number}", cpu=cpu)


class CrashHandlingTests(CrashTestCase):
    """How the scheduler handles the jobs of a crashed worker."""

    def crash(self, start: StartTask, *, age_s: float | None = 0.03) -> list[Action]:
        """Crash the worker of a start."""
        row = CrashedTask(job_id=start.job.id, task=start.task, age_s=age_s)
        actions = self.scheduler.note_crash(start.worker, [row], now=10.1)
        return [*actions, *self.scheduler.lose_worker(start.worker, now=10.1)]

    def test_a_task_is_restarted_at_once_and_given_up_after_the_second_crash(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.assertNotEqual(first.worker, second.worker)
        actions = self.crash(second)
        self.assertEqual([], get_starts(actions))
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)
        (given_up,) = [action for action in actions if isinstance(action, TaskGivenUp)]
        self.assertEqual(
            {first.worker, second.worker}, {crash.incarnation for crash in given_up.crashes}
        )

    def test_a_task_with_crashes_at_different_ages_is_restarted(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        (third,) = get_starts(self.crash(second, age_s=0.5))
        (finished,) = get_finished(self.end(third, EndReason.DONE))
        self.assertIs(JobState.SUCCEEDED, finished.state)

    def test_other_runs_of_a_job_that_is_given_up_are_stopped(self) -> None:
        self.add_workers(4, cpu=1000)
        first, other = get_starts(self.submit("a", count=2))
        (second,) = get_starts(self.crash(first))
        (stop,) = get_stops(self.crash(second))
        self.assertEqual((other.worker, other.task), (stop.worker, stop.task))

    def test_a_repeated_report_of_a_crash_changes_nothing(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.assertEqual([], self.crash(first))
        self.assertEqual([], self.end(first, EndReason.CRASHED))
        self.assertEqual({second.worker}, self.scheduler.get_busy_workers())

    def test_a_job_that_is_submitted_again_keeps_its_crashes(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.scheduler.cancel("a")
        self.crash(second)
        actions = self.submit("a", now=12.0)
        self.assertEqual([], get_starts(actions))
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)

    def test_crashes_reported_by_a_peer_count_for_a_new_job(self) -> None:
        self.add_workers(4)
        row = CrashedTask(job_id="a", task=TASK, age_s=0.03)
        for incarnation in ("w7", "w8"):
            self.scheduler.note_crash(incarnation, [row], now=9.0)
        self.assertEqual([], get_starts(self.submit("a")))

    def test_a_relayed_report_does_not_end_a_run_of_this_owner(self) -> None:
        """The report may be about an earlier run, on a worker that runs this owner's task now."""
        self.add_workers(2)
        (start,) = get_starts(self.submit("a"))
        row = CrashedTask(job_id="a", task=start.task, age_s=None)
        reports = {"now": 10.1, "is_observed": False, "is_relayed": True}
        self.assertEqual([], self.scheduler.note_crash(start.worker, [row], **reports))
        self.assertEqual({start.worker}, self.scheduler.get_busy_workers())

    def test_a_crash_of_a_task_that_the_job_does_not_have_changes_nothing(self) -> None:
        self.add_workers(2)
        (start,) = get_starts(self.submit("a"))
        row = CrashedTask(job_id="a", task=TaskKey(3, 9), age_s=0.03)
        self.assertEqual([], get_finished(self.scheduler.note_crash("w7", [row], now=10.1)))
        (finished,) = get_finished(self.end(start, EndReason.DONE))
        self.assertIs(JobState.SUCCEEDED, finished.state)

    def test_tasks_of_a_suspect_job_are_not_all_restarted_at_once(self) -> None:
        self.add_workers(4, cpu=1000)
        starts = get_starts(self.submit("a", count=4))
        for number in range(10, 14):
            self.add_worker(f"w{number}")
        again = [get_starts(self.crash(start)) for start in starts]
        self.assertEqual([1, 1, 0, 0], [len(group) for group in again])
        (finished,) = get_finished(self.crash(again[0][0]))
        self.assertIs(JobState.FAILED, finished.state)

    def test_a_worker_that_was_unreachable_and_is_back_has_not_crashed(self) -> None:
        self.add_workers(6)
        (start,) = get_starts(self.submit("a"))
        for number in range(2 * MAX_ENDS):
            now = 10.0 + 5 * number
            self.scheduler.lose_worker(start.worker, now=now)
            (again,) = get_starts(self.scheduler.tick(now=now + LOST_RUN_S))
            self.add_worker(start.worker, now=now + 2.0)
            self.scheduler.reconcile(start.worker, [], now=now + 2.0)
            start = again
        (finished,) = get_finished(self.end(start, EndReason.DONE, now=100.0))
        self.assertIs(JobState.SUCCEEDED, finished.state)

    def test_a_task_whose_ends_are_all_unconfirmed_is_given_up(self) -> None:
        self.add_workers(2 * MAX_ENDS)
        (start,) = get_starts(self.submit("a"))
        starts = 1
        for number in range(2 * MAX_ENDS):
            now = 10.0 + 5 * number
            self.scheduler.lose_worker(start.worker, now=now)
            again = get_starts(self.scheduler.tick(now=now + LOST_RUN_S))
            if not again:
                break
            (start,) = again
            starts += 1
        self.assertEqual(MAX_ENDS, starts)


class LostRecordsTests(SchedulerTestCase):
    """Guards against too many starts of a task that crashes its workers, with several entries.

    Records of its crashes must survive the loss or restart of an entry or an agent.
    """

    def make_owner(self) -> None:
        """Replace the scheduler by one of another owner, without records."""
        self.scheduler = Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
        )
        for number in range(2 * MAX_ENDS):
            self.add_worker(f"v{number}")

    def test_each_open_run_of_an_abandoned_job_is_an_unconfirmed_end(self) -> None:
        self.add_worker("w1")
        (start,) = get_starts(self.scheduler.submit(make_job("a"), now=10.0))
        actions = self.scheduler.abandon("a", now=11.0)
        self.assertEqual([start.worker], [stop.worker for stop in get_stops(actions)])
        (over,) = [action for action in actions if isinstance(action, RunPresumedOver)]
        self.assertEqual((start.worker, "a"), (over.worker, over.job_id))
        (end,) = self.scheduler.list_crashes()
        self.assertEqual((start.worker, False), (end.incarnation, end.is_observed))

    def test_an_abandoned_run_on_a_responding_worker_does_not_count(self) -> None:
        self.add_worker("w1")
        self.scheduler.submit(make_job("a"), now=10.0)
        self.scheduler.abandon("a", now=11.0)
        report = CapacityReport(
            seen=1, free=Resources(cpu=4000, memory_mb=65536), is_accepting=True
        )
        self.scheduler.update_worker("w1", report, now=11.1)
        self.assertEqual({}, self.scheduler.list_crashes())

    def test_an_abandoned_job_without_runs_does_not_count(self) -> None:
        self.scheduler.submit(make_job("a"), now=10.0)
        self.assertEqual([], self.scheduler.abandon("a", now=10.1))
        self.assertEqual([], self.scheduler.abandon("unknown", now=10.1))

    def test_a_restarted_owner_uses_the_records_of_its_peers(self) -> None:
        row = CrashedTask(job_id="a", task=TASK, age_s=None)
        for number in range(MAX_ENDS):
            self.scheduler.note_crash(f"w{number}", [row], now=9.0, is_observed=False)
        reports = self.scheduler.list_crashes()
        self.make_owner()
        for end, rows in reports.items():
            self.scheduler.note_crash(
                end.incarnation, rows, now=10.0, is_observed=end.is_observed, is_relayed=True
            )
        actions = self.scheduler.submit(make_job("a"), now=10.0)
        self.assertEqual([], get_starts(actions))
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)

    def test_reported_crashes_keep_ages_and_confirmation(self) -> None:
        confirmed = CrashedTask(job_id="a", task=TASK, age_s=0.03)
        late = CrashedTask(job_id="b", task=TASK, age_s=0.5, has_begun=False)
        self.scheduler.note_crash("w1", [confirmed, late], now=9.0)
        self.scheduler.note_crash("w2", [confirmed], now=9.0, is_observed=False)
        reports = self.scheduler.list_crashes().items()
        rows_by_end = {(end.incarnation, end.is_observed): rows for end, rows in reports}
        self.assertEqual({("w1", True): [late, confirmed], ("w2", False): [confirmed]}, rows_by_end)

    def test_the_number_of_reported_jobs_is_limited(self) -> None:
        for number in range(2 * MAX_REPORTED_JOBS):
            row = CrashedTask(job_id=f"job {number}", task=TASK, age_s=None)
            self.scheduler.note_crash("w1", [row], now=9.0)
        (rows,) = self.scheduler.list_crashes().values()
        self.assertEqual(MAX_REPORTED_JOBS, len(rows))
        self.assertEqual(f"job {2 * MAX_REPORTED_JOBS - 1}", rows[-1].job_id)


class LostKnowledgeTests(CrashTestCase):
    """Crashes that nobody observes count all the same, so that the starts stay bounded."""

    def crash_unobserved(self, start: StartTask, *, now: float) -> StartTask:
        """Lose the worker of a start, and return the next start of its task."""
        self.scheduler.lose_worker(start.worker, now=now)
        (again,) = get_starts(self.scheduler.tick(now=now + LOST_RUN_S))
        return again

    def test_a_run_after_a_hidden_end_that_is_dropped_with_its_job_counts(self) -> None:
        """A caller that hangs up before each crash must not keep the count from rising."""
        self.add_workers(2 * MAX_ENDS)
        (start,) = get_starts(self.submit("a"))
        start = self.crash_unobserved(start, now=10.0)
        starts = 2
        for number in range(2 * MAX_ENDS):
            now = 20.0 + number
            dropped = self.scheduler.drop("a", now=now)
            self.assertEqual(1, len([a for a in dropped if isinstance(a, RunPresumedOver)]))
            self.scheduler.lose_worker(start.worker, now=now)
            again = get_starts(self.submit("a", now=now + 0.5))
            if not again:
                break
            (start,) = again
            starts += 1
        self.assertLessEqual(starts, MAX_ENDS)

    def test_a_run_after_a_hidden_end_that_is_abandoned_counts_though_its_worker_answers(
        self,
    ) -> None:
        """An owner that is cut off before each crash must not keep the count from rising."""
        self.add_workers(4 * MAX_ENDS)
        (start,) = get_starts(self.submit("a"))
        start = self.crash_unobserved(start, now=10.0)
        starts = 2
        for number in range(2 * MAX_ENDS):
            now = 20.0 + number
            self.scheduler.abandon("a", now=now)
            self.scheduler.reconcile(start.worker, [], now=now + 0.2)
            again = get_starts(self.submit("a", now=now + 0.5))
            if not again:
                break
            (start,) = again
            starts += 1
        self.assertLessEqual(starts, MAX_ENDS)

    def test_a_run_after_a_hidden_end_that_is_stopped_counts(self) -> None:
        """A move off a slow worker must not keep the count from rising."""
        self.add_workers(4 * MAX_ENDS)
        (start,) = get_starts(self.submit("a"))
        start = self.crash_unobserved(start, now=10.0)
        starts = 2
        for number in range(2 * MAX_ENDS):
            again = get_starts(self.end(start, EndReason.STOPPED, now=20.0 + number))
            if not again:
                break
            (start,) = again
            starts += 1
        self.assertLessEqual(starts, MAX_STARTS)

    def test_a_run_of_an_innocent_task_that_is_dropped_does_not_count(self) -> None:
        self.add_workers(2)
        self.submit("a")
        dropped = self.scheduler.drop("a", now=10.1)
        self.assertEqual([], [a for a in dropped if isinstance(a, RunPresumedOver)])
        self.assertEqual(1, len(get_stops(dropped)))

    def test_an_end_is_kept_if_the_worker_has_not_answered_since(self) -> None:
        """Its agent was paused, and reports the worker without having noticed its end."""
        self.add_workers(2)
        (start,) = get_starts(self.submit("a"))
        self.crash_unobserved(start, now=10.0)
        now = 10.0 + LOST_RUN_S + 0.5
        with mock.patch.object(self.scheduler, "update_worker"):
            self.add_worker(start.worker, now=now)
        for answered_ago_s, is_kept in ((1.0, True), (0.1, False)):
            report = CapacityReport(
                seen=0,
                free=Resources(cpu=4000, memory_mb=1000),
                is_accepting=True,
                answered_ago_s=answered_ago_s,
            )
            answered_at = now - answered_ago_s
            self.scheduler.reconcile(start.worker, [], now=now, answered_at=answered_at)
            self.scheduler.update_worker(start.worker, report, now=now)
            has_crashed = self.scheduler.has_crashed("a", TASK, start.worker)
            self.assertEqual(is_kept, has_crashed)

    def test_a_start_after_a_hidden_end_is_marked(self) -> None:
        self.add_workers(2)
        (start,) = get_starts(self.submit("a"))
        self.assertFalse(start.has_hidden_end)
        self.assertTrue(self.crash_unobserved(start, now=10.0).has_hidden_end)

    def test_an_announced_start_that_was_not_executed_is_withdrawn(self) -> None:
        announced = CrashedTask(job_id="a", task=TASK, age_s=None)
        self.add_workers(1)
        self.scheduler.note_crash(
            "w1", [announced], now=10.0, is_observed=False, is_relayed=True, is_lasting=True
        )
        self.scheduler.reconcile("w1", [], now=11.0)
        self.assertTrue(self.scheduler.is_suspect("a", TASK), "the run may crash the worker yet")
        self.scheduler.withdraw_crash("w1", [announced])
        self.assertFalse(self.scheduler.is_suspect("a", TASK))

    def test_an_observed_crash_is_not_withdrawn(self) -> None:
        crashed = CrashedTask(job_id="a", task=TASK, age_s=0.1)
        self.scheduler.note_crash("w1", [crashed], now=10.0)
        self.scheduler.withdraw_crash("w1", [crashed])
        self.assertTrue(self.scheduler.is_suspect("a", TASK))
