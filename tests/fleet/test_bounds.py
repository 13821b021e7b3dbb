"""Runs end by themselves when their owner is out of reach, whatever gets lost on the way.

A task ran twice at once, in two ways. In the first, an agent lost its owner and stopped the owner's
runs; one of four stops got no answer ("stop:unanswered, no answer in time", 14.64 s). A stop was
said again once the run's progress was older than 0.15 s, and a run of 9 s makes progress at nearly
each look. So nothing stopped it until 15.451 s, while the agent's looks kept renewing the worker's
lease; by then its owner had taken it as over and started the task elsewhere, at 15.416 s.

In the second, an agent stood still while it ordered starts. Run 2 of both tasks began elsewhere at
28.584 s, as their owner had lost the agent for long enough. The agent went on at 28.600 s, and its
further tries at run 1, 41 ms apart, carried a lease from that moment on: the worker took them.
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
"""Longer than an owner waits for what it has lost, 1.62 s from its last word on."""
WHOLE_CPU = 8000
"""What a worker of the cluster has, so that a task of this size has it to itself."""


class Overlaps:
    """Notes each start of a task that runs elsewhere at that moment."""

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


class StrayTests(AsyncTestCase):
    """A run that begins late, when nobody counts on it any more, is stopped; the others go on.

    The agent took its worker back for as long as the late run went on, and told entries of it anew
    without a word of the others. Their owners counted them as over and ran them elsewhere.
    """

    def test_what_runs_beside_a_late_run_is_not_run_again(self) -> None:
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
    """Let a worker begin a run that its agent does not know."""
    late = Order(
        task=f"{job_id}.0.0.0",
        run=1,
        until_s=worker._now() + 0.5,
        fence=worker._runs._fence,
        run_s=5.0,
    )
    assert not worker._runs.start(late, now=worker._now())


class TwoLinksTests(AsyncTestCase):
    def test_what_is_under_way_on_an_earlier_link_is_not_taken(self) -> None:
        """What the agent tells of its runs on the new one says nothing of it."""

        async def scenario() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (earlier,) = owners._sessions.values()
                link = mock.Mock(is_open=True, sent_at=0.0, received_at=clock.monotonic())
                later = OwnerSession(link=link, links=owners)
                assert earlier.member is not None
                later.receive([EntryHello(member=to_row(earlier.member))])
                self.assertFalse(earlier.link.is_open)

        self.run_async(scenario())


class MuteWorker(EmulatedWorker):
    """A worker that leaves starts unanswered, and undone, until it is told to take them."""

    is_mute = True
    on_order: Callable[[EmulatedWorker], None]

    async def _start_run(self, call: dict[str, Any]) -> Any:
        if self.is_mute:
            self.on_order(self)
            await asyncio.Event().wait()
        return await super()._start_run(call)


class FrozenAgentTests(AsyncTestCase):
    def test_an_agent_that_stood_still_does_not_go_on_with_its_orders(self) -> None:
        self._play(self._freeze_in_an_order)

    def _play(self, scenario: Callable[[Cluster], Awaitable[None]]) -> None:
        async def run(folder: Path) -> None:
            with mock.patch("tests.soak.cluster.EmulatedWorker", MuteWorker):
                cluster = Cluster(folder=folder, entries=1, workers=2)
                await cluster.start()
                try:
                    await wait_until_served(cluster)
                    await scenario(cluster)
                finally:
                    await cluster.close()

        with TemporaryDirectory() as folder:
            self.run_async(run(Path(folder)))

    async def _freeze_in_an_order(self, cluster: Cluster) -> None:
        overlaps = Overlaps(cluster.workers)
        frozen: list[EmulatedWorker] = []

        def freeze_agent(worker: EmulatedWorker) -> None:
            if not frozen:
                frozen.append(worker)
                cluster.agents[cluster.workers.index(worker)].signal(signal.SIGSTOP)
            for other in cluster.workers:
                other.is_mute = False

        for worker in cluster.workers:
            worker.on_order = freeze_agent
        job = asyncio.create_task(submit(cluster, JOB.format(2), text=make_text(3.0)))
        await wait_until(lambda: any(w.started for w in cluster.workers), "the task to run")
        self.assertEqual([], frozen[0].started)
        cluster.agents[cluster.workers.index(frozen[0])].signal(signal.SIGCONT)
        await settle()
        self.assertEqual(200, (await job).status)
        self.assertEqual([], overlaps.found)


async def wait_until_served(cluster: Cluster) -> None:
    """Wait until the entry sees that all workers take tasks."""
    while True:
        state = await cluster.get_state(cluster.entries[0])
        workers = state["workers"].values() if state else ()
        if sum(worker["is_accepting"] for worker in workers) == len(cluster.workers):
            return
        await asyncio.sleep(0.1)


async def submit(cluster: Cluster, job_id: str, *, text: str) -> Any:
    """Submit a job of one task that takes a whole worker, and wait for its answer."""
    return await cluster.client.request(
        "POST",
        f"http://{cluster.callers[0]}{PREFIX}{job_id}",
        body=make_body(text=text, cpu=WHOLE_CPU),
        headers={"Host": HOST},
        timeout_s=15.0,
    )
