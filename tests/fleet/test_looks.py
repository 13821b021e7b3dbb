"""How often an agent polls a worker that does not respond."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.supervision import (
    PollPlan,
    RunId,
    StartRequest,
    Supervisor,
    SupervisorLimits,
    WorkerIncarnation,
)
from dalemast.core.supervision.polls import MAX_POLL_PAUSE_S, POLL_WAIT_S
from dalemast.core.workloads import Resources, TaskKey
from dalemast.fleet.agent.worker import WorkerLoop
from dalemast.fleet.base import PollResult, WorkerUnanswered
from dalemast.observability import Metrics
from tests.base import AsyncTestCase

POLLS = 8


class ResettingWorker:
    """A driver whose worker resets all connections except those of the polls it serves."""

    leased_until = float("inf")

    def __init__(self, *, served: set[int]) -> None:
        self.polls = 0
        self.requests: list[tuple[float, bool]] = []
        """Of each poll, how long it may wait and whether it renews the lease."""
        self._served = served

    def register(self, incarnation: WorkerIncarnation) -> None:
        """Do nothing."""

    async def poll(self, plan: PollPlan, *, limit: float) -> PollResult:
        """Fail immediately unless the poll is served."""
        self.polls += 1
        self.requests.append((plan.wait_s, plan.renews))
        if self.polls > POLLS:
            raise asyncio.CancelledError
        if self.polls in self._served:
            return PollResult(running=(), ended=(), asked_at=0.0)
        raise WorkerUnanswered("reset")


def make_supervisor() -> Supervisor:
    """Return a supervisor whose worker has reported."""
    supervisor = Supervisor(limits=SupervisorLimits(owner_timeout_s=1.0, lease_s=0.6, stop_s=0.05))
    supervisor.register_incarnation(
        WorkerIncarnation(
            id="w",
            service="floor",
            data_centre="austin",
            capacity=Resources(cpu=1000),
            labels=frozenset(),
            is_leaving=False,
        ),
        now=0.0,
    )
    return supervisor


class PollIntervalTests(AsyncTestCase):
    def get_pauses(self, *, served: set[int]) -> list[float]:
        """Return the delays after polls that failed."""

        async def run() -> list[float]:
            supervisor = make_supervisor()
            loop = WorkerLoop(
                supervisor=supervisor,
                driver=ResettingWorker(served=served),  # type: ignore[arg-type]
                metrics=Metrics(),
            )
            loop.set_owners(mock.Mock())
            with mock.patch("dalemast.fleet.agent.worker.asyncio.sleep") as sleep:
                for _ in range(POLLS):
                    await loop._poll()
            return [call.args[0] for call in sleep.call_args_list]

        return self.run_async(run())

    def test_the_interval_grows_while_the_worker_resets_connections(self) -> None:
        pauses = self.get_pauses(served=set())
        self.assertEqual([0.0, 0.02, 0.04, 0.08, 0.16, 0.16, 0.16, 0.16], pauses)
        self.assertEqual(MAX_POLL_PAUSE_S, max(pauses))

    def test_a_single_reset_causes_no_delay(self) -> None:
        pauses = self.get_pauses(served={1, 3, 5, 7})
        self.assertEqual([0.0] * 4, pauses)


class UnresponsiveWorkerTests(AsyncTestCase):
    """Tasks of an unresponsive worker restart only once its lease has expired."""

    def setUp(self) -> None:
        super().setUp()
        self.supervisor = make_supervisor()
        self.supervisor.handle_poll((), (), asked_at=0.0, now=0.0)

    def make_loop(self, driver: ResettingWorker) -> WorkerLoop:
        loop = WorkerLoop(
            supervisor=self.supervisor,
            driver=driver,  # type: ignore[arg-type]
            metrics=Metrics(),
        )
        loop.set_owners(mock.Mock())
        return loop

    def poll(self, loop: WorkerLoop, times: int) -> None:
        async def run() -> None:
            with mock.patch("dalemast.fleet.agent.worker.asyncio.sleep"):
                for _ in range(times):
                    await loop._poll()

        self.run_async(run())

    def start_run(self) -> None:
        request = StartRequest(
            owner="o",
            run_id=RunId("a", TaskKey(0, 0), 1),
            payload="",
            resources=Resources(cpu=100),
            expected_s=1.0,
            number=1,
            sent_at=1.0,
        )
        self.supervisor.start(request, now=1.0)

    def test_its_lease_is_not_renewed_and_polls_do_not_wait(self) -> None:
        self.start_run()
        driver = ResettingWorker(served={3})
        self.poll(self.make_loop(driver), times=4)
        self.assertEqual([(POLL_WAIT_S, True), (0.0, False), (0.0, False)], driver.requests[:3])
        self.assertEqual((POLL_WAIT_S, True), driver.requests[3])

    def test_it_accepts_no_starts_until_it_responds(self) -> None:
        driver = ResettingWorker(served={2})
        loop = self.make_loop(driver)
        self.assertTrue(self.supervisor.is_accepting(now=1.0))
        self.poll(loop, times=1)
        self.assertFalse(self.supervisor.is_accepting(now=1.0))
        self.poll(loop, times=1)
        self.assertTrue(self.supervisor.is_accepting(now=1.0))

    def test_it_is_given_up_once_its_lease_has_expired(self) -> None:
        driver = ResettingWorker(served=set())
        driver.leased_until = 0.0
        self.poll(self.make_loop(driver), times=1)
        self.assertIsNone(self.supervisor.incarnation)
