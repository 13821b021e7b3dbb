"""Tests of the tracking of jobs at an entry, and of the release of their ids."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast import clock
from dalemast.core.ownership import Cancelled, Granted, Held
from dalemast.core.scheduling import (
    CapacityReport,
    EndReason,
    FastestPlacement,
    LeastSlackOrder,
    RunPresumedOver,
    Scheduler,
    SchedulerLimits,
    StartTask,
    StopTask,
    WorkerView,
)
from dalemast.core.workloads import Resources, TaskKey
from dalemast.fleet.base import JobCancelled, JobDropped, JobRejected
from dalemast.fleet.entry.claim_retries import ClaimResult
from dalemast.fleet.entry.job_tracker import JobTracker
from dalemast.fleet.frames import RunEnded, RunRow
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics
from tests.base import AsyncTestCase, wait_until
from tests.core.scheduling.base import make_job, make_step

JOB = "00000000000000dd"
TIMES = FleetTimes()
KEY = TaskKey(0, 0)
ROUNDING_S = 1e-6
"""Tolerance for floating-point rounding of times."""


class FakeClaims:
    """Grants claims at once, or delays each until ``respond`` is called."""

    def __init__(self) -> None:
        self.is_delayed = False
        self.result: ClaimResult = Granted()
        self.pending: list[asyncio.Future[ClaimResult]] = []
        self.cancelled: set[tuple[str, str]] = set()
        """Cancelled ids, with the names of their queues."""
        self.log: list[str] = []

    async def claim(self, job_id: str, *, queue: str) -> ClaimResult:
        if self.is_delayed:
            self.pending.append(asyncio.get_running_loop().create_future())
            return await self.pending[-1]
        self._record(self.result)
        return self.result

    def is_cancelled(self, job_id: str, *, queue: str) -> bool:
        return (queue, job_id) in self.cancelled

    def release(self, job_id: str) -> None:
        self.log.append("released")

    def respond(self, number: int, result: ClaimResult) -> None:
        self._record(result)
        self.pending[number].set_result(result)

    def _record(self, result: ClaimResult) -> None:
        self.log.append("granted" if isinstance(result, Granted) else "held")


class JobTrackerTestCase(AsyncTestCase):
    """Builds a job tracker with simulated agents and claims."""

    def make_tracker(self, *workers: str) -> JobTracker:
        self.now = clock.monotonic()
        self.starts: list[StartTask] = []
        self.stops: list[StopTask] = []
        self.claims = FakeClaims()
        self.presumed: list[tuple[str, int, tuple[str, ...]]] = []
        """The runs that were presumed over, with the log of the claims at that time."""
        self.scheduler = Scheduler(
            order=LeastSlackOrder(),
            placement=FastestPlacement(remote_factor=1.5),
            limits=SchedulerLimits(lost_run_s=TIMES.lost_run_s),
            started_at=self.now,
        )
        tracker = JobTracker(
            scheduler=self.scheduler,
            times=TIMES,
            metrics=Metrics(),
            send=self._send,
            request_capacity=lambda request: None,
            check_pause=self._check_pause,
            report_unobserved_end=self._record_unobserved_end,
        )
        self.tracker = tracker
        self.paused_s = 0.0
        tracker.set_claims(self.claims)
        for worker in workers:
            tracker.apply(self.add_worker(worker))
        return tracker

    def add_worker(self, name: str) -> list[object]:
        capacity = Resources(cpu=4000, memory_mb=65536)
        view = WorkerView(
            name=name,
            service="floor",
            capacity=capacity,
            labels=frozenset(),
            is_same_data_centre=True,
        )
        self.scheduler.add_worker(view, now=self.now)
        report = CapacityReport(seen=0, free=capacity, is_accepting=True)
        return self.scheduler.update_worker(name, report, now=self.now)

    def end_run(self, tracker: JobTracker, *, run: int, worker: str, key: TaskKey = KEY) -> None:
        """Report the end of a run to the tracker, as the links with agents do."""
        row = RunRow(job=JOB, step=key.step, position=key.position, run=run)
        message = RunEnded(run=row, reason=EndReason.STOPPED, run_s=0.0)
        tracker.record_run_end(message, worker)

    async def submit(self, tracker: JobTracker, *, count: int = 1) -> asyncio.Task[object]:
        """Submit a job and return once it is placed."""
        started_before = len(self.starts)
        job = asyncio.ensure_future(tracker.run(make_job(JOB, make_step(count))))
        await wait_until(lambda: len(self.starts) == started_before + count, "the starts")
        return job

    def _record_unobserved_end(self, over: RunPresumedOver) -> None:
        self.presumed.append((over.worker, over.run, tuple(self.claims.log)))

    def _check_pause(self) -> bool:
        """Recover from a process pause if ``paused_s`` is set, as the entry process does."""
        if not self.paused_s:
            return False
        self.tracker.abandon_started(self.now + self.paused_s)
        self.paused_s = 0.0
        return True

    def _send(self, starts: list[StartTask], stops: list[StopTask]) -> None:
        self.starts += starts
        self.stops += stops


class UnfinishedRunsTests(JobTrackerTestCase):
    """An id is released only once every stopped run has ended.

    Guards against a late end of an older run that releases the id while a newer run goes on.
    """

    def test_the_end_of_another_run_does_not_release_the_id(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            tracker.apply(self.scheduler.lose_worker("w1", now=self.now))
            tracker.apply(self.add_worker("w2"))
            later = self.now + TIMES.lost_run_s
            tracker.tick(later)
            self.assertEqual([("w1", 1), ("w2", 2)], [(s.worker, s.run) for s in self.starts])
            tracker.leave(JOB)
            self.end_run(tracker, run=1, worker="w1")
            self.assertTrue(tracker.has_open(JOB))
            self.assertEqual(["granted"], self.claims.log)
            self.end_run(tracker, run=2, worker="w2")
            self.assertFalse(tracker.has_open(JOB))
            self.assertEqual(["granted", "released"], self.claims.log)
            self.assertIsInstance(await job, JobDropped)

        self.run_async(scenario())

    def test_peers_know_of_a_run_without_a_reported_end_before_its_id_is_released(self) -> None:
        """Its worker may have crashed, and the next owner would not count the run."""

        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            tracker.leave(JOB)
            self.assertEqual([], self.presumed)
            tracker.tick(self.now + 2 * TIMES.lost_run_s)
            self.assertEqual([("w1", 1, ("granted",))], self.presumed)
            self.assertEqual(["granted", "released"], self.claims.log)
            self.assertTrue(self.scheduler.is_suspect(JOB, KEY))
            await job

        self.run_async(scenario())

    def test_a_run_with_a_reported_end_is_not_presumed_over(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            tracker.leave(JOB)
            self.end_run(tracker, run=1, worker="w1")
            tracker.tick(self.now + 2 * TIMES.lost_run_s)
            self.assertEqual([], self.presumed)
            self.assertFalse(self.scheduler.is_suspect(JOB, KEY))
            await job

        self.run_async(scenario())

    def test_a_duplicate_end_does_not_release_the_id(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker, count=2)
            tracker.leave(JOB)
            for _ in range(2):
                self.end_run(tracker, run=1, worker="w1")
            self.assertTrue(tracker.has_open(JOB))
            self.end_run(tracker, run=1, worker="w1", key=TaskKey(0, 1))
            self.assertFalse(tracker.has_open(JOB))
            await job

        self.run_async(scenario())

    def test_the_end_of_the_same_run_on_another_worker_does_not_release_the_id(self) -> None:
        """Run numbers restart with each submission of an id."""

        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            tracker.leave(JOB)
            self.end_run(tracker, run=1, worker="w2")
            self.assertTrue(tracker.has_open(JOB))
            await job

        self.run_async(scenario())

    def test_stopping_a_run_again_restarts_its_wait(self) -> None:
        """Guards against a release while a run that its agent lists again still has a lease."""

        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            dropped_at = clock.monotonic()
            tracker.leave(JOB)
            found_at = dropped_at + 0.9 * TIMES.lost_run_s
            with mock.patch("dalemast.clock.monotonic", return_value=found_at):
                tracker.apply(self.scheduler.reconcile("w1", [(JOB, KEY, 1)], now=found_at))
            self.assertEqual([1, 1], [stop.run for stop in self.stops])
            tracker.tick(dropped_at + TIMES.lost_run_s + 0.1)
            self.assertTrue(tracker.has_open(JOB))
            tracker.tick(found_at + TIMES.lost_run_s + 0.1)
            self.assertFalse(tracker.has_open(JOB))
            await job

        self.run_async(scenario())


class RunNumberTests(JobTrackerTestCase):
    """Runs of two submissions of an id have different numbers.

    Guards against a late end of the first submission's run that ends a run of the second.
    """

    def test_a_late_end_from_an_earlier_submission_is_ignored(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            first = await self.submit(tracker)
            tracker.leave(JOB)
            await first
            tracker.tick(clock.monotonic() + TIMES.lost_run_s)
            second = await self.submit(tracker)
            old, new = self.starts
            tracker.apply(
                self.scheduler.end_run(
                    "w1", JOB, KEY, old.run, EndReason.NO_ROOM, run_s=0.0, now=clock.monotonic()
                )
            )
            self.assertEqual([old, new], self.starts)
            tracker.leave(JOB)
            await second

        self.run_async(scenario())


class ClaimTests(JobTrackerTestCase):
    """A claim belongs to one submission, whenever its response arrives.

    Guards against a late response that releases an id which a newer submission has claimed.
    """

    def test_a_late_grant_does_not_release_the_claim_of_the_next_submission(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.is_delayed = True
            first = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 1, "the first claim")
            tracker.leave(JOB)
            second = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 2, "the second claim")
            self.claims.respond(0, Granted())
            self.claims.respond(1, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            self.assertIsInstance(await first, JobDropped)
            self.assertEqual(["granted", "granted"], self.claims.log)
            tracker.leave(JOB)
            await second

        self.run_async(scenario())

    def test_a_claim_is_released_after_its_caller_has_disconnected(self) -> None:
        """Some entries may have granted a claim that another one refused."""

        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.is_delayed = True
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 1, "the claim")
            tracker.leave(JOB)
            self.claims.respond(0, Held(owner="o2", free_at=None))
            await job
            self.assertEqual(["held", "released"], self.claims.log)

        self.run_async(scenario())

    def test_an_id_counts_as_claimed_from_its_grant_to_its_release(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.is_delayed = True
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 1, "the claim")
            self.assertEqual([], tracker.get_claimed_ids())
            self.assertTrue(tracker.has_open(JOB))
            self.claims.respond(0, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            self.assertEqual(([JOB], True), (tracker.get_claimed_ids(), tracker.is_active(JOB)))
            tracker.leave(JOB)
            self.assertEqual(([JOB], False), (tracker.get_claimed_ids(), tracker.is_active(JOB)))
            self.end_run(tracker, run=1, worker="w1")
            self.assertEqual(([], False), (tracker.get_claimed_ids(), tracker.has_open(JOB)))
            await job

        self.run_async(scenario())


class OutdatedGrantTests(JobTrackerTestCase):
    """A grant that is read after a process pause may be outdated.

    Guards against using a grant whose id has been granted to another entry in the meantime.
    """

    def test_an_id_is_claimed_again_after_a_pause_during_its_claim(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.is_delayed = True
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 1, "the claim")
            self.claims.respond(0, Granted())
            tracker.abandon_started(self.now + TIMES.lost_run_s)
            await wait_until(lambda: len(self.claims.pending) == 2, "another claim")
            self.assertEqual([], self.starts)
            self.claims.respond(1, Granted())
            await wait_until(lambda: len(self.starts) == 1, "the start")
            tracker.leave(JOB)
            await job

        self.run_async(scenario())


class ProcessPauseTests(JobTrackerTestCase):
    """A queued job may have been claimed by another entry during a process pause.

    Guards against starting a job whose claim has lapsed, beside the run of its new owner.
    """

    def test_a_queued_job_is_rejected_if_its_claim_may_have_lapsed(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker()
            tracker.tick(self.now)
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to be queued")
            tracker.abandon_started(self.now + TIMES.lost_run_s + ROUNDING_S)
            self.assertIsInstance(await asyncio.wait_for(job, 1.0), JobRejected)
            self.assertEqual({}, self.scheduler.open_jobs)
            self.assertEqual(["granted", "released"], self.claims.log)

        self.run_async(scenario())

    def test_a_queued_job_stays_queued_if_its_claim_cannot_have_lapsed(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker()
            tracker.tick(self.now)
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to be queued")
            tracker.abandon_started(self.now + TIMES.link_timeout_s)
            self.assertEqual([JOB], list(self.scheduler.open_jobs))
            tracker.leave(JOB)
            await job

        self.run_async(scenario())

    def test_nothing_starts_between_a_pause_and_the_recovery_from_it(self) -> None:
        """Guards against a start that is triggered by a message received before the recovery."""

        async def scenario() -> None:
            tracker = self.make_tracker()
            tracker.tick(self.now)
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to be queued")
            self.paused_s = 2 * TIMES.lost_run_s
            tracker.apply(self.add_worker("w1"))
            self.assertEqual([], self.starts)
            self.assertEqual({}, self.scheduler.open_jobs)
            await asyncio.wait_for(job, 1.0)

        self.run_async(scenario())


class CancelledJobTests(JobTrackerTestCase):
    """A cancelled job is stopped wherever it stands, and its submissions are answered as that.

    Guards against a caller that resubmits a job which it has cancelled, as it was given up.
    """

    QUEUE = make_job(JOB).queue.name

    def test_a_started_job_is_stopped_and_its_id_kept_until_its_runs_have_ended(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker, count=2)
            self.assertTrue(tracker.cancel_job(JOB, queue=self.QUEUE))
            self.assertEqual(JobCancelled(), await job)
            self.assertEqual(2, len(self.stops))
            self.assertTrue(tracker.has_open(JOB))
            self.assertEqual(["granted"], self.claims.log)

        self.run_async(scenario())

    def test_a_job_whose_id_is_being_claimed_never_starts(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.is_delayed = True
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: len(self.claims.pending) == 1, "the claim")
            self.assertTrue(tracker.cancel_job(JOB, queue=self.QUEUE))
            self.claims.respond(0, Granted())
            self.assertEqual(JobCancelled(), await job)
            self.assertEqual(([], ["granted", "released"]), (self.starts, self.claims.log))

        self.run_async(scenario())

    def test_a_job_that_waits_for_a_worker_never_starts(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker()
            job = asyncio.ensure_future(tracker.run(make_job(JOB)))
            await wait_until(lambda: bool(self.scheduler.open_jobs), "the job to be queued")
            self.assertTrue(tracker.cancel_job(JOB, queue=self.QUEUE))
            tracker.apply(self.add_worker("w1"))
            self.assertEqual((JobCancelled(), []), (await job, self.starts))

        self.run_async(scenario())

    def test_the_job_of_another_queue_goes_on(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            job = await self.submit(tracker)
            self.assertFalse(tracker.cancel_job(JOB, queue="another"))
            self.assertFalse(tracker.cancel_job(JOB, queue=""))
            self.assertEqual([], self.stops)
            tracker.leave(JOB)
            await job

        self.run_async(scenario())

    def test_a_job_that_has_joined_its_earlier_submission_is_cancelled_with_it(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            first = await self.submit(tracker)
            second = asyncio.ensure_future(tracker.run(make_job(JOB)))
            self.assertIsInstance(await first, JobDropped)
            tracker.cancel_job(JOB, queue=self.QUEUE)
            self.assertEqual(JobCancelled(), await second)

        self.run_async(scenario())

    def test_a_later_submission_is_answered_at_once(self) -> None:
        async def scenario() -> None:
            tracker = self.make_tracker("w1")
            self.claims.cancelled.add((self.QUEUE, JOB))
            self.assertEqual(JobCancelled(), await tracker.run(make_job(JOB)))
            self.claims.cancelled.clear()
            self.claims.result = Cancelled()
            self.assertEqual(JobCancelled(), await tracker.run(make_job(JOB)))
            self.assertEqual([], self.starts)
            self.assertFalse(tracker.has_open(JOB))

        self.run_async(scenario())
