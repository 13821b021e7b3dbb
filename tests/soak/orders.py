"""Faults around starts and stops: calls to workers fail while agents and entries are paused."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from dalemast.emulator import CallFates, CallKind, CallRecord, EmulatedWorker
from tests.soak.cluster import Cluster, Program

FAULT_PAUSE_S = (0.1, 1.5)
"""Range of times between the beginnings of two faults."""
CALL_FAULTS_S = (0.5, 4.0)
"""Range of times for which calls to a worker fail."""
PROCESS_PAUSE_S = (0.5, 2.8)
"""Range of process pauses, around the 1.2 s after which owners restart lost tasks."""
CUT_S = (0.5, 2.5)
START_WAIT_S = 2.0
"""Maximum wait of a fault for a start to coincide with."""
AFTER_START_S = 0.05
"""Maximum time from the arrival of a start at a worker to the pause of its agent, about the timeout
of the agent's first attempt."""


class OrderFaults:
    """Injects overlapping faults, drawn independently of other faults."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(f"orders of {seed}")
        self._started: dict[EmulatedWorker, asyncio.Event] = {}
        self.injected: list[str] = []
        """Names of the injected faults, in order."""

    def handle_call(self, worker: EmulatedWorker, record: CallRecord) -> None:
        """Record that a call has reached a worker."""
        if record.kind is CallKind.START and worker in self._started:
            self._started[worker].set()

    async def inject_for(self, seconds: float) -> None:
        """Inject faults for a while; return when all are over."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end_at:
            fault = self._rng.choice(self._get_faults())
            self.injected.append(fault.__name__)
            # A generator for each fault, so that draws do not depend on how faults interleave.
            rng = random.Random(self._rng.random())
            running.add(asyncio.create_task(fault(rng)))
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*running)

    def _get_faults(self) -> list[Callable[[random.Random], Coroutine[Any, Any, None]]]:
        return [
            self._fail_calls,
            self._pause_during_starts,
            self._pause_during_starts,
            self._pause_several,
            self._cut_links,
            self._cut_links,
        ]

    @staticmethod
    def _draw_fates(rng: random.Random) -> CallFates:
        """Draw the shares of failing calls, 0.9 in total at most."""
        shares = [rng.choice([0.0, rng.uniform(0.0, 0.5)]) for _ in range(4)]
        scale = min(1.0, 0.9 / max(sum(shares), 0.1))
        answered_late, unanswered, done_late, lost = (share * scale for share in shares)
        return CallFates(
            answered_late=answered_late, unanswered=unanswered, done_late=done_late, lost=lost
        )

    def _set_fates(self, worker: EmulatedWorker, rng: random.Random) -> None:
        """Make starts and stops of a worker fail, and sometimes its polls."""
        looks = self._draw_fates(rng) if rng.random() < 0.3 else CallFates()
        worker.set_faults(starts=self._draw_fates(rng), stops=self._draw_fates(rng), looks=looks)

    @staticmethod
    def _heal(worker: EmulatedWorker) -> None:
        worker.set_faults(starts=CallFates(), stops=CallFates(), looks=CallFates())

    @staticmethod
    def _pick_some(count: int, rng: random.Random) -> list[int]:
        """Return a random selection of indexes of workers and agents, at least one."""
        return rng.sample(range(count), rng.randint(1, count))

    async def _fail_calls(self, rng: random.Random) -> None:
        workers = [
            self._cluster.workers[n] for n in self._pick_some(len(self._cluster.workers), rng)
        ]
        for worker in workers:
            self._set_fates(worker, rng)
        await asyncio.sleep(rng.uniform(*CALL_FAULTS_S))
        for worker in workers:
            self._heal(worker)

    async def _pause_during_starts(self, rng: random.Random) -> None:
        """Pause agents just after a start has reached the worker of one of them."""
        chosen = self._pick_some(len(self._cluster.agents), rng)
        workers = [self._cluster.workers[n] for n in chosen]
        for worker in workers:
            self._set_fates(worker, rng)
        await self._wait_for_start(workers[0])
        await asyncio.sleep(rng.uniform(0.0, AFTER_START_S))
        await self._pause_programs([self._cluster.agents[n] for n in chosen], rng)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for worker in workers:
            self._heal(worker)

    async def _wait_for_start(self, worker: EmulatedWorker) -> None:
        started = self._started[worker] = asyncio.Event()
        try:
            await asyncio.wait_for(started.wait(), START_WAIT_S)
        except TimeoutError:
            # No start arrived in time: the agent is paused without one in progress.
            return

    async def _pause_several(self, rng: random.Random) -> None:
        """Pause entries and agents at the same time while calls fail."""
        programs = [*self._cluster.entries, *self._cluster.agents]
        chosen = rng.sample(programs, rng.randint(2, len(programs) - 1))
        await asyncio.gather(self._fail_calls(rng), self._pause_programs(chosen, rng))

    async def _pause_programs(self, programs: list[Program], rng: random.Random) -> None:
        """Pause processes together; resume them together or one after another."""
        for program in programs:
            program.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*PROCESS_PAUSE_S))
        pause_s = rng.choice([0.0, 0.1])
        for program in programs:
            program.signal(signal.SIGCONT)
            await asyncio.sleep(pause_s)

    async def _cut_links(self, rng: random.Random) -> None:
        """Cut an entry off from some agents and peers while calls fail."""
        link = rng.choice(self._cluster.links)
        failing = asyncio.create_task(self._fail_calls(rng))
        link.cut_some(rng.uniform(0.3, 1.0), rng)
        await asyncio.sleep(rng.uniform(*CUT_S))
        link.heal()
        await failing
