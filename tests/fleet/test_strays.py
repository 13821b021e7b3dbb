"""A worker that runs something its agent does not know: its other runs go on as they are."""

from __future__ import annotations

import asyncio

from dalemast.emulator import CallFates, EmulatedWorker
from dalemast.platform.wire import EXPECTED_INCARNATION_HEADER
from dalemast.platform.worker import START_PATH
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000ab"
STRAY = "00000000000000cd.0.0.0"
LONG = make_text(4.0)


class StrayTests(AsyncTestCase):
    """Soak seeds 106164 and 227739, 20 s: an order of an earlier link was done after a standstill.

    While a stray went on, the agent kept its worker to itself; then it told of it again, on the
    same link. The owner compared its runs there with the list of the link's greeting, in which a
    run that began since is missing, took that run as over and began the next one elsewhere.
    Meanwhile the worker takes no starts.
    """

    def test_a_run_goes_on_alone_while_a_stray_comes_and_goes(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=2) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=LONG))
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the task to begin")
                worker = next(w for w in fleet.workers if w.active_tasks)
                agent = fleet.agents[fleet.workers.index(worker)]
                self._watch(fleet)
                worker.set_faults(stops=CallFates(lost=1.0))
                await self._start_stray(fleet, worker, fence=agent._worker._driver._fence)
                await wait_until(lambda: not self._is_used(fleet, worker), "the stray to be seen")
                worker.set_faults(stops=CallFates())
                await wait_until(lambda: self._is_used(fleet, worker), "the stray to end")
                response = await job
                self.assertEqual("succeeded", response.decode(dict[str, str])["state"])
                self.assertEqual([], self._doubles, fleet.get_started(JOB))

        self.run_async(scenario())

    @staticmethod
    def _is_used(fleet: LocalFleet, worker: EmulatedWorker) -> bool:
        """Tell whether the entry has a worker in reach that takes starts."""
        workers = fleet.entries[0].get_state()["workers"]
        return worker.life_id in workers and workers[worker.life_id]["is_accepting"]  # type: ignore

    def _watch(self, fleet: LocalFleet) -> None:
        """Keep the tasks that begin on one worker while they go on on another."""
        self._doubles: list[str] = []

        def check(task: str) -> None:
            if sum(task in worker.active_tasks for worker in fleet.workers) > 1:
                self._doubles.append(task)

        for worker in fleet.workers:
            worker.on_start = check

    async def _start_stray(self, fleet: LocalFleet, worker: EmulatedWorker, *, fence: int) -> None:
        """Start a task as an order would that was given and forgotten."""
        await fleet.client.request(
            "POST",
            f"http://{worker.address}{START_PATH}",
            body={
                "task": STRAY,
                "run": 1,
                "spec": LONG,
                "until_ms": round((worker._now() + 0.5) * 1000),
                "fence": fence,
            },
            headers={EXPECTED_INCARNATION_HEADER: worker.life_id},
        )
        self.assertIn(STRAY, worker.active_tasks)
