"""Capacity that is taken away at short notice: which runs an owner moves before they are lost.

Workers leave 2 s after they say so, at times later, and runs take 1.8 s to 7 s.
"""

from __future__ import annotations

from dataclasses import replace

from dalemast.core.scheduling import (
    Action,
    CapacityReport,
    DepartureRisk,
    EndReason,
    FastestPlacement,
    LoadPolicy,
    PriorityOrder,
    RunMoved,
    Scheduler,
    SchedulerLimits,
    StartTask,
)
from dalemast.core.workloads import Resources, TaskKey
from tests.core.scheduling.base import (
    LOST_RUN_S,
    SchedulerTestCase,
    get_finished,
    get_starts,
    get_stops,
    make_job,
    make_queue,
    make_step,
)

NOTICE_S = 2.0
LONG_S = 4.0
KEY = TaskKey(0, 0)
ABSURD_S = (float("nan"), float("inf"), -1.0, 1e9)


class DepartureTestCase(SchedulerTestCase):
    policy = LoadPolicy(plans_departures=True)

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler(
            order=PriorityOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=LOST_RUN_S),
            started_at=0.0,
            policy=self.policy,
        )

    def report(self, name: str, cpu: int, *, now: float, is_accepting: bool = True) -> list[Action]:
        """Report so much free room, after all starts so far."""
        free = Resources(cpu=cpu, memory_mb=65536)
        report = CapacityReport(seen=1000, free=free, is_accepting=is_accepting)
        return self.scheduler.update_worker(name, report, now=now)

    def begin(self, job_id: str = "a", *, count: int = 1, now: float = 10.0) -> list[StartTask]:
        job = make_job(job_id, make_step(count, estimate_s=LONG_S))
        return get_starts(self.scheduler.submit(job, now=now))

    def leave(self, name: str = "w1", *, now: float, in_s: float = NOTICE_S) -> None:
        self.scheduler.note_departure(name, in_s, now=now)
        self.report(name, 3000, now=now, is_accepting=False)

    def cut(
        self, start: StartTask, *, left_s: float, now: float, leaves_in_s: float = NOTICE_S
    ) -> list[Action]:
        report = DepartureRisk(left_s=left_s, leaves_in_s=leaves_in_s)
        return self.scheduler.note_departure_risk(
            start.worker, start.job.id, start.task, start.run, report, now=now
        )

    def begin_on_leaving(self, *, count: int = 1, room: int = 4000) -> list[StartTask]:
        """Begin runs on w1, which leaves 0.3 s later, with so much room on w2 from then on."""
        self.add_worker("w1")
        starts = self.begin(count=count)
        self.add_worker("w2")
        self.report("w2", room, now=10.3)
        self.leave(now=10.3)
        return starts


