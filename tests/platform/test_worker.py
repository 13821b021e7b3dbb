"""Calls to an emulated worker: outcomes, clocks, fences and incarnations."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
from collections.abc import Callable
from types import SimpleNamespace
from unittest import mock

import msgspec

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import (
    PollPlan,
    RunId,
    StartOutcome,
    StartRequest,
    WorkerIncarnation,
)
from dalemast.core.workloads import Resources, TaskKey
from dalemast.emulator import EmulatedWorker
from dalemast.emulator.fates import CallKind
from dalemast.fleet.base import (
    WorkerGone,
    WorkerReplaced,
    WorkerUnanswered,
)
from dalemast.http.client import HttpFailure, JsonResponse
from dalemast.platform import PlatformWorkerDriver
from dalemast.platform.wire import EXPECTED_INCARNATION_HEADER, StartCall
from tests.base import AsyncTestCase
from tests.fleet.base import find_address, make_text
from tests.soak.proxy import Proxy

LEASE_S = 0.6
UNHURRIED_S = (10.0,)
"""Timeout of the only try of a start, in seconds, for tests that need its answer."""
SLACK_S = 10.0
"""Time for the response to a poll beyond its wait, in seconds. Long, since the worker and the
driver share an event loop, which may stall on a busy host."""


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


def get_unlimited() -> float:
    """Return a limit that allows the whole lease."""
    return float("inf")


def plan(*, wait_s: float, renews: bool) -> PollPlan:
    return PollPlan(wait_s=wait_s, slack_s=SLACK_S, renews=renews)


class DriverTestCase(AsyncTestCase):
    """Base class of tests that run a scenario with a driver and an emulated worker."""

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
            driver.register(make_incarnation(worker.life_id))
            try:
                await scenario(worker, driver)
            finally:
                await worker.crash()

        self.run_async(run())


class DriverTests(DriverTestCase):
    def test_a_run_is_listed_and_its_end_is_reported_once(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            request = make_request(run_s=0.3)
            self.assertIs(
                StartOutcome.RUNNING, await driver.start(request, get_limit=get_unlimited)
            )
            result = await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
            self.assertEqual([request.run_id], [row.run_id for row in result.running])
            result = await driver.poll(plan(wait_s=2.0, renews=True), limit=get_unlimited())
            self.assertEqual(
                [(request.run_id, EndReason.DONE)], [(e.run_id, e.reason) for e in result.ended]
            )
            self.assertEqual(
                (), (await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())).ended
            )

        self.play(scenario)

    def test_a_used_run_number_is_reported(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            request = make_request()
            self.assertTrue(await driver.stop(request.run_id))
            self.assertIs(
                StartOutcome.RUN_USED, await driver.start(request, get_limit=get_unlimited)
            )

        self.play(scenario)

    def test_a_lease_that_is_not_renewed_ends_its_runs(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            await driver.start(make_request(run_s=30.0), get_limit=get_unlimited)
            result = await driver.poll(plan(wait_s=1.9, renews=False), limit=get_unlimited())
            self.assertEqual([EndReason.STOPPED], [end.reason for end in result.ended])

        self.play(scenario)

    def test_a_start_joins_the_lease_while_enough_of_it_is_left(self) -> None:
        """If starts renewed it, the lease of an unresponsive worker would not expire."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
            leased_until = driver.leased_until
            await driver.start(make_request(), get_limit=get_unlimited)
            self.assertEqual(leased_until, driver.leased_until)
            await asyncio.sleep(LEASE_S)
            await driver.start(make_request(run=2), get_limit=get_unlimited)
            self.assertGreater(driver.leased_until, leased_until)

        self.play(scenario)

    @mock.patch("dalemast.platform.worker.START_TIMEOUTS_S", UNHURRIED_S)
    def test_another_incarnation_at_the_address_is_detected(self) -> None:
        """A start that another incarnation refuses must not count as possibly executed.

        The timeouts are for workers that do not answer; on a busy host this loop is later.
        """

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            driver.register(make_incarnation("i-gone"))
            self.assertIs(
                StartOutcome.WRONG_INCARNATION,
                await driver.start(make_request(), get_limit=get_unlimited),
            )
            with self.assertRaises(WorkerReplaced):
                await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())

        self.play(scenario)

    def test_a_dead_worker_is_distinguished_from_an_unresponsive_one(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            worker.set_faults(late_orders=1.0)
            self.assertIs(
                StartOutcome.UNANSWERED, await driver.start(make_request(), get_limit=get_unlimited)
            )
            await worker.crash()
            with self.assertRaises(WorkerGone):
                await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())

        self.play(scenario)

    def test_the_fence_is_raised_if_the_worker_has_seen_a_higher_one(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            later = PlatformWorkerDriver(
                settings=SimpleNamespace(worker=SimpleNamespace(address=worker.address)),
                lease_s=LEASE_S,
            )
            later._fence += 1000  # as if the clock had been set back since
            later.register(make_incarnation(worker.life_id))
            await later.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            with self.assertRaises(WorkerUnanswered):
                await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            self.assertIs(
                StartOutcome.RUNNING, await driver.start(make_request(), get_limit=get_unlimited)
            )

        self.play(scenario)


class UnresponsiveClient:
    """Client whose requests all fail, and that calls ``then`` after the first one."""

    def __init__(self, then: Callable[[], None]) -> None:
        self.incarnations: list[str] = []
        self._then = then

    async def request(self, *args: object, headers: dict[str, str], **kwargs: object) -> None:
        self.incarnations.append(headers[EXPECTED_INCARNATION_HEADER])
        if len(self.incarnations) == 1:
            self._then()
        raise HttpFailure("no answer", is_unreachable=False)


class IncarnationTests(AsyncTestCase):
    def test_an_unanswered_start_is_not_retried_with_a_later_incarnation(self) -> None:
        """The owner starts the run elsewhere, since it ended with the earlier incarnation."""
        settings = SimpleNamespace(worker=SimpleNamespace(address="127.0.0.1:9"))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        client = UnresponsiveClient(then=lambda: driver.register(make_incarnation("second")))
        driver._orders = client
        driver.register(make_incarnation("first"))
        outcome = self.run_async(driver.start(make_request(), get_limit=get_unlimited))
        self.assertIs(StartOutcome.UNANSWERED, outcome)
        self.assertEqual({"first"}, set(client.incarnations))
        self.assertGreater(len(client.incarnations), 1)


class RestartedWorkerTests(AsyncTestCase):
    """Calls to the earlier incarnation must not reach a worker that restarts with the same id."""

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
            driver.register(make_incarnation(worker.life_id))
            try:
                await scenario(worker, driver)
            finally:
                await worker.crash()

        self.run_async(run())

    async def end_runs(self, driver: PlatformWorkerDriver, count: int) -> None:
        """Start some runs and poll until they have ended."""
        await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
        for number in range(count):
            request = make_request(job_id=f"{number:016x}", run_s=0.01)
            self.assertIs(
                StartOutcome.RUNNING, await driver.start(request, get_limit=get_unlimited)
            )
            while not (
                await driver.poll(plan(wait_s=1.0, renews=True), limit=get_unlimited())
            ).ended:
                pass

    def test_a_poll_detects_that_the_incarnation_has_ended(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 3)
            await worker.crash()
            worker.start()
            with self.assertRaises(WorkerReplaced):
                # The open connection ended with the incarnation. The next one identifies the new.
                with contextlib.suppress(WorkerUnanswered):
                    await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
                await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())

        self.play(scenario)

    def test_a_start_for_the_earlier_incarnation_is_not_carried_out(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 1)
            await worker.crash()
            worker.start()
            outcome = await driver.start(make_request(run=7), get_limit=get_unlimited)
            self.assertIn(outcome, (StartOutcome.NOT_LISTENING, StartOutcome.UNANSWERED))
            self.assertEqual(set(), worker.active_tasks)

        self.play(scenario)

    def test_ends_of_the_next_incarnation_are_reported_though_their_numbers_are_reused(
        self,
    ) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await self.end_runs(driver, 3)
            await worker.crash()
            worker.start()
            for _ in range(2):
                with contextlib.suppress(WorkerUnanswered, WorkerReplaced):
                    await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
            driver.register(make_incarnation(worker.life_id))
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            await self.end_runs(driver, 3)

        self.play(scenario)

    def test_late_calls_to_an_earlier_incarnation_are_fenced_off_once_the_next_has_responded(
        self,
    ) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            before = driver._fence
            driver.register(make_incarnation(worker.life_id))
            await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
            late = {"task": "00000000000000aa.0.0.0", "run": 1, "spec": "", "until_ms": 10**9}
            _, answer = await worker.take_call(CallKind.START, {**late, "fence": before})
            self.assertEqual("fence", answer.reason)

        self.play(scenario)


