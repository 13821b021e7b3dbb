"""Runs end in time when their owner is unreachable, also if stops are lost or the agent is paused.

Otherwise the owner restarts a task elsewhere while its earlier run still goes on.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

from dalemast import clock
from dalemast.emulator import EmulatedWorker
from dalemast.emulator.runs import Order
from dalemast.fleet.address_book import to_row
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import EntryHello
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import HOST, PREFIX, LocalFleet, make_body, make_text, settle
from tests.soak.cluster import Cluster
from tests.soak.proxy import Proxy

JOB = "00000000000000b{:x}"
CUT_S = 2.0
"""Longer than the time after which an owner restarts lost tasks, in seconds."""
WHOLE_CPU = 8000
"""The capacity of a worker of the cluster: a task of this size uses the whole worker."""


class Overlaps:
    """Records each start of a task that is running on another worker."""

    def __init__(self, workers: list[EmulatedWorker]) -> None:
        self._workers = workers
        self.found: list[str] = []
        for worker in workers:
            worker.on_start = self._check

    def _check(self, task: str) -> None:
        if sum(task in worker.active_tasks for worker in self._workers) > 1:
            self.found.append(task)


class LostStopTests(AsyncTestCase):
    def test_a_run_whose_stops_are_lost_ends_before_it_runs_elsewhere(self) -> None:
        proxies: list[Proxy] = []

        async def make_proxy(address: str) -> str:
            proxies.append(Proxy(target=address))
            await proxies[-1].start()
            return proxies[-1].address

        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=2, make_proxy=make_proxy) as fleet:
                await self._cut_while_stops_are_lost(fleet, proxies[1])
            for proxy in proxies:
                await proxy.close()

        self.run_async(scenario())

    async def _cut_while_stops_are_lost(self, fleet: LocalFleet, links: Proxy) -> None:
        overlaps = Overlaps(fleet.workers)
        job_id = JOB.format(1)
        job = asyncio.create_task(fleet.submit(job_id, count=2, text=make_text(5.0)))
        await wait_until(lambda: len(fleet.get_running(job_id)) == 2, "both tasks to run")
        for worker in fleet.workers:
            worker.set_faults(lost_stops=1.0)
        links.silence("up", "down")
        await asyncio.sleep(CUT_S)
        links.heal()
        self.assertEqual(200, (await job).status)
        self.assertEqual([], overlaps.found)


class OrphanedRunTests(AsyncTestCase):
    """An orphaned run must not make owners restart the other runs of its worker.

    The next worker report must still list those, or their owners take them as ended.
    """

    def test_runs_beside_an_orphaned_run_are_not_restarted(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=2) as fleet:
                overlaps = Overlaps(fleet.workers)
                job_id = JOB.format(3)
                job = asyncio.create_task(fleet.submit(job_id, count=4, text=make_text(1.0)))
                await wait_until(lambda: len(fleet.get_running(job_id)) == 4, "the job to run")
                for worker in fleet.workers:
                    worker.set_faults(lost_stops=1.0)
                    begin_late(worker, JOB.format(4))
                await asyncio.sleep(0.25)
                for worker in fleet.workers:
                    worker.set_faults(lost_stops=0.0)
                await wait_until(lambda: not fleet.get_running(JOB.format(4)), "it to be stopped")
                self.assertEqual(200, (await job).status)
                self.assertEqual([], overlaps.found)
                self.assertEqual(4, len(fleet.get_started(job_id)))

        self.run_async(scenario())


def begin_late(worker: EmulatedWorker, job_id: str) -> None:
    """Start a run on a worker without its agent."""
    late = Order(
        task=f"{job_id}.0.0.0",
        run=1,
        until_s=worker._now() + 0.5,
        fence=worker._runs._fence,
        run_s=5.0,
    )
    assert not worker._runs.start(late, now=worker._now())


class TwoLinksTests(AsyncTestCase):
    def test_a_new_link_of_an_entry_closes_the_earlier_one(self) -> None:
        """Starts in transit there are missing in the run list that is sent on the new link."""

        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (earlier,) = owners._sessions.values()
                link = mock.Mock(is_open=True, sent_at=0.0, received_at=clock.monotonic())
                later = OwnerSession(link=link, handler=owners)
                assert earlier.member is not None
                later.receive([EntryHello(member=to_row(earlier.member))])
                self.assertFalse(earlier.link.is_open)

        self.run_async(scenario())


class UnresponsiveWorker(EmulatedWorker):
    """A worker that neither executes nor answers starts while ``is_unresponsive``."""

    is_unresponsive = True
    on_order: Callable[[EmulatedWorker], None]

    async def _start_run(self, call: dict[str, Any]) -> Any:
        if self.is_unresponsive:
            self.on_order(self)
            await asyncio.Event().wait()
        return await super()._start_run(call)


class PausedAgentTests(AsyncTestCase):
    def test_an_agent_does_not_retry_old_starts_after_a_pause(self) -> None:
        self._play(self._pause_during_a_start)

    def _play(self, scenario: Callable[[Cluster], Awaitable[None]]) -> None:
        async def run(folder: Path) -> None:
            with mock.patch("tests.soak.cluster.EmulatedWorker", UnresponsiveWorker):
                cluster = Cluster(folder=folder, entries=1, workers=2)
                await cluster.start()
                try:
                    await wait_until_served(cluster)
                    await scenario(cluster)
                finally:
                    await cluster.close()

        with TemporaryDirectory() as folder:
            self.run_async(run(Path(folder)))

    async def _pause_during_a_start(self, cluster: Cluster) -> None:
        overlaps = Overlaps(cluster.workers)
        paused: list[EmulatedWorker] = []

        def pause_agent(worker: EmulatedWorker) -> None:
            if not paused:
                paused.append(worker)
                cluster.agents[cluster.workers.index(worker)].signal(signal.SIGSTOP)
            for other in cluster.workers:
                other.is_unresponsive = False

        for worker in cluster.workers:
            worker.on_order = pause_agent
        job = asyncio.create_task(submit(cluster, JOB.format(2), text=make_text(3.0)))
        await wait_until(lambda: any(w.started for w in cluster.workers), "the task to run")
        self.assertEqual([], paused[0].started)
        cluster.agents[cluster.workers.index(paused[0])].signal(signal.SIGCONT)
        await settle()
        self.assertEqual(200, (await job).status)
        self.assertEqual([], overlaps.found)


async def wait_until_served(cluster: Cluster) -> None:
    """Wait until the entry knows that all workers accept starts."""
    while True:
        state = await cluster.get_state(cluster.entries[0])
        workers = state["workers"].values() if state else ()
        if sum(worker["is_accepting"] for worker in workers) == len(cluster.workers):
            return
        await asyncio.sleep(0.1)


async def submit(cluster: Cluster, job_id: str, *, text: str) -> Any:
    """Submit a job of one task that uses a whole worker, and wait for its response."""
    return await cluster.client.request(
        "POST",
        f"http://{cluster.callers[0]}{PREFIX}{job_id}",
        body=make_body(text=text, cpu=WHOLE_CPU),
        headers={"Host": HOST},
        timeout_s=15.0,
    )
