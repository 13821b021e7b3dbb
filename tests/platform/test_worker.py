"""The adapter's calls to a worker, against the stand-in: outcomes, clocks, tokens, lives."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace

from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import LookPlan, RunId, StartOutcome, StartRequest, WorkerLife
from dalemast.core.workloads import Resources, TaskKey
from dalemast.emulator import EmulatedWorker
from dalemast.fleet.base import WorkerGone, WorkerReplaced, WorkerUnanswered
from dalemast.http.client import HttpFailure
from dalemast.platform import PlatformWorkerDriver
from dalemast.platform.wire import EXPECTED_LIFE_HEADER
from tests.base import AsyncTestCase
from tests.fleet.base import find_address, make_text

LEASE_S = 0.6


def make_request(job_id: str = "00000000000000aa", run: int = 1, run_s: float = 0.05):
    return StartRequest(
        owner="o",
        run_id=RunId(job_id, TaskKey(0, 3), run),
        payload=make_text(run_s),
        resources=Resources(cpu=1000, memory_mb=10),
        expected_s=0.1,
        number=1,
    )


def plan(*, wait_s: float, renews: bool) -> LookPlan:
    return LookPlan(wait_s=wait_s, slack_s=0.1, renews=renews)


class DriverTests(AsyncTestCase):
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
            driver.meet(make_life(worker.life_id))
            try:
                await scenario(worker, driver)
            finally:
                await worker.crash()

        self.run_async(run())

    def test_a_run_is_listed_and_its_end_is_told_once(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.look(plan(wait_s=0.0, renews=False))
            request = make_request(run_s=0.3)
            self.assertIs(StartOutcome.RUNNING, await driver.start(request))
            look = await driver.look(plan(wait_s=0.0, renews=True))
            self.assertEqual([request.run_id], [row.run_id for row in look.running])
            look = await driver.look(plan(wait_s=2.0, renews=True))
            self.assertEqual(
                [(request.run_id, EndReason.DONE)], [(e.run_id, e.reason) for e in look.ended]
            )
            self.assertEqual((), (await driver.look(plan(wait_s=0.0, renews=True))).ended)

        self.play(scenario)

    def test_a_used_run_number_is_told(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.look(plan(wait_s=0.0, renews=False))
            request = make_request()
            self.assertTrue(await driver.stop(request.run_id))
            self.assertIs(StartOutcome.RUN_USED, await driver.start(request))

        self.play(scenario)

    def test_a_lease_that_is_not_renewed_ends_what_runs(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.look(plan(wait_s=0.0, renews=False))
            await driver.start(make_request(run_s=30.0))
            look = await driver.look(plan(wait_s=1.9, renews=False))
            self.assertEqual([EndReason.STOPPED], [end.reason for end in look.ended])

        self.play(scenario)

    def test_a_start_joins_the_lease_while_enough_of_it_is_left(self) -> None:
        """Renewed by starts, the lease of a worker that has fallen silent would go on."""

        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            await driver.look(plan(wait_s=0.0, renews=False))
            await driver.look(plan(wait_s=0.0, renews=True))
            leased_until = driver.leased_until
            await driver.start(make_request())
            self.assertEqual(leased_until, driver.leased_until)
            driver._lease_ends_at -= LEASE_S
            await driver.start(make_request(run=2))
            self.assertGreater(driver.leased_until, leased_until)

        self.play(scenario)

    def test_another_life_at_the_address_is_noticed(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            driver.meet(make_life("i-gone"))
            self.assertIs(StartOutcome.WRONG_LIFE, await driver.start(make_request()))
            with self.assertRaises(WorkerReplaced):
                await driver.look(plan(wait_s=0.0, renews=True))

        self.play(scenario)

    def test_a_dead_worker_and_a_silent_one_are_told_apart(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            worker.set_faults(late_orders=1.0)
            self.assertIs(StartOutcome.UNANSWERED, await driver.start(make_request()))
            await worker.crash()
            with self.assertRaises(WorkerGone):
                await driver.look(plan(wait_s=0.0, renews=True))

        self.play(scenario)

    def test_a_higher_token_that_the_worker_has_seen_is_passed(self) -> None:
        async def scenario(worker: EmulatedWorker, driver: PlatformWorkerDriver) -> None:
            later = PlatformWorkerDriver(
                settings=SimpleNamespace(worker=SimpleNamespace(address=worker.address)),
                lease_s=LEASE_S,
            )
            later._fence += 1000  # as after a step of the clock
            later.meet(make_life(worker.life_id))
            await later.look(plan(wait_s=0.0, renews=False))
            with self.assertRaises(WorkerUnanswered):
                await driver.look(plan(wait_s=0.0, renews=False))
            await driver.look(plan(wait_s=0.0, renews=False))
            self.assertIs(StartOutcome.RUNNING, await driver.start(make_request()))

        self.play(scenario)


class SilentClient:
    """Answers nothing, and lets something happen after the first request."""

    def __init__(self, then: Callable[[], None]) -> None:
        self.lives: list[str] = []
        self._then = then

    async def request(self, *args: object, headers: dict[str, str], **kwargs: object) -> None:
        self.lives.append(headers[EXPECTED_LIFE_HEADER])
        if len(self.lives) == 1:
            self._then()
        raise HttpFailure("no answer", is_unreachable=False)


class LivesTests(AsyncTestCase):
    def test_an_unanswered_start_is_not_said_again_to_a_later_life(self) -> None:
        """The owner is told that the run ended with its life and starts it elsewhere."""
        settings = SimpleNamespace(worker=SimpleNamespace(address="127.0.0.1:9"))
        driver = PlatformWorkerDriver(settings=settings, lease_s=LEASE_S)
        client = SilentClient(then=lambda: driver.meet(make_life("second")))
        driver._orders = client
        driver.meet(make_life("first"))
        outcome = self.run_async(driver.start(make_request()))
        self.assertIs(StartOutcome.UNANSWERED, outcome)
        self.assertEqual({"first"}, set(client.lives))
        self.assertGreater(len(client.lives), 1)


def make_life(life_id: str) -> WorkerLife:
    return WorkerLife(
        id=life_id,
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=4000, memory_mb=1000),
        labels=frozenset(),
        is_leaving=False,
    )