class NoticeTests(DepartureTestCase):
    def test_a_run_that_would_be_lost_is_moved_while_another_worker_has_room(self) -> None:
        (start,) = self.begin_on_leaving()
        actions = self.cut(start, left_s=3.7, now=10.3)
        (stop,) = get_stops(actions)
        self.assertEqual(("w1", "a", KEY, 1), (stop.worker, stop.job_id, stop.task, stop.run))
        (moved,) = [action for action in actions if isinstance(action, RunMoved)]
        self.assertEqual(("leaving", 1000), (moved.cause, moved.cpu))
        self.assertEqual([], get_starts(actions))

    def test_it_runs_again_only_once_its_end_is_confirmed(self) -> None:
        (start,) = self.begin_on_leaving()
        self.cut(start, left_s=3.7, now=10.3)
        self.assertEqual([], self.report("w2", 4000, now=10.32))
        self.assertEqual([], self.scheduler.tick(now=10.33))
        (second,) = get_starts(self.end(start, EndReason.STOPPED, now=10.35))
        self.assertEqual(("w2", 2), (second.worker, second.run))

    def test_without_room_it_is_kept_and_looked_at_again_when_room_comes(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.assertEqual([], self.cut(start, left_s=3.7, now=10.3))
        self.assertEqual([], self.scheduler.tick(now=10.4))
        self.assertEqual(1, len(get_stops(self.report("w2", 1000, now=10.8))))

    def test_room_that_comes_as_the_worker_leaves_gains_nothing(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.assertEqual([], get_stops(self.report("w2", 1000, now=12.29)))

    def test_a_notice_that_leaves_nothing_to_gain_moves_nothing(self) -> None:
        """The job is on time by a move alone, but only just: 0.1 s of 4 s is within all errors."""
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=12.0))
        self.add_worker("w2", now=12.0)
        self.leave(now=12.35, in_s=0.1)
        self.assertEqual([], self.cut(start, left_s=3.65, leaves_in_s=0.1, now=12.35))

    def test_what_waits_goes_first(self) -> None:
        """Room that waiting work can use is not taken by a move."""
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        urgent = make_job("b", make_step(estimate_s=0.1), queue=make_queue(name="urgent"))
        self.scheduler.submit(urgent, now=10.4)
        actions = self.report("w2", 1000, now=10.5)
        self.assertEqual(["b"], [start.job.id for start in get_starts(actions)])
        self.assertEqual([], get_stops(actions))

    def test_room_for_one_moves_one(self) -> None:
        first, second = self.begin_on_leaving(count=2, room=1000)
        self.assertEqual(1, len(get_stops(self.cut(first, left_s=3.7, now=10.3))))
        self.assertEqual([], self.cut(second, left_s=3.7, now=10.3))
        self.assertEqual([], get_stops(self.report("w2", 1000, now=10.32)))

    def test_a_run_with_an_open_chance_to_end_is_left_there(self) -> None:
        """A fifth of the rest is missing, and the worker may stay longer than it says."""
        self.add_worker("w1")
        (start,) = self.begin()
        self.add_worker("w2")
        self.leave(now=12.5, in_s=1.2)
        self.assertEqual([], self.cut(start, left_s=1.5, leaves_in_s=1.2, now=12.5))

    def test_a_worker_that_lingers_keeps_what_it_runs(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", 0.0, now=12.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=12.6)))
        self.assertEqual([], get_stops(self.scheduler.tick(now=13.5)))

    def test_a_job_that_is_late_either_way_is_not_moved(self) -> None:
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=13.0))
        self.add_worker("w2", now=13.0)
        self.leave(now=14.0)
        self.assertEqual([], self.cut(start, left_s=3.0, now=14.0))

    def test_a_job_that_is_late_in_place_of_useless_is_moved(self) -> None:
        job = make_job("a", make_step(estimate_s=LONG_S))
        self.scheduler.submit(job, now=10.0)
        (start,) = get_starts(self.add_worker("w1", now=24.0))
        self.add_worker("w2", now=24.0)
        self.leave(now=24.5)
        self.assertEqual(1, len(get_stops(self.cut(start, left_s=3.5, now=24.5))))

    def test_slack_that_later_steps_leave_counts(self) -> None:
        """Alone the task would be late after a loss; with a step behind it its job is on time."""
        self.add_worker("w1", cpu=2000)
        (alone,) = self.begin()
        steps = (make_step(estimate_s=LONG_S), make_step(estimate_s=LONG_S, after=(0,)))
        (first,) = get_starts(self.scheduler.submit(make_job("b", *steps), now=10.0))
        self.add_worker("w2")
        self.leave(now=11.8, in_s=1.5)
        self.assertEqual([], self.cut(first, left_s=2.2, leaves_in_s=1.5, now=11.8))
        self.assertEqual(1, len(get_stops(self.cut(alone, left_s=2.2, leaves_in_s=1.5, now=11.8))))


