"""Where a job is at its entry, and when its id is free for another submission."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast import clock
from dalemast.core.ownership import Granted, Held
from dalemast.core.scheduling import (
    EndReason,
    FastestPlacement,
    LeastSlackOrder,
    RoomReport,
    Scheduler,
    SchedulerLimits,
    StartTask,
    StopTask,
    WorkerView,
)
from dalemast.core.workloads import Resources, TaskKey
from dalemast.fleet.base import JobDropped, JobTurnedAway
from dalemast.fleet.entry.desk import JobDesk
from dalemast.fleet.frames import RunEnded, RunRow
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics
from tests.base import AsyncTestCase, wait_until
from tests.core.scheduling.base import make_job, make_step

JOB = "00000000000000dd"
TIMES = FleetTimes()
KEY = TaskKey(0, 0)
ROUNDING_S = 1e-6
"""More than what a sum and a difference of two times lose between them."""


class FakeClaims:
    """Grants claims, or keeps each caller waiting for its answer."""

    def __init__(self) -> None:
        self.is_held_up = False
        self.result: Granted | Held = Granted()
        self.waiting: list[asyncio.Future[Granted | Held]] = []
        self.log: list[str] = []

    async def claim(self, job_id: str) -> Granted | Held:
        if self.is_held_up:
            self.waiting.append(asyncio.get_running_loop().create_future())
            return await self.waiting[-1]
        self._note(self.result)
        return self.result

    def release(self, job_id: str) -> None:
        self.log.append("released")

    def answer(self, number: int, result: Granted | Held) -> None:
        self._note(result)
        self.waiting[number].set_result(result)

    def _note(self, result: Granted | Held) -> None:
        self.log.append("granted" if isinstance(result, Granted) else "held")


class DeskTestCase(AsyncTestCase):
    """A desk whose agents and claims are played by hand."""

    def make_desk(self, *workers: str) -> JobDesk:
        self.now = clock.monotonic()
        self.starts: list[StartTask] = []
        self.stops: list[StopTask] = []
        self.claims = FakeClaims()
        self.scheduler = Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=TIMES.lost_run_s),
            started_at=self.now,
        )
        desk = JobDesk(
            scheduler=self.scheduler,
            times=TIMES,
            metrics=Metrics(),
            send=self._send,
            ask=lambda asked: None,
            check_pause=self._check_pause,
        )
        self.desk = desk
        self.paused_s = 0.0
        desk.set_claims(self.claims)
        for worker in workers:
            desk.apply(self.add_worker(worker))
        return desk

    def add_worker(self, name: str) -> list[object]:
        capacity = Resources(cpu=4000, memory_mb=65536)
        view = WorkerView(
            name=name, service="floor", capacity=capacity, labels=frozenset(), is_near=True
        )
        self.scheduler.add_worker(view, now=self.now)
        report = RoomReport(seen=0, free=capacity, is_accepting=True)
        return self.scheduler.update_worker(name, report, now=self.now)

    def end_run(self, desk: JobDesk, *, run: int, worker: str, key: TaskKey = KEY) -> None:
        """Tell the desk of a run's end, as the links with agents do."""
        row = RunRow(job=JOB, step=key.step, position=key.position, run=run)
        news = RunEnded(run=row, reason=EndReason.STOPPED, run_s=0.0)
        desk.note_end(news, worker)

    async def submit(self, desk: JobDesk, *, count: int = 1) -> asyncio.Task[object]:
        """Submit a job and return once it is placed."""
        begun = len(self.starts)
        job = asyncio.ensure_future(desk.run(make_job(JOB, make_step(count))))
        await wait_until(lambda: len(self.starts) == begun + count, "the starts")
        return job

    def _check_pause(self) -> bool:
        """Let the desk recover from a standstill, as its process does."""
        if not self.paused_s:
            return False
        self.desk.abandon_begun(self.now + self.paused_s)
        self.paused_s = 0.0
        return True

    def _send(self, starts: list[StartTask], stops: list[StopTask]) -> None:
        self.starts += starts
        self.stops += stops


