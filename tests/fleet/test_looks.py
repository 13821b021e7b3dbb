"""How often an agent looks at a worker that does not answer."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.supervision import Supervisor, SupervisorLimits, WorkerLife
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.worker import LONGEST_LOOK_PAUSE_S, WorkerLoop
from dalemast.fleet.base import Look, WorkerUnanswered
from dalemast.observability import Metrics
from tests.base import AsyncTestCase

LOOKS = 8


class ResettingWorker:
    """A driver whose worker resets each connection at once, but for those looks that it serves."""

    leased_until = float("inf")

    def __init__(self, *, served: set[int]) -> None:
        self.looks = 0
        self._served = served

    def meet(self, life: WorkerLife) -> None:
        """Nothing to note."""

    async def look(self, *, wait_s: float, renews: bool) -> Look:
        """Fail without any wait."""
        self.looks += 1
        if self.looks > LOOKS:
            raise asyncio.CancelledError
        if self.looks in self._served:
            return Look(running=(), ended=(), asked_at=0.0)
        raise WorkerUnanswered("reset")


class LookPauseTests(AsyncTestCase):
    def get_pauses(self, *, served: set[int]) -> list[float]:
        """Return the pauses after looks that failed."""

        async def run() -> list[float]:
            supervisor = Supervisor(limits=SupervisorLimits(owner_patience_s=1.0, stop_s=0.05))
            supervisor.meet_life(
                WorkerLife(
                    id="w",
                    service="floor",
                    data_centre="austin",
                    capacity=Resources(cpu=1000),
                    labels=frozenset(),
                    is_leaving=False,
                ),
                now=0.0,
            )
            loop = WorkerLoop(
                supervisor=supervisor,
                driver=ResettingWorker(served=served),  # type: ignore[arg-type]
                metrics=Metrics(),
            )
            loop.set_owners(mock.Mock())
            with mock.patch("dalemast.fleet.agent.worker.asyncio.sleep") as sleep:
                for _ in range(LOOKS):
                    await loop._look()
            return [call.args[0] for call in sleep.call_args_list]

        return self.run_async(run())

    def test_looks_become_rare_while_the_worker_resets_them(self) -> None:
        pauses = self.get_pauses(served=set())
        self.assertEqual([0.0, 0.02, 0.04, 0.08, 0.16, 0.16, 0.16, 0.16], pauses)
        self.assertEqual(LONGEST_LOOK_PAUSE_S, max(pauses))

    def test_a_reset_in_passing_costs_nothing(self) -> None:
        pauses = self.get_pauses(served={1, 3, 5, 7})
        self.assertEqual([0.0] * 4, pauses)
