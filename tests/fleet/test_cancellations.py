"""Tests of requests to cancel a job, which may arrive at any entry, early or late."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import msgspec

from dalemast import clock
from dalemast.core.ownership import Granted, Held, Withheld
from dalemast.fleet.base import CancelUnconfirmed, JobCancelled, JobUnknown
from dalemast.fleet.entry.cancellations import (
    BUSY_CAUSE,
    UNCONFIRMED_CAUSE,
    Cancellations,
)
from dalemast.fleet.entry.claim_retries import ClaimResult
from dalemast.fleet.frames import PeerHello
from dalemast.http.client import JsonResponse
from dalemast.observability import Metrics
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    PREFIX,
    REFUSED,
    LocalFleet,
    make_body,
    make_configuration,
    make_text,
    settle,
)

JOB = "00000000000000cc"
OTHER_JOB = "00000000000000dd"
OTHER_PREFIX = "/payouts/"
ENDLESS = make_text(60.0)
"""A task that outlasts the test."""
STOPPED = (200, "cancelled")
UNKNOWN = (410, "unknown")
RACE_S = 0.004
"""Delay after a submission at which its cancellation may overtake it between two entries."""


class CancelTestCase(AsyncTestCase):
    """Cancels jobs as callers do, and checks that nothing of them is left."""

    def play(self, scenario: Callable[[LocalFleet], Awaitable[None]], **fleet: Any) -> None:
        """Play a scenario, and once more if it fails after a pause of the fleet's processes.

        Entries drop their started jobs after a pause, so that these can't be cancelled any more.
        """

        async def run() -> None:
            while True:
                async with LocalFleet(**fleet) as local:
                    before = local._count_pauses()
                    try:
                        return await scenario(local)
                    except AssertionError:
                        if local._count_pauses() == before:
                            raise

        self.run_async(run())

    async def cancel(
        self, fleet: LocalFleet, job_id: str = JOB, *, entry: int = 0, prefix: str = PREFIX
    ) -> tuple[int, str]:
        """Request once that a job is cancelled; return the status and the state."""
        return read(await fleet.call("DELETE", prefix + job_id, entry))

    async def check_stopped(
        self, fleet: LocalFleet, submission: asyncio.Future[JsonResponse], job_id: str = JOB
    ) -> None:
        """Check that a submission is answered as cancelled, and that nothing of its job runs on."""
        self.assertEqual(STOPPED, read(await submission))
        await wait_until(lambda: not fleet.get_running(job_id), "the runs to end")
        started = fleet.get_started(job_id)
        for entry in range(len(fleet.entries)):
            self.assertEqual(STOPPED, read(await fleet.submit(job_id, entry=entry)))
        self.assertEqual(started, fleet.get_started(job_id))


class CancelledJobTests(CancelTestCase):
    """Guards against jobs that run on after their cancellation was acknowledged."""

    def cancel_running_job(self, submitted_at: int, cancelled_at: int, *, entries: int = 3) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.ensure_future(
                fleet.submit(JOB, entry=submitted_at, text=ENDLESS, count=2)
            )
            await wait_until(lambda: len(fleet.get_running(JOB)) == 2, "the starts")
            self.assertEqual(STOPPED, await self.cancel(fleet, entry=cancelled_at))
            await self.check_stopped(fleet, job)

        self.play(scenario, entries=entries)

    def test_a_job_is_cancelled_at_its_own_entry(self) -> None:
        self.cancel_running_job(0, 0)

    def test_a_job_is_cancelled_at_another_entry(self) -> None:
        for cancelled_at in (1, 2):
            self.cancel_running_job(0, cancelled_at)

    def test_a_job_is_cancelled_at_the_only_entry(self) -> None:
        self.cancel_running_job(0, 0, entries=1)

    def test_a_job_is_cancelled_at_all_entries_at_once(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.ensure_future(fleet.submit(JOB, text=ENDLESS))
            await wait_until(lambda: bool(fleet.get_running(JOB)), "the start")
            answers = await asyncio.gather(*(self.cancel(fleet, entry=n) for n in range(3)))
            self.assertLessEqual(set(answers), {STOPPED, UNKNOWN})
            self.assertIn(STOPPED, answers)
            await self.check_stopped(fleet, job)

        self.play(scenario, entries=3)

    def test_a_request_that_overtakes_the_submission_is_kept(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            for number in range(20):
                job_id = f"{number:016x}"
                job = asyncio.ensure_future(fleet.submit(job_id, text=ENDLESS))
                await asyncio.sleep(RACE_S * (number % 3) / 2)
                answer = await self.cancel(fleet, job_id, entry=1 + number % 2)
                self.assertIn(answer, (STOPPED, UNKNOWN))
                await self.check_stopped(fleet, job, job_id)

        self.play(scenario, entries=3)

    def test_no_further_step_begins(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            body = make_body(text=make_text(0.3))
            body["steps"] = [body["steps"][0], {**body["steps"][0], "since_rev": [0]}]
            body["steps"] += [{**body["steps"][0], "since_rev": [1]}]
            job = asyncio.ensure_future(fleet.call("POST", PREFIX + JOB, 0, body))
            await wait_until(lambda: len(fleet.get_started(JOB)) == 2, "the second step")
            self.assertEqual(STOPPED, await self.cancel(fleet, entry=1))
            await self.check_stopped(fleet, job)
            self.assertEqual(2, len(fleet.get_started(JOB)))

        self.play(scenario, entries=2)

    def test_a_job_that_waits_for_capacity_never_starts(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            filler = asyncio.ensure_future(
                fleet.submit(OTHER_JOB, text=ENDLESS, count=4, estimate_ms=60_000)
            )
            await wait_until(lambda: len(fleet.get_running(OTHER_JOB)) == 4, "a full worker")
            job = asyncio.ensure_future(fleet.submit(JOB, entry=1, text=ENDLESS))
            await wait_until(lambda: len(fleet.entries[1]._tracker) == 1, "the job to wait")
            self.assertEqual(STOPPED, await self.cancel(fleet))
            self.assertEqual(STOPPED, await self.cancel(fleet, OTHER_JOB, entry=1))
            await filler
            await self.check_stopped(fleet, job)
            self.assertEqual([], fleet.get_started(JOB))

        self.play(scenario, entries=2, workers=1)

    def test_a_job_that_moved_to_a_second_entry_is_cancelled_at_the_first(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            first = asyncio.ensure_future(fleet.submit(JOB, text=ENDLESS))
            await wait_until(lambda: bool(fleet.get_running(JOB)), "the start")
            second = asyncio.ensure_future(fleet.submit(JOB, entry=1, text=ENDLESS))
            await first
            self.assertIn(await self.cancel(fleet), (STOPPED, UNKNOWN))
            await self.check_stopped(fleet, second)

        self.play(scenario, entries=3)

    def test_the_job_of_a_stopping_entry_is_cancelled_at_another_one(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.ensure_future(fleet.submit(JOB, text=ENDLESS))
            await wait_until(lambda: bool(fleet.get_running(JOB)), "the start")
            stop = asyncio.ensure_future(fleet.entries[0].drain())
            await wait_until(lambda: fleet.entries[0].is_draining)
            self.assertEqual(STOPPED, await self.cancel(fleet, entry=1))
            self.assertEqual(STOPPED, read(await job))
            await stop
            await wait_until(lambda: not fleet.get_running(JOB), "the runs to end")

        self.play(scenario, entries=3)

    def test_a_job_whose_entry_has_died_does_not_start_again(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.ensure_future(fleet.submit(JOB, text=ENDLESS))
            await wait_until(lambda: bool(fleet.get_running(JOB)), "the start")
            await fleet.entries.pop(0).close()
            fleet.entry_settings.pop(0)
            answer = await self.cancel(fleet)
            while answer[0] == REFUSED:
                answer = await self.cancel(fleet, entry=1)
            self.assertIn(answer, (STOPPED, UNKNOWN))
            job.cancel()
            await wait_until(lambda: not fleet.get_running(JOB), "the runs to end")
            self.assertEqual(STOPPED, read(await fleet.submit(JOB, entry=1)))

        self.play(scenario, entries=3)


class GreetingTests(CancelTestCase):
    """A restarted entry learns of cancelled ids in the frame that has the other's claims.

    Guards against an entry that grants such an id as soon as it knows all claims.
    """

    def test_a_greeting_is_followed_by_the_cancelled_ids(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            self.assertEqual(UNKNOWN, await self.cancel(fleet))
            link = mock.Mock()
            fleet.entries[0]._peers._open(link, is_dialled=False)
            hello, announced = [call.args[0] for call in link.send.call_args_list[:2]]
            self.assertIsInstance(hello, PeerHello)
            self.assertEqual((0, JOB, "draws"), (announced.number, announced.job, announced.queue))
            self.assertGreater(announced.cancelled_for_s, 0.0)
            fleet.entries[0]._peers._sessions.clear()

        self.play(scenario, entries=1)


class OtherJobsTests(CancelTestCase):
    """A request concerns one job: that of the queue and the id in its path."""

    def test_a_request_on_another_queues_path_cancels_nothing(self) -> None:
        """Guards against a client account that cancels the jobs of others."""

        async def scenario(fleet: LocalFleet) -> None:
            configuration = make_configuration(8)
            other = {**configuration["routes"][0], "name": "payouts"}
            configuration["routes"].append({**other, "path_prefix": OTHER_PREFIX})
            fleet.store.put("op", "config", configuration)
            await wait_until(lambda: all(get_version(e) == 8 for e in fleet.entries))
            job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(1.0)))
            await wait_until(lambda: bool(fleet.get_running(JOB)), "the start")
            for entry in range(2):
                answer = await self.cancel(fleet, entry=entry, prefix=OTHER_PREFIX)
                self.assertEqual(UNKNOWN, answer)
            self.assertEqual((200, "succeeded"), read(await job))

        self.play(scenario, entries=2)

    def test_an_ended_job_and_an_id_that_nobody_submitted_are_unknown(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            self.assertEqual(200, (await fleet.submit(JOB, text=make_text(0.05))).status)
            await settle()
            for job_id in (JOB, OTHER_JOB, "no-id", ""):
                self.assertEqual(UNKNOWN, await self.cancel(fleet, job_id, entry=1))

        self.play(scenario, entries=2)

    def test_many_requests_for_ended_jobs_leave_the_others_running(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.ensure_future(fleet.submit(JOB, text=make_text(0.5), count=4))
            await wait_until(lambda: len(fleet.get_running(JOB)) == 4, "the starts")
            for first in range(1000, 1200, 20):
                # All processes share this event loop, which must not stand still.
                ids = [f"{number:016x}" for number in range(first, first + 20)]
                answers = await asyncio.gather(*(self.cancel(fleet, i) for i in ids))
                self.assertEqual({UNKNOWN}, set(answers))
            self.assertEqual((200, "succeeded"), read(await job))
            self.assertEqual(4, len(fleet.get_started(JOB)))

        self.play(scenario, entries=2)


class UnconfirmedTests(CancelTestCase):
    """A request that can't be confirmed is refused with a time to repeat it.

    Guards against an acknowledgement after which the caller stops asking while its job runs.
    """

    def test_a_request_is_refused_while_another_entry_does_not_answer(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            silent = mock.patch.object(type(fleet.entries[1]._peers.claims), "handle_claim")
            with silent:
                response = await fleet.call("DELETE", PREFIX + JOB)
            self.assertEqual(REFUSED, response.status)
            self.assertEqual("E2007", response.decode(dict[str, Any])["code"])
            self.assertGreater(response.decode(dict[str, Any])["retry_ms"], 0)
            self.assertEqual(UNKNOWN, await self.cancel(fleet))

        self.play(scenario, entries=2)


class ScriptedClaims:
    """Claims that return the given results in order, the last one again and again."""

    def __init__(self, *results: ClaimResult) -> None:
        self._results = list(results)
        self.calls = 0

    async def cancel(self, job_id: str, *, queue: str) -> ClaimResult:
        self.calls += 1
        return self._results.pop(0) if len(self._results) > 1 else self._results[0]


class OutcomeTests(AsyncTestCase):
    """What a request is answered, by what the claims on the id tell."""

    def play(
        self, *results: ClaimResult, is_open: bool = False, timeout_s: float = 30.0
    ) -> JobCancelled | JobUnknown | CancelUnconfirmed:
        self.claims = ScriptedClaims(*results)
        cancellations = self.make_cancellations(self.claims, is_open=is_open)
        cancelling = cancellations.cancel(queue="draws", job_id=JOB, timeout_s=timeout_s)
        return self.run_async(cancelling)

    def make_cancellations(self, claims: ScriptedClaims, *, is_open: bool = False) -> Cancellations:
        self.metrics = Metrics()
        return Cancellations(
            claims=claims,
            is_open=lambda job_id, queue: is_open,
            check_pause=lambda: False,
            metrics=self.metrics,
        )

    def test_a_job_that_was_held_by_any_entry_is_stopped(self) -> None:
        held = Held(owner="o1", free_at=None)
        self.assertEqual(JobCancelled(), self.play(held, Granted()))
        self.assertEqual(JobCancelled(), self.play(Granted(), is_open=True))
        self.assertEqual(1, self.metrics.get_count("cancellations.stopped"))

    def test_a_job_that_nobody_held_is_unknown(self) -> None:
        uncertain = Held(owner="", free_at=None)
        self.assertEqual(JobUnknown(), self.play(uncertain, Granted()))
        self.assertEqual(1, self.metrics.get_count("cancellations.unknown"))

    def test_a_job_that_is_not_released_is_unconfirmed(self) -> None:
        outcome = self.play(Held(owner="o1", free_at=None), timeout_s=0.2)
        self.assertIsInstance(outcome, CancelUnconfirmed)
        self.assertGreater(self.claims.calls, 1)
        self.assertEqual(1, self.metrics.get_count("cancellations.unconfirmed"))

    def test_requests_of_one_queue_wait_for_one_another_and_not_for_those_of_others(self) -> None:
        """Guards against a flood of requests of one client account that delays those of others."""

        async def scenario() -> list[object]:
            claims = ScriptedClaims(Held(owner="o1", free_at=None))
            cancellations = self.make_cancellations(claims)
            requests = [("draws", JOB), ("draws", OTHER_JOB), ("payouts", JOB)]
            cancelling = [
                cancellations.cancel(queue=queue, job_id=job_id, timeout_s=0.2)
                for queue, job_id in requests
            ]
            return await asyncio.gather(*cancelling)

        with mock.patch("dalemast.fleet.entry.cancellations.MAX_IN_PROGRESS", 1):
            outcomes = self.run_async(scenario())
        causes = [outcome.cause for outcome in outcomes]
        self.assertEqual([UNCONFIRMED_CAUSE, BUSY_CAUSE, UNCONFIRMED_CAUSE], causes)

    def test_a_request_that_cannot_be_decided_in_time_is_refused_at_once(self) -> None:
        self.assertIsInstance(self.play(Withheld(until=None)), CancelUnconfirmed)
        self.assertEqual(1, self.claims.calls)
        outcome = self.play(Withheld(until=clock.monotonic() + 10.0))
        self.assertEqual(1, self.claims.calls)
        assert isinstance(outcome, CancelUnconfirmed)
        self.assertGreater(outcome.retry_after_s, 9.0)


def read(response: JsonResponse) -> tuple[int, str]:
    """Return the status and the state of a response."""
    return response.status, msgspec.json.decode(response.body).get("state", "")


def get_version(entry: Any) -> int | None:
    """Return the version of the configuration in force at an entry."""
    return entry.get_state()["configuration"]
