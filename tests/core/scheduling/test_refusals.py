"""Refusals: what is refused, when, and what is said of the workers that were left out."""

from __future__ import annotations

from dalemast.core.scheduling import CapacityReport, EndReason, LoadPolicy, WorkerView
from dalemast.core.workloads import Resources
from tests.core.scheduling.base import (
    SchedulerTestCase,
    get_refused,
    get_starts,
    make_job,
    make_queue,
    make_step,
)

NEEDED = Resources(cpu=5300, memory_mb=64)
ROOM = Resources(cpu=28_150, memory_mb=65536)
WORKERS = 59


class RefusedBesideRoomTestCase(SchedulerTestCase):
    """A data centre's owner has just started, and distrusts the worker with room as slow.

    The others are full with what owners that were there before have begun.
    """

    def setUp(self) -> None:
        super().setUp()
        for number in range(WORKERS - 1):
            self.add_worker(f"full-{number}", cpu=64_000, labels=("gpu",), now=9.0)
            self.report(f"full-{number}", free=3000)
        self.add_roomy()

    def add_roomy(self, **fields: object) -> WorkerView:
        """Add the worker that shows room, known to take three times as long as the others."""
        values = {
            "labels": frozenset(),
            "is_same_data_centre": True,
            "data_centre": "north",
            **fields,
        }
        view = WorkerView(
            name="roomy",
            service="floor",
            capacity=Resources(cpu=64_000, memory_mb=65536),
            **values,
        )
        view.learn_slowness(3.0, now=10.0, weight=1.0)
        self.scheduler.add_worker(view, now=9.0)
        self.report("roomy", free=ROOM.cpu)
        return view

    def report(
        self, name: str, *, free: int, is_accepting: bool = True, now: float = 10.0
    ) -> list[object]:
        room = Resources(cpu=free, memory_mb=65536)
        report = CapacityReport(seen=0, free=room, is_accepting=is_accepting)
        return self.scheduler.update_worker(name, report, now=now)

    def submit(self, job_id: str = "a", **fields: object) -> list[object]:
        step = make_step(resources=NEEDED, **fields)
        return self.scheduler.submit(make_job(job_id, step), now=10.0)


class LeftOutTests(RefusedBesideRoomTestCase):
    """The line of a refusal names the rule that left out the worker with room."""

    def refuse(self, now: float = 10.49) -> dict[str, int]:
        (refused,) = get_refused(self.scheduler.tick(now=now))
        return refused.left_out.get_counts()

    def test_distrust(self) -> None:
        self.assertEqual([], get_starts(self.submit()))
        self.assertEqual({"no_room": WORKERS - 1, "too_slow": 1}, self.refuse())

    def test_a_worker_that_accepts_nothing(self) -> None:
        self.report("roomy", free=ROOM.cpu, is_accepting=False)
        self.submit()
        self.assertEqual({"no_room": WORKERS - 1, "not_accepting": 1}, self.refuse())

    def test_an_evacuation(self) -> None:
        self.scheduler.set_evacuated(frozenset({"north"}), now=10.0)
        self.submit()
        self.assertEqual({"no_room": WORKERS - 1, "evacuated": 1}, self.refuse())

    def test_a_label(self) -> None:
        self.submit(label="gpu")
        self.assertEqual({"no_room": WORKERS - 1, "label": 1}, self.refuse())

    def test_a_start_that_was_not_taken(self) -> None:
        self.add_roomy().learn_slowness(1.0, now=10.0, weight=1.0)
        (start,) = get_starts(self.submit())
        self.end(start, EndReason.NOT_TAKEN, now=10.1)
        self.report("roomy", free=ROOM.cpu, now=10.2)
        self.assertEqual({"no_room": WORKERS - 1, "avoided": 1}, self.refuse())

    def test_all_full(self) -> None:
        self.report("roomy", free=0)
        self.submit()
        self.assertEqual({"no_room": WORKERS}, self.refuse())

    def test_other_services_do_not_count(self) -> None:
        self.add_worker("other", cpu=64_000, service="maps")
        self.submit()
        self.assertEqual(WORKERS, sum(self.refuse().values()))