class EndingTests(DeskTestCase):
    """An id is free once each run that was stopped has ended.

    The stops of a job that was given up were counted, and each end of a run of that id took one
    off. An agent that was out of reach for a while may tell of the end of an older run, while a
    newer one is still being stopped elsewhere: the id was freed, and the job began at another entry
    while it ran here.
    """

    def test_the_end_of_another_run_frees_nothing(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            job = await self.submit(desk)
            desk.apply(self.scheduler.lose_worker("w1", now=self.now))
            desk.apply(self.add_worker("w2"))
            later = self.now + TIMES.lost_run_s
            desk.tick(later)
            self.assertEqual([("w1", 1), ("w2", 2)], [(s.worker, s.run) for s in self.starts])
            desk.leave(JOB)
            self.end_run(desk, run=1, worker="w1")
            self.assertTrue(desk.has_open(JOB))
            self.assertEqual(["granted"], self.claims.log)
            self.end_run(desk, run=2, worker="w2")
            self.assertFalse(desk.has_open(JOB))
            self.assertEqual(["granted", "released"], self.claims.log)
            self.assertIsInstance(await job, JobDropped)

        self.run_async(scenario())

    def test_an_end_that_is_said_twice_frees_nothing(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            job = await self.submit(desk, count=2)
            desk.leave(JOB)
            for _ in range(2):
                self.end_run(desk, run=1, worker="w1")
            self.assertTrue(desk.has_open(JOB))
            self.end_run(desk, run=1, worker="w1", key=TaskKey(0, 1))
            self.assertFalse(desk.has_open(JOB))
            await job

        self.run_async(scenario())

    def test_the_same_run_on_another_worker_frees_nothing(self) -> None:
        """Run numbers begin again with a new submission of an id."""

        async def scenario() -> None:
            desk = self.make_desk("w1")
            job = await self.submit(desk)
            desk.leave(JOB)
            self.end_run(desk, run=1, worker="w2")
            self.assertTrue(desk.has_open(JOB))
            await job

        self.run_async(scenario())

    def test_a_run_that_is_found_again_is_waited_for_anew(self) -> None:
        """An agent that is back lists a run of the job that was given up, so it is not over.

        The owner's words to that agent have prolonged it meanwhile, so its time counts from the
        stop that is said now.
        """

        async def scenario() -> None:
            desk = self.make_desk("w1")
            job = await self.submit(desk)
            dropped_at = clock.monotonic()
            desk.leave(JOB)
            found_at = dropped_at + 0.9 * TIMES.lost_run_s
            with mock.patch("dalemast.clock.monotonic", return_value=found_at):
                desk.apply(self.scheduler.reconcile("w1", [(JOB, KEY, 1)], now=found_at))
            self.assertEqual([1, 1], [stop.run for stop in self.stops])
            desk.tick(dropped_at + TIMES.lost_run_s + 0.1)
            self.assertTrue(desk.has_open(JOB))
            desk.tick(found_at + TIMES.lost_run_s + 0.1)
            self.assertFalse(desk.has_open(JOB))
            await job

        self.run_async(scenario())


class NumberTests(DeskTestCase):
    """Runs of an id are told apart by their numbers, also those of two submissions.

    A job was given up, its id was freed by time, and it came again to the same entry, whose first
    run got the number 1 on the same worker. The end of the first submission's run 1 then arrived,
    late, and was taken for that of the second: its task began elsewhere while it ran.
    """

    def test_a_late_end_of_an_earlier_submission_ends_no_run(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            first = await self.submit(desk)
            desk.leave(JOB)
            await first
            desk.tick(clock.monotonic() + TIMES.lost_run_s)
            second = await self.submit(desk)
            old, new = self.starts
            desk.apply(
                self.scheduler.end_run(
                    "w1", JOB, KEY, old.run, EndReason.NO_ROOM, run_s=0.0, now=clock.monotonic()
                )
            )
            self.assertEqual([old, new], self.starts)
            desk.leave(JOB)
            await second

        self.run_async(scenario())


class ClaimTests(DeskTestCase):
    """A claim belongs to one submission, whenever its answer comes.

    A caller hung up while its claim was under way, and the job came again to the same entry. The
    answer to the first claim then found another submission in its place and released the id, which
    the second had claimed as well: another entry was granted it while the job ran here.
    """

    def test_a_claim_that_came_too_late_does_not_release_the_next_ones(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            self.claims.is_held_up = True
            first = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.waiting) == 1, "the first claim")
            desk.leave(JOB)
            second = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.waiting) == 2, "the second claim")
            self.claims.answer(0, Granted())
            self.claims.answer(1, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            self.assertIsInstance(await first, JobDropped)
            self.assertEqual(["granted", "granted"], self.claims.log)
            desk.leave(JOB)
            await second

        self.run_async(scenario())

    def test_what_was_granted_to_a_caller_that_hung_up_is_released(self) -> None:
        """Some entries may have granted a claim that another one refused."""

        async def scenario() -> None:
            desk = self.make_desk("w1")
            self.claims.is_held_up = True
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.waiting) == 1, "the claim")
            desk.leave(JOB)
            self.claims.answer(0, Held(owner="o2", free_at=None))
            await job
            self.assertEqual(["held", "released"], self.claims.log)

        self.run_async(scenario())

    def test_an_id_counts_as_claimed_from_its_grant_to_its_release(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            self.claims.is_held_up = True
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.waiting) == 1, "the claim")
            self.assertEqual([], desk.get_claimed_ids())
            self.assertTrue(desk.has_open(JOB))
            self.claims.answer(0, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            self.assertEqual(([JOB], True), (desk.get_claimed_ids(), desk.is_live(JOB)))
            desk.leave(JOB)
            self.assertEqual(([JOB], False), (desk.get_claimed_ids(), desk.is_live(JOB)))
            self.end_run(desk, run=1, worker="w1")
            self.assertEqual(([], False), (desk.get_claimed_ids(), desk.has_open(JOB)))
            await job

        self.run_async(scenario())


class OldGrantTests(DeskTestCase):
    """A grant may be old when it is read: it waits in the socket while its entry stands still.

    The home counts the entry as lost meanwhile, and the id may have been granted to another one.
    """

    def test_an_id_is_claimed_anew_if_its_entry_stood_still_before_the_answer(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk("w1")
            self.claims.is_held_up = True
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.waiting) == 1, "the claim")
            self.claims.answer(0, Granted())
            desk.abandon_begun(self.now + TIMES.lost_run_s)
            await wait_until(lambda: len(self.claims.waiting) == 2, "another claim")
            self.assertEqual([], self.starts)
            self.claims.answer(1, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            desk.leave(JOB)
            await job

        self.run_async(scenario())


class StandstillTests(DeskTestCase):
    """A job that waits while its entry stands still may have been claimed elsewhere meanwhile.

    Its claim lapses at its home once the entry was out of reach for long enough. Only what had
    begun was given up afterwards: a job that had waited for room began then, beside the run of
    the entry that the id had been granted to.
    """

    def test_what_waited_is_turned_away_if_its_claim_may_have_lapsed(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk()
            desk.tick(self.now)
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to wait")
            desk.abandon_begun(self.now + TIMES.lost_run_s + ROUNDING_S)
            self.assertIsInstance(await asyncio.wait_for(job, 1.0), JobTurnedAway)
            self.assertEqual({}, self.scheduler.open_jobs)
            self.assertEqual(["granted", "released"], self.claims.log)

        self.run_async(scenario())

    def test_what_waited_goes_on_waiting_if_its_claim_can_not_have_lapsed(self) -> None:
        async def scenario() -> None:
            desk = self.make_desk()
            desk.tick(self.now)
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to wait")
            desk.abandon_begun(self.now + TIMES.link_timeout_s)
            self.assertEqual([JOB], list(self.scheduler.open_jobs))
            desk.leave(JOB)
            await job

        self.run_async(scenario())

    def test_nothing_starts_between_a_standstill_and_what_it_gives_up(self) -> None:
        """Messages that waited in the sockets are acted on before the process knows of its pause.

        An agent's report of free room let a waiting job begin, whose claim had lapsed meanwhile.
        """

        async def scenario() -> None:
            desk = self.make_desk()
            desk.tick(self.now)
            job = asyncio.ensure_future(desk.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to wait")
            self.paused_s = 2 * TIMES.lost_run_s
            desk.apply(self.add_worker("w1"))
            self.assertEqual([], self.starts)
            self.assertEqual({}, self.scheduler.open_jobs)
            await asyncio.wait_for(job, 1.0)

        self.run_async(scenario())