class HeldStartTests(AsyncTestCase):
    """A start that a device on the path holds must not reach the worker's next incarnation.

    It can't, as a connection ends with its incarnation, and each new one begins with a poll.
    """

    TRY_S = 0.4
    """Timeout of each try, in seconds: long enough for the worker to restart in the first one."""

    def play(self, fault: Callable[[Proxy], None], *, connections: int, poll_delay_s: float) -> int:
        """Start a run whose first copy is held while its worker restarts under its id.

        ``connections`` are open already when the fault begins, and ``poll_delay_s`` is the delay of
        all data once it is over. Return the number of copies that the next incarnation executed.
        """

        async def run() -> int:
            worker = EmulatedWorker(
                address="127.0.0.1:0",
                report_to=find_address(),
                service="floor",
                zone="austin",
                cpu=8000,
                keeps_id=True,
            )
            worker.start()
            proxy = Proxy(target=worker.address)
            await proxy.start()
            settings = SimpleNamespace(worker=SimpleNamespace(address=proxy.address))
            driver = PlatformWorkerDriver(settings=settings, lease_s=30.0)
            driver.register(make_incarnation(worker.life_id))
            try:
                await self.poll_until_answered(driver)
                warm_up = [
                    driver.start(make_request(job_id=f"{n:016x}"), get_limit=get_unlimited)
                    for n in range(connections)
                ]
                await asyncio.gather(*warm_up)
                fault(proxy)
                request = make_request(run=7, run_s=5.0)
                order = asyncio.create_task(driver.start(request, get_limit=get_unlimited))
                await asyncio.sleep(self.TRY_S / 4)
                await worker.crash()
                worker.start()
                before = len(worker.started)
                proxy.heal()
                proxy.delay_s = poll_delay_s
                outcome = await order
                await asyncio.sleep(self.TRY_S / 4)
                self.assertIn(outcome, (StartOutcome.UNANSWERED, StartOutcome.NOT_LISTENING))
                return len(worker.started) - before
            finally:
                await worker.crash()
                await proxy.close()

        timeouts = (self.TRY_S,) * 3
        with mock.patch("dalemast.platform.worker.START_TIMEOUTS_S", timeouts):
            return self.run_async(run())

    async def poll_until_answered(self, driver: PlatformWorkerDriver) -> None:
        """Poll the worker, again if the proxy reset the connection after a process pause."""
        while True:
            with contextlib.suppress(WorkerUnanswered):
                await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
                return

    def check(
        self, fault: Callable[[Proxy], None], *, open_connections: tuple[int, ...] = (0, 1, 4)
    ) -> None:
        for connections in open_connections:
            for poll_delay_s in (0.0, 0.1):
                executed = self.play(fault, connections=connections, poll_delay_s=poll_delay_s)
                self.assertEqual(0, executed)

    def test_held_on_its_way_to_the_worker(self) -> None:
        self.check(lambda proxy: proxy.silence("up"))

    def test_held_with_its_answer(self) -> None:
        self.check(lambda proxy: proxy.silence("up", "down"))

    def test_held_with_the_end_of_its_connection(self) -> None:
        self.check(lambda proxy: proxy.cut_some(1.0, random.Random(0)))

    def test_delayed(self) -> None:
        self.check(lambda proxy: setattr(proxy, "delay_s", 0.3))

    def test_discarded(self) -> None:
        self.check(lambda proxy: proxy.discard_open(), open_connections=(1, 4))


