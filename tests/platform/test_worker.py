"""The adapter's calls to a worker, against the stand-in: outcomes, clocks, tokens, lives."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from collections.abc import Callable
from types import SimpleNamespace
from unittest import mock

import msgspec

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import PollPlan, RunId, StartOutcome, StartRequest, WorkerIncarnation
from dalemast.core.workloads import Resources, TaskKey
from dalemast.emulator import EmulatedWorker
from dalemast.emulator.fates import CallKind
from dalemast.fleet.base import WorkerGone, WorkerReplaced, WorkerUnanswered
from dalemast.http.client import HttpFailure, JsonResponse
from dalemast.platform import PlatformWorkerDriver
from dalemast.platform.wire import EXPECTED_INCARNATION_HEADER, StartCall
from tests.base import AsyncTestCase
from tests.fleet.base import find_address, make_text

LEASE_S = 0.6
SLACK_S = 10.0
"""No test here is about how long a look takes. Worker and adapter share a loop, and on a crowded
host it may stand still for longer than an agent would wait."""


def make_request(job_id: str = "00000000000000aa", run: int = 1, run_s: float = 0.05):
    return StartRequest(
        owner="o",
        run_id=RunId(job_id, TaskKey(0, 3), run),
        payload=make_text(run_s),
        resources=Resources(cpu=1000, memory_mb=10),
        expected_s=0.1,
        number=1,
        sent_at=0.0,
    )


def always() -> float:
    """Let the worker run on for as long as the lease is."""
    return float("inf")


def plan(*, wait_s: float, renews: bool) -> PollPlan:
    return PollPlan(wait_s=wait_s, slack_s=SLACK_S, renews=renews)


class DriverTestCase(AsyncTestCase):
    """Plays a scenario with the adapter and a stand-in of a worker."""

    def play(self, scenario) -> None:
        async def run() -> None:
            worker = EmulatedWorker(
                address="127.0.0.1:0",
                report_to=find_address(),
                service="floor",
                zone="austin",
                cpu=4000,
            )
            worker.start()
            settings = SimpleNamespace(worker=SimpleNamespace(address=worker.address))
            driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
            driver.register(make_life(worker.life_id))
            try:
                await scenario(worker, driver)
            finally:
                await worker.crash()

        self.run_async(run())


class DriverTests(DriverTestCase):
    def test_a_run_is_listed_and_its_end_is_told_once(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            request = make_request(run_s=0.3)
            self.assertIs(StartOutcome.RUNNING, await driver.start(request, get_limit=always))
            look = await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
            self.assertEqual([request.run_id], [row.run_id for row in look.running])
            look = await driver.poll(plan(wait_s=2.0, renews=True), limit=always())
            self.assertEqual(
                [(request.run_id, EndReason.DONE)], [(e.run_id, e.reason) for e in look.ended]
            )
            self.assertEqual(
                (), (await driver.poll(plan(wait_s=0.0, renews=True), limit=always())).ended
            )

        self.play(scenario)

    def test_a_used_run_number_is_told(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            request = make_request()
            self.assertTrue(await driver.stop(request.run_id))
            self.assertIs(StartOutcome.RUN_USED, await driver.start(request, get_limit=always))

        self.play(scenario)

    def test_a_lease_that_is_not_renewed_ends_what_runs(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            await driver.start(make_request(run_s=30.0), get_limit=always)
            look = await driver.poll(plan(wait_s=1.9, renews=False), limit=always())
            self.assertEqual([EndReason.STOPPED], [end.reason for end in look.ended])

        self.play(scenario)

    def test_a_start_joins_the_lease_while_enough_of_it_is_left(self) -> None:
        """Renewed by starts, the lease of a worker that has fallen silent would go on."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
            leased_until = driver.leased_until
            await driver.start(make_request(), get_limit=always)
            self.assertEqual(leased_until, driver.leased_until)
            await asyncio.sleep(LEASE_S)
            await driver.start(make_request(run=2), get_limit=always)
            self.assertGreater(driver.leased_until, leased_until)

        self.play(scenario)

    def test_another_life_at_the_address_is_noticed(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            driver.register(make_life("i-gone"))
            self.assertIs(
                StartOutcome.WRONG_LIFE, await driver.start(make_request(), get_limit=always)
            )
            with self.assertRaises(WorkerReplaced):
                await driver.poll(plan(wait_s=0.0, renews=True), limit=always())

        self.play(scenario)

    def test_a_dead_worker_and_a_silent_one_are_told_apart(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            worker.set_faults(late_orders=1.0)
            self.assertIs(
                StartOutcome.UNANSWERED, await driver.start(make_request(), get_limit=always)
            )
            await worker.crash()
            with self.assertRaises(WorkerGone):
                await driver.poll(plan(wait_s=0.0, renews=True), limit=always())

        self.play(scenario)

    def test_a_higher_token_that_the_worker_has_seen_is_passed(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            later = PlatformWorkerDriver(
                settings=SimpleNamespace(worker=SimpleNamespace(address=worker.address)),
                lease_s=LEASE_S,
            )
            later._fence += 1000  # as after a step of the clock
            later.register(make_life(worker.life_id))
            await later.poll(plan(wait_s=0.0, renews=False), limit=always())
            with self.assertRaises(WorkerUnanswered):
                await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            self.assertIs(
                StartOutcome.RUNNING, await driver.start(make_request(), get_limit=always)
            )

        self.play(scenario)


class SilentClient:
    """Answers nothing, and lets something happen after the first request."""

    def __init__(self, then: Callable[[], None]) -> None:
        self.lives: list[str] = []
        self._then = then

    async def request(self, *args: object, headers: dict[str, str], **kwargs: object) -> None:
        self.lives.append(headers[EXPECTED_INCARNATION_HEADER])
        if len(self.lives) == 1:
            self._then()
        raise HttpFailure("no answer", is_unreachable=False)


class LivesTests(AsyncTestCase):
    def test_an_unanswered_start_is_not_said_again_to_a_later_life(self) -> None:
        """The owner is told that the run ended with its life and starts it elsewhere."""
        settings = SimpleNamespace(worker=SimpleNamespace(address="127.0.0.1:9"))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        client = SilentClient(then=lambda: driver.register(make_life("second")))
        driver._orders = client
        driver.register(make_life("first"))
        outcome = self.run_async(driver.start(make_request(), get_limit=always))
        self.assertIs(StartOutcome.UNANSWERED, outcome)
        self.assertEqual({"first"}, set(client.lives))
        self.assertGreater(len(client.lives), 1)


class RebornTests(AsyncTestCase):
    """The worker begins anew under its id; what was meant for its life before must not reach it."""

    def play(self, scenario) -> None:
        async def run() -> None:
            worker = EmulatedWorker(
                address="127.0.0.1:0",
                report_to=find_address(),
                service="floor",
                zone="austin",
                cpu=4000,
                keeps_id=True,
            )
            worker.start()
            settings = SimpleNamespace(worker=SimpleNamespace(address=worker.address))
            driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
            driver.register(make_life(worker.life_id))
            try:
                await scenario(worker, driver)
            finally:
                await worker.crash()

        self.run_async(run())

    async def end_runs(self, driver: PlatformWorkerDriver, count: int) -> None:
        """Let some runs end, and take note of their ends."""
        await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
        for number in range(count):
            request = make_request(job_id=f"{number:016x}", run_s=0.01)
            self.assertIs(StartOutcome.RUNNING, await driver.start(request, get_limit=always))
            while not (await driver.poll(plan(wait_s=1.0, renews=True), limit=always())).ended:
                pass

    def test_a_look_finds_that_the_life_is_over(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 3)
            await worker.crash()
            worker.start()
            with self.assertRaises(WorkerReplaced):
                # The kept connection has ended with the life; the one after it is greeted.
                with contextlib.suppress(WorkerUnanswered):
                    await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
                await driver.poll(plan(wait_s=0.0, renews=True), limit=always())

        self.play(scenario)

    def test_a_start_for_the_life_before_does_not_begin(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 1)
            await worker.crash()
            worker.start()
            outcome = await driver.start(make_request(run=7), get_limit=always)
            self.assertIn(outcome, (StartOutcome.NOT_LISTENING, StartOutcome.UNANSWERED))
            self.assertEqual(set(), worker.active_tasks)

        self.play(scenario)

    def test_ends_of_the_next_life_are_told_though_their_numbers_were_seen(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 3)
            await worker.crash()
            worker.start()
            for _ in range(2):
                with contextlib.suppress(WorkerUnanswered, WorkerReplaced):
                    await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
            driver.register(make_life(worker.life_id))
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            await self.end_runs(driver, 3)

        self.play(scenario)

    def test_what_an_earlier_life_was_told_late_is_barred_once_the_next_has_answered(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            before = driver._fence
            driver.register(make_life(worker.life_id))
            await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
            late = {"task": "00000000000000aa.0.0.0", "run": 1, "spec": "", "until_ms": 10**9}
            _, answer = await worker.take_call(CallKind.START, {**late, "fence": before})
            self.assertEqual("fence", answer.reason)

        self.play(scenario)


class NothingListensTests(AsyncTestCase):
    def test_a_start_that_no_worker_can_have_seen_has_not_begun(self) -> None:
        settings = SimpleNamespace(worker=SimpleNamespace(address=find_address()))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        driver.register(make_life("first"))
        outcome = self.run_async(driver.start(make_request(), get_limit=always))
        self.assertIs(StartOutcome.NOT_LISTENING, outcome)


class AnsweringClient:
    """Gives the answers that it was made with, one a request; None is no answer."""

    def __init__(self, *answers: tuple[int, str] | None) -> None:
        self.calls: list[StartCall] = []
        self._answers = list(answers)

    async def request(self, method: str, path: str, *, body: StartCall, **kwargs: object) -> object:
        self.calls.append(body)
        answer = self._answers[len(self.calls) - 1]
        if answer is None:
            raise HttpFailure("no answer", is_unreachable=False)
        status, reason = answer
        return JsonResponse(status=status, body=msgspec.json.encode({"reason": reason}))


class TriesTests(AsyncTestCase):
    """A start whose first try stays unanswered: that try may be carried out yet."""

    def order(
        self, *answers: tuple[int, str] | None, limits: tuple[float, ...] = ()
    ) -> tuple[StartOutcome, AnsweringClient]:
        settings = SimpleNamespace(worker=SimpleNamespace(address="127.0.0.1:9"))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        client = driver._orders = AnsweringClient(*answers)
        left = list(limits)
        get_limit = (lambda: left.pop(0)) if limits else always
        return self.run_async(driver.start(make_request(), get_limit=get_limit)), client

    def test_a_try_that_finds_no_room_says_nothing_of_an_earlier_one(self) -> None:
        for answer in ((409, "room"), (429, ""), (503, "")):
            outcome, _ = self.order(None, answer)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

    def test_a_late_or_wrong_address_says_nothing_of_an_earlier_try(self) -> None:
        for answer in ((409, "late"), (421, "")):
            outcome, _ = self.order(None, answer)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

    def test_without_an_earlier_try_they_say_that_it_never_ran(self) -> None:
        outcomes = [self.order(answer)[0] for answer in ((409, "late"), (421, ""))]
        self.assertEqual([StartOutcome.EXPIRED, StartOutcome.WRONG_LIFE], outcomes)

    def test_a_start_that_is_not_wanted_any_more_is_not_said_again(self) -> None:
        outcome, client = self.order(None, (200, ""), limits=(float("inf"), float("-inf")))
        self.assertIs(StartOutcome.UNANSWERED, outcome)
        self.assertEqual(1, len(client.calls))

    def test_a_start_that_was_never_said_has_not_run(self) -> None:
        outcome, client = self.order(limits=(float("-inf"),))
        self.assertIs(StartOutcome.EXPIRED, outcome)
        self.assertEqual([], client.calls)


def make_life(life_id: str) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=life_id,
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=4000, memory_mb=1000),
        labels=frozenset(),
        is_leaving=False,
    )


class DoubtTests(DriverTestCase):
    """What must not be taken from an answer, or from none."""

    def test_a_failure_of_this_hosts_own_does_not_say_that_the_worker_is_gone(self) -> None:
        """Two such in a row end its life, and all its runs are placed again at once."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            loop = asyncio.get_running_loop()
            for number in (errno.EMFILE, errno.ENOBUFS, errno.EHOSTUNREACH, errno.ETIMEDOUT):
                failure = OSError(number, "no")
                with mock.patch.object(loop, "create_connection", side_effect=failure):
                    try:
                        await driver.poll(plan(wait_s=0.0, renews=False), limit=always())
                    except WorkerUnanswered:
                        continue
                    except WorkerGone as error:
                        self.fail(f"{errno.errorcode[number]}: {error!r}")

        self.play(scenario)

    def check_after_silence(self, status: int, reason: str) -> None:
        """Check that a further try's answer says nothing of an earlier one without an answer.

        That one may have been carried out, so that its run must not be told as never begun.
        """

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
            body = msgspec.json.encode({"clock_ms": 1.0, "reason": reason})
            silence = HttpFailure("no answer in time", is_unreachable=False)
            answers = [silence, JsonResponse(status=status, body=body)]
            with mock.patch.object(driver._orders, "request", side_effect=answers):
                outcome = await driver.start(make_request(), get_limit=always)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

        self.play(scenario)

    def test_another_life_that_answers_a_further_try_does_not_say_that_none_was_done(self) -> None:
        self.check_after_silence(421, "")

    def test_a_further_try_that_is_too_late_does_not_say_that_none_was_done(self) -> None:
        """The pages don't say that a worker looks for the run before it looks at the time."""
        self.check_after_silence(409, "late")

    def test_an_earlier_lifes_answer_says_nothing_of_the_present_one(self) -> None:
        """Ends of the present life would be acknowledged unseen, and its lease counted by the
        clock of another."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=True), limit=always())
            await driver.start(make_request(run_s=0.1), get_limit=always)
            look = asyncio.create_task(driver.poll(plan(wait_s=0.5, renews=True), limit=always()))
            await asyncio.sleep(0.02)
            driver.register(make_life("i-next"))
            with contextlib.suppress(WorkerUnanswered, WorkerReplaced):
                await look
            self.assertEqual((0, False), (driver._ends_seen, driver._clock.is_known))

        self.play(scenario)
