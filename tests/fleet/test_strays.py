"""Orphaned runs on a worker must not affect its other runs."""

from __future__ import annotations

import asyncio

from dalemast.emulator import CallFates, EmulatedWorker
from dalemast.platform.wire import EXPECTED_INCARNATION_HEADER
from dalemast.platform.worker import START_PATH
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000ab"
ORPHAN = "00000000000000cd.0.0.0"
LONG = make_text(4.0)


class OrphanedRunTests(AsyncTestCase):
    """After an orphaned run the agent reports its worker again, with the current list of runs.

    With an outdated list the owner takes a run as ended and restarts its task elsewhere.
    """

    def test_a_run_is_not_restarted_because_of_an_orphaned_run(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=2) as fleet:
                job = asyncio.ensure_future(fleet.submit(JOB, text=LONG))
                await wait_until(lambda: bool(fleet.get_running(JOB)), "the task to begin")
                worker = next(w for w in fleet.workers if w.active_tasks)
                agent = fleet.agents[fleet.workers.index(worker)]
                self._record_duplicates(fleet)
                worker.set_faults(stops=CallFates(lost=1.0))
                await self._start_orphan(fleet, worker, fence=agent._worker._driver._fence)
                await wait_until(lambda: not self._is_used(fleet, worker), "the orphan to be found")
                worker.set_faults(stops=CallFates())
                await wait_until(lambda: self._is_used(fleet, worker), "the orphan to end")
                response = await job
                self.assertEqual("succeeded", response.decode(dict[str, str])["state"])
                self.assertEqual([], self._duplicates, fleet.get_started(JOB))

        self.run_async(scenario())

    @staticmethod
    def _is_used(fleet: LocalFleet, worker: EmulatedWorker) -> bool:
        """Return whether the entry knows the worker and it accepts starts."""
        workers = fleet.entries[0].get_state()["workers"]
        return worker.life_id in workers and workers[worker.life_id]["is_accepting"]  # type: ignore

    def _record_duplicates(self, fleet: LocalFleet) -> None:
        """Record the tasks that start on one worker while they run on another."""
        self._duplicates: list[str] = []

        def check(task: str) -> None:
            if sum(task in worker.active_tasks for worker in fleet.workers) > 1:
                self._duplicates.append(task)

        for worker in fleet.workers:
            worker.on_start = check

    async def _start_orphan(self, fleet: LocalFleet, worker: EmulatedWorker, *, fence: int) -> None:
        """Start a task on the worker without its agent."""
        await fleet.client.request(
            "POST",
            f"http://{worker.address}{START_PATH}",
            body={
                "task": ORPHAN,
                "run": 1,
                "spec": LONG,
                "until_ms": round((worker._now() + 0.5) * 1000),
                "fence": fence,
            },
            headers={EXPECTED_INCARNATION_HEADER: worker.life_id},
        )
        self.assertIn(ORPHAN, worker.active_tasks)