class StoppedRunTests(DepartureTestCase):
    def test_a_run_that_ends_before_its_stop_is_done(self) -> None:
        (start,) = self.begin_on_leaving()
        self.cut(start, left_s=3.7, now=10.3)
        actions = self.end(start, EndReason.DONE, now=10.34)
        self.assertEqual(["succeeded"], [f.state.value for f in get_finished(actions)])
        self.assertEqual([], get_starts(actions))

    def test_a_task_is_moved_once(self) -> None:
        (start,) = self.begin_on_leaving()
        self.cut(start, left_s=3.7, now=10.3)
        (second,) = get_starts(self.end(start, EndReason.STOPPED, now=10.35))
        self.add_worker("w3")
        self.leave("w2", now=10.6)
        self.assertEqual([], self.cut(second, left_s=3.7, now=10.6))
        self.assertEqual([], get_stops(self.report("w3", 4000, now=10.7)))

    def test_a_word_on_an_earlier_run_moves_nothing(self) -> None:
        (start,) = self.begin_on_leaving()
        self.assertEqual([], self.cut(replace(start, run=7), left_s=3.7, now=10.3))
        self.assertEqual([], self.cut(replace(start, worker="w2"), left_s=3.7, now=10.3))

    def test_an_agent_that_dies_after_its_word_leaves_no_second_run_behind(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.lose_worker("w1", now=10.5)
        self.assertEqual([], self.report("w2", 4000, now=10.6))
        self.assertEqual([], self.scheduler.tick(now=10.5 + LOST_RUN_S - 0.1))
        self.assertEqual(1, len(get_starts(self.scheduler.tick(now=10.5 + LOST_RUN_S))))

    def test_an_agent_that_dies_before_the_end_is_confirmed_is_waited_out(self) -> None:
        (start,) = self.begin_on_leaving()
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.lose_worker("w1", now=10.32)
        self.assertEqual([], self.scheduler.tick(now=10.32 + LOST_RUN_S - 0.1))
        self.assertEqual(1, len(get_starts(self.scheduler.tick(now=10.32 + LOST_RUN_S))))

    def test_a_cancelled_job_is_not_moved(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.cancel("a")
        self.assertEqual([], self.report("w2", 4000, now=10.4))


class WordTests(DepartureTestCase):
    def test_a_notice_that_is_taken_back_moves_nothing(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", None, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))
        self.assertIsNone(self.scheduler.workers["w1"].leaves_at)

    def test_a_run_that_ends_in_time_after_all_is_kept(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.cut(start, left_s=0.4, leaves_in_s=1.8, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))

    def test_a_notice_that_becomes_longer_counts(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.cut(start, left_s=3.7, now=10.3)
        self.scheduler.note_departure("w1", 3.6, now=10.5)
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.6)))

    def test_a_worker_that_takes_starts_all_the_same_is_not_elsewhere(self) -> None:
        (start,) = self.begin_on_leaving(room=0)
        self.report("w1", 3000, now=10.3)
        self.assertEqual([], self.cut(start, left_s=3.7, now=10.3))

    def test_absurd_words_change_nothing(self) -> None:
        (start,) = self.begin_on_leaving()
        leaves_at = self.scheduler.workers["w1"].leaves_at
        for told_s in ABSURD_S:
            self.assertEqual([], self.cut(start, left_s=told_s, now=10.3))
            self.assertEqual([], self.cut(start, left_s=3.7, leaves_in_s=told_s, now=10.3))
            self.scheduler.note_departure("w1", told_s, now=10.3)
            self.assertEqual(leaves_at, self.scheduler.workers["w1"].leaves_at)
        self.assertEqual([], get_stops(self.scheduler.tick(now=10.4)))

    def test_words_on_unknown_workers_and_runs_change_nothing(self) -> None:
        (start,) = self.begin_on_leaving()
        self.scheduler.note_departure("w9", NOTICE_S, now=10.3)
        for foreign in (replace(start, worker="w9"), replace(start, task=TaskKey(3, 9))):
            self.assertEqual([], self.cut(foreign, left_s=3.7, now=10.3))

    def test_a_word_on_a_run_of_a_worker_that_stays_changes_nothing(self) -> None:
        self.add_worker("w1")
        (start,) = self.begin()
        self.add_worker("w2")
        self.assertEqual([], self.cut(start, left_s=3.7, now=10.3))


class NotAskedTests(DepartureTestCase):
    policy = LoadPolicy()

    def test_nothing_is_moved_where_it_is_not_asked_for(self) -> None:
        (start,) = self.begin_on_leaving()
        self.assertEqual([], self.cut(start, left_s=3.7, now=10.3))
        self.assertEqual([], get_stops(self.report("w2", 4000, now=10.4)))