class NotListeningTests(AsyncTestCase):
    def test_a_start_without_a_listening_worker_has_not_run(self) -> None:
        settings = SimpleNamespace(worker=SimpleNamespace(address=find_address()))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        driver.register(make_incarnation("first"))
        outcome = self.run_async(driver.start(make_request(), get_limit=get_unlimited))
        self.assertIs(StartOutcome.NOT_LISTENING, outcome)


class ScriptedClient:
    """Client that returns the given responses in order. None is a request without a response."""

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


class RetryTests(AsyncTestCase):
    """A start whose first try is unanswered may still be carried out by the worker."""

    def order(
        self, *answers: tuple[int, str] | None, limits: tuple[float, ...] = ()
    ) -> tuple[StartOutcome, ScriptedClient]:
        settings = SimpleNamespace(worker=SimpleNamespace(address="127.0.0.1:9"))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        client = driver._orders = ScriptedClient(*answers)
        left = list(limits)
        get_limit = (lambda: left.pop(0)) if limits else get_unlimited
        return self.run_async(driver.start(make_request(), get_limit=get_limit)), client

    def test_a_rejection_for_lack_of_capacity_does_not_settle_an_earlier_try(self) -> None:
        for answer in ((409, "room"), (429, ""), (503, "")):
            outcome, _ = self.order(None, answer)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

    def test_a_rejection_as_late_or_misdirected_does_not_settle_an_earlier_try(self) -> None:
        for answer in ((409, "late"), (421, "")):
            outcome, _ = self.order(None, answer)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

    def test_a_used_run_number_settles_a_first_try_only(self) -> None:
        """The worker may have received the number by an earlier, unanswered try."""
        outcomes = [self.order(*answers)[0] for answers in ([(409, "old")], [None, (409, "old")])]
        self.assertEqual([StartOutcome.RUN_USED, StartOutcome.RUN_RECEIVED], outcomes)

    def test_a_rejected_first_try_has_not_run(self) -> None:
        outcomes = [self.order(answer)[0] for answer in ((409, "late"), (421, ""))]
        self.assertEqual([StartOutcome.EXPIRED, StartOutcome.WRONG_INCARNATION], outcomes)

    def test_a_start_that_is_no_longer_needed_is_not_retried(self) -> None:
        outcome, client = self.order(None, (200, ""), limits=(float("inf"), float("-inf")))
        self.assertIs(StartOutcome.UNANSWERED, outcome)
        self.assertEqual(1, len(client.calls))

    def test_a_start_that_was_never_sent_has_not_run(self) -> None:
        outcome, client = self.order(limits=(float("-inf"),))
        self.assertIs(StartOutcome.EXPIRED, outcome)
        self.assertEqual([], client.calls)