class LastLookTests(RefusedBesideRoomTestCase):
    """Nothing is refused while a worker in reach has room and could still serve it in time."""

    policy = LoadPolicy(forecasts=True)

    def test_room_on_a_distrusted_worker_is_used_rather_than_refused(self) -> None:
        self.assertEqual([], get_starts(self.submit()))
        actions = self.scheduler.tick(now=10.2)
        self.assertEqual([], get_refused(actions))
        (start,) = get_starts(actions)
        self.assertEqual(("roomy", "a"), (start.worker, start.job.id))

    def test_a_worker_on_which_it_would_be_of_no_use_is_none(self) -> None:
        self.scheduler.workers["roomy"].learn_slowness(9.0, now=10.2, weight=1.0)
        self.submit()
        actions = self.scheduler.tick(now=10.2)
        self.assertEqual([], get_starts(actions))
        (refused,) = get_refused(actions)
        self.assertEqual(1, refused.left_out.too_slow)

    def test_the_time_that_was_waited_counts(self) -> None:
        """It takes 0.3 s there and is of use for 0.66 s."""
        self.submit()
        self.assertEqual([], get_starts(self.scheduler.tick(now=10.5)))

    def test_room_that_does_not_suit_is_none(self) -> None:
        self.submit(label="gpu")
        (refused,) = get_refused(self.scheduler.tick(now=10.2))
        self.assertEqual({"no_room": WORKERS - 1, "label": 1}, refused.left_out.get_counts())

    def test_a_worker_that_leaves_gets_nothing(self) -> None:
        self.report("roomy", free=ROOM.cpu, is_accepting=False)
        self.submit()
        self.assertEqual(1, len(get_refused(self.scheduler.tick(now=10.2))))

    def test_an_evacuated_one_gets_nothing(self) -> None:
        self.scheduler.set_evacuated(frozenset({"north"}), now=10.0)
        self.submit()
        self.assertEqual(1, len(get_refused(self.scheduler.tick(now=10.2))))

    def test_the_most_urgent_get_the_room(self) -> None:
        """There is room for five of them."""
        for number in range(8):
            queue = make_queue(priority=number % 2)
            job = make_job(f"j{number}", make_step(resources=NEEDED), queue=queue)
            self.scheduler.submit(job, now=10.0)
        actions = self.scheduler.tick(now=10.2)
        started = [start.job.queue.priority for start in get_starts(actions)]
        self.assertEqual([0, 0, 0, 0, 1], started)
        self.assertEqual(3, len(get_refused(actions)))

    def test_a_start_that_was_not_taken_is_followed_by_another_try_or_a_refusal(self) -> None:
        """Its agent has the last word, and "not run" stays true."""
        self.submit()
        (start,) = get_starts(self.scheduler.tick(now=10.2))
        self.end(start, EndReason.NOT_TAKEN, now=10.21)
        (refused,) = get_refused(self.scheduler.tick(now=10.22))
        self.assertEqual("a", refused.job.id)

    def test_a_worker_that_was_avoided_is_better_than_none(self) -> None:
        self.submit()
        (start,) = get_starts(self.scheduler.tick(now=10.2))
        self.end(start, EndReason.NOT_TAKEN, now=10.21)
        self.report("roomy", free=ROOM.cpu, now=10.22)
        (start,) = get_starts(self.scheduler.tick(now=10.23))
        self.assertEqual("roomy", start.worker)


class LastLookNotAskedForTests(RefusedBesideRoomTestCase):
    def test_without_the_setting_the_job_is_refused_as_before(self) -> None:
        self.submit()
        actions = self.scheduler.tick(now=10.2)
        self.assertEqual([], get_starts(actions))
        self.assertEqual(1, len(get_refused(actions)))
