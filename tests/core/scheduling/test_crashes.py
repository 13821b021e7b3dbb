"""Which tasks are blamed for the ends of workers, and how suspects are started anew."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dalemast.core.scheduling import (
    Action,
    Crash,
    CrashedTask,
    EndReason,
    JobState,
    RoomReport,
    StartTask,
    Suspicion,
    TaskGivenUp,
)
from dalemast.core.scheduling.crashes import (
    MAX_ENDED,
    MOST_CRASHES,
    MOST_ENDS,
    REMEMBERED_S,
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
    life=st.sampled_from(["i-1", "i-2", "i-3", "i-4"]),
    age_s=st.one_of(st.none(), st.floats(0.0, 3.0)),
    is_sole=st.booleans(),
)


def make_crash(life: str, *, age_s: float | None = 0.03, **fields: bool) -> Crash:
    return Crash(**{"life": life, "age_s": age_s, "is_sole": False, **fields})


class RecordTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.open_jobs = {"open"}
        self.records = CrashRecords(open_jobs=self.open_jobs)

    def note(self, *crashes: Crash, job_id: str = "open", now: float = 1.0) -> None:
        for crash in crashes:
            self.records.note(job_id, TASK, crash, now=now)

    def is_guilty(self, *crashes: Crash) -> bool:
        self.note(*crashes)
        return self.records.is_guilty("open", TASK)

    def test_one_crash_is_no_proof(self) -> None:
        """All that runs on a worker ends with it."""
        self.assertFalse(self.is_guilty(make_crash("i-1", is_sole=True)))

    def test_two_crashes_beside_other_suspects_are_no_proof(self) -> None:
        self.assertFalse(self.is_guilty(make_crash("i-1"), make_crash("i-2")))

    def test_two_crashes_alike_with_no_other_suspect_are_proof(self) -> None:
        self.assertTrue(self.is_guilty(make_crash("i-1"), make_crash("i-2", is_sole=True)))

    def test_a_task_that_ran_far_longer_the_second_time_may_be_a_bystander(self) -> None:
        later = make_crash("i-2", age_s=0.03 + 2 * SAME_AGE_S, is_sole=True)
        self.assertFalse(self.is_guilty(make_crash("i-1"), later))

    def test_three_crashes_are_enough_however_they_were(self) -> None:
        ages = (0.1, 1.0, 2.0)
        self.assertTrue(self.is_guilty(*(make_crash(f"i-{age_s}", age_s=age_s) for age_s in ages)))

    def test_tasks_of_one_job_that_end_their_workers_together_are_each_started_alone(self) -> None:
        for position in range(2):
            task = TaskKey(0, position)
            self.records.note("open", task, make_crash(f"i-{position}"), now=1.0)
        self.assertIs(Suspicion.ALONE, self.records.get_suspicion("open", TASK))

    def test_a_run_that_nobody_saw_end_makes_a_second_crash_more_likely(self) -> None:
        self.note(make_crash("i-1", is_seen=False))
        self.assertIs(Suspicion.APART, self.records.get_suspicion("open", TASK))
        self.note(make_crash("i-2"))
        self.assertIs(Suspicion.ALONE, self.records.get_suspicion("open", TASK))

    def test_ends_that_nobody_saw_are_no_proof_until_they_are_as_many_as_allowed(self) -> None:
        """Workers that are cut off again and again look the same."""
        for number in range(MOST_ENDS - 1):
            self.note(make_crash(f"i-{number}", age_s=None, is_seen=False))
            self.assertIs(Suspicion.APART, self.records.get_suspicion("open", TASK))
        self.assertFalse(self.records.is_guilty("open", TASK))
        self.assertTrue(self.is_guilty(make_crash("i-9", age_s=None, is_seen=False)))

    def test_an_end_that_is_seen_later_counts_once(self) -> None:
        self.note(make_crash("i-1", is_seen=False))
        self.assertEqual([TASK], [row.task for row in self.records.list_unseen("i-1")])
        self.note(make_crash("i-1"))
        self.assertEqual([], self.records.list_unseen("i-1"))
        self.note(make_crash("i-1", is_seen=False))
        (crash,) = self.records.get("open", TASK)
        self.assertTrue(crash.is_seen)

    def test_a_life_that_is_back_has_not_ended(self) -> None:
        self.note(make_crash("i-1", is_seen=False), make_crash("i-2"))
        self.assertEqual({"open"}, self.records.clear_unseen("i-1"))
        self.assertEqual(set(), self.records.clear_unseen("i-2"))
        self.assertEqual(["i-2"], [crash.life for crash in self.records.get("open", TASK)])

    def test_an_open_job_is_never_forgotten_and_an_ended_one_after_a_while(self) -> None:
        self.note(make_crash("i-1"))
        self.note(make_crash("i-1"), job_id="ended")
        self.records.tick(now=1.0 + REMEMBERED_S)
        self.assertIn("open", self.records)
        self.assertNotIn("ended", self.records)

    def test_what_is_remembered_of_ended_jobs_is_bounded(self) -> None:
        self.note(make_crash("i-1"))
        for number in range(3 * MAX_ENDED):
            self.note(make_crash("i-1"), job_id=f"ended-{number}")
        self.assertEqual(MAX_ENDED + 1, len(self.records))
        self.assertIn("open", self.records)

    @settings(max_examples=200)
    @given(crashes=st.lists(CRASHES, max_size=12), seconds=st.lists(st.floats(0.0, 300.0)))
    def test_nothing_that_is_told_makes_a_task_less_suspect(
        self, crashes: list[Crash], seconds: list[float]
    ) -> None:
        """In any order, any number of times, and with any time between."""
        records = CrashRecords(open_jobs={"open"})
        known: set[str] = set()
        for number, crash in enumerate(crashes):
            before = records.get_suspicion("open", TASK)
            was_over = len(known) >= MOST_CRASHES
            now = sum(seconds[: number + 1])
            self.assertEqual(crash.life not in known, records.note("open", TASK, crash, now=now))
            records.tick(now=now)
            known.add(crash.life)
            self.assertEqual(len(known), len(records.get("open", TASK)))
            self.assertLessEqual(before, records.get_suspicion("open", TASK))
            if was_over or len(known) >= MOST_CRASHES:
                self.assertTrue(records.is_guilty("open", TASK))


class SuspectTests(SchedulerTestCase):
    """What follows from a crash for the tasks that ran there."""

    def crash(
        self, start: StartTask, *, beside: tuple[StartTask, ...] = (), is_sole: bool = False
    ) -> list[Action]:
        """End a start's worker; what runs beside it is told of as well."""
        rows = [
            CrashedTask(job_id=run.job.id, task=run.task, age_s=0.03, is_sole=is_sole)
            for run in (start, *beside)
        ]
        actions = self.scheduler.note_crash(start.worker, rows, now=10.1)
        return [*actions, *self.scheduler.lose_worker(start.worker, now=10.1)]

    def submit(self, job_id: str, count: int = 1, now: float = 10.0) -> list[Action]:
        return self.scheduler.submit(make_job(job_id, make_step(count)), now=now)

    def add_workers(self, count: int, *, cpu: int = 4000) -> None:
        for number in range(count):
            self.add_worker(f"w{number}", cpu=cpu)

    def test_a_task_is_started_anew_at_once_and_given_up_after_the_second_proof(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.assertNotEqual(first.worker, second.worker)
        self.assertIs(Suspicion.APART, second.suspicion)
        actions = self.crash(second, is_sole=True)
        self.assertEqual([], get_starts(actions))
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)
        (given_up,) = [action for action in actions if isinstance(action, TaskGivenUp)]
        self.assertEqual({first.worker, second.worker}, {crash.life for crash in given_up.crashes})

    def test_what_else_runs_of_a_job_that_is_given_up_is_stopped(self) -> None:
        self.add_workers(4, cpu=1000)
        first, other = get_starts(self.submit("a", count=2))
        (second,) = get_starts(self.crash(first))
        (stop,) = get_stops(self.crash(second, is_sole=True))
        self.assertEqual((other.worker, other.task), (stop.worker, stop.task))

    def test_the_same_crash_told_again_changes_nothing(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.assertEqual([], self.crash(first))
        self.assertEqual([], self.end(first, EndReason.CRASHED))
        self.assertEqual({second.worker}, self.scheduler.get_busy_workers())

    def test_a_job_asked_for_again_does_not_begin_anew(self) -> None:
        self.add_workers(4)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        self.scheduler.cancel("a")
        self.crash(second, is_sole=True)
        actions = self.submit("a", now=12.0)
        self.assertEqual([], get_starts(actions))
        (finished,) = get_finished(actions)
        self.assertIs(JobState.FAILED, finished.state)

    def test_another_owner_that_was_told_does_not_begin_anew(self) -> None:
        self.add_workers(4)
        for number in (7, 8):
            row = CrashedTask(job_id="a", task=TASK, age_s=0.03, is_sole=number == 8)
            self.scheduler.note_crash(f"w{number}", [row], now=9.0)
        self.assertEqual([], get_starts(self.submit("a")))

    def test_suspects_of_one_crash_are_started_apart(self) -> None:
        self.add_worker("w0")
        starts = [get_starts(self.submit(job_id))[0] for job_id in "abcd"]
        for number in range(1, 5):
            self.add_worker(f"w{number}")
        again = get_starts(self.crash(starts[0], beside=tuple(starts[1:])))
        self.assertEqual(4, len({start.worker for start in again}))

    def test_suspects_share_workers_rather_than_wait(self) -> None:
        """A rack may lose its power, and then all that ran there is suspect."""
        self.add_worker("w0")
        starts = [get_starts(self.submit(job_id))[0] for job_id in "abcd"]
        self.add_worker("w1")
        again = get_starts(self.crash(starts[0], beside=tuple(starts[1:])))
        self.assertEqual(["w1"] * 4, [start.worker for start in again])

    def test_a_task_after_two_crashes_waits_for_a_worker_without_suspects(self) -> None:
        self.add_workers(3)
        (first,) = get_starts(self.submit("a"))
        (second,) = get_starts(self.crash(first))
        (last,) = {"w0", "w1", "w2"} - {first.worker, second.worker}
        self.report(last, suspects=1)
        self.assertEqual([], get_starts(self.crash(second)))
        (third,) = get_starts(self.report(last, suspects=0))
        self.assertIs(Suspicion.ALONE, third.suspicion)

    def report(self, worker: str, *, suspects: int) -> list[Action]:
        free = Resources(cpu=4000, memory_mb=65536)
        report = RoomReport(seen=99, free=free, is_accepting=True, suspects=suspects)
        return self.scheduler.update_worker(worker, report, now=10.2)

    def test_tasks_that_end_their_workers_together_cost_one_more_and_not_one_each(self) -> None:
        self.add_workers(4, cpu=1000)
        starts = get_starts(self.submit("a", count=4))
        for number in range(10, 14):
            self.add_worker(f"w{number}")
        again = [action for start in starts for action in get_starts(self.crash(start))]
        (second,) = again
        (finished,) = get_finished(self.crash(second, is_sole=True))
        self.assertIs(JobState.FAILED, finished.state)

    def test_a_life_that_another_one_replaced_unseen_counts_as_a_crash(self) -> None:
        """The agent that could tell may have ended with it."""
        self.add_workers(3)
        (first,) = get_starts(self.submit("a"))
        self.scheduler.lose_worker(first.worker, now=10.1)
        (second,) = get_starts(self.scheduler.tick(now=10.1 + LOST_RUN_S))
        self.assertIs(Suspicion.APART, second.suspicion)
        self.scheduler.note_replaced(first.worker, now=13.0)
        (finished,) = get_finished(self.crash(second, is_sole=True))
        self.assertIs(JobState.FAILED, finished.state)

    def test_an_end_that_nobody_saw_counts_once(self) -> None:
        self.add_workers(3)
        (first,) = get_starts(self.submit("a"))
        self.scheduler.lose_worker(first.worker, now=10.1)
        (second,) = get_starts(self.scheduler.tick(now=10.1 + LOST_RUN_S))
        self.scheduler.note_replaced(first.worker, now=13.0)
        (third,) = get_starts(self.end(second, EndReason.STOPPED, now=13.1))
        self.assertIs(Suspicion.APART, third.suspicion)

    def test_a_worker_that_was_out_of_reach_and_is_back_has_not_crashed(self) -> None:
        self.add_workers(3)
        (first,) = get_starts(self.submit("a"))
        self.scheduler.lose_worker(first.worker, now=10.1)
        (second,) = get_starts(self.scheduler.tick(now=10.1 + LOST_RUN_S))
        self.scheduler.reconcile(first.worker, [], now=12.0)
        (third,) = get_starts(self.end(second, EndReason.STOPPED, now=12.1))
        self.assertIs(Suspicion.NONE, third.suspicion)