def make_incarnation(incarnation_id: str) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=incarnation_id,
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=4000, memory_mb=1000),
        labels=frozenset(),
        is_leaving=False,
    )


class InconclusiveResponseTests(DriverTestCase):
    """Responses and failures that must not be taken as proof that a run or a worker ended."""

    def test_a_local_network_failure_does_not_mean_that_the_worker_is_gone(self) -> None:
        """Otherwise two failures in a row would end the incarnation and restart all its runs."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            loop = asyncio.get_running_loop()
            for number in (errno.EMFILE, errno.ENOBUFS, errno.EHOSTUNREACH, errno.ETIMEDOUT):
                failure = OSError(number, "no")
                with mock.patch.object(loop, "create_connection", side_effect=failure):
                    try:
                        await driver.poll(plan(wait_s=0.0, renews=False), limit=get_unlimited())
                    except WorkerUnanswered:
                        continue
                    except WorkerGone as error:
                        self.fail(f"{errno.errorcode[number]}: {error!r}")

        self.play(scenario)

    def check_after_unanswered(self, status: int, reason: str) -> None:
        """Check that the response to a retry does not settle an earlier, unanswered try.

        That try may have started the run, which must not be reported as never started.
        """

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
            body = msgspec.json.encode({"clock_ms": 1.0, "reason": reason})
            unanswered = HttpFailure("no answer in time", is_unreachable=False)
            answers = [unanswered, JsonResponse(status=status, body=body)]
            with mock.patch.object(driver._orders, "request", side_effect=answers):
                outcome = await driver.start(make_request(), get_limit=get_unlimited)
            self.assertIs(StartOutcome.UNANSWERED, outcome)

        self.play(scenario)

    def test_a_retry_that_reaches_another_incarnation_does_not_settle_an_earlier_try(self) -> None:
        self.check_after_unanswered(421, "")

    def test_a_retry_that_is_too_late_does_not_settle_an_earlier_try(self) -> None:
        """A worker may check the time before it checks whether the run has started."""
        self.check_after_unanswered(409, "late")

    def test_a_response_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Otherwise unseen ends of the present incarnation would be acknowledged, and its lease
        would be computed with another one's clock."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.poll(plan(wait_s=0.0, renews=True), limit=get_unlimited())
            await driver.start(make_request(run_s=0.1), get_limit=get_unlimited)
            result = asyncio.create_task(
                driver.poll(plan(wait_s=0.5, renews=True), limit=get_unlimited())
            )
            await asyncio.sleep(0.02)
            driver.register(make_incarnation("i-next"))
            with contextlib.suppress(WorkerUnanswered, WorkerReplaced):
                await result
            self.assertEqual((0, False), (driver._ends_seen, driver._clock.is_known))

        self.play(scenario)
