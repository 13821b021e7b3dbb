"""Faults around orders: calls to workers that go astray while agents and entries stand still."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from dalemast.emulator import CallFates, CallKind, CallRecord, EmulatedWorker
from tests.soak.cluster import Cluster, Program

STRIKE_PAUSE_S = (0.1, 1.5)
"""Between one fault's beginning and the next one's."""
ASTRAY_S = (0.5, 4.0)
"""How long the calls of a worker go astray."""
STANDSTILL_S = (0.5, 2.8)
"""How long processes are stopped: less and more than the 1.2 s after which owners begin anew."""
CUT_S = (0.5, 2.5)
START_WAIT_S = 2.0
"""How long a fault that strikes amid a start waits for one."""
AMID_START_S = 0.05
"""How soon after a start reached its worker an agent is stopped: its first try waits 0.04 s."""


class OrderFaults:
    """Strikes in series that overlap, beside all other faults, with draws of its own."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(f"orders of {seed}")
        self._started: dict[EmulatedWorker, asyncio.Event] = {}
        self.struck: list[str] = []
        """The names of the faults, in their order."""

    def take_call(self, worker: EmulatedWorker, record: CallRecord) -> None:
        """Note that a call has reached a worker."""
        if record.kind is CallKind.START and worker in self._started:
            self._started[worker].set()

    async def strike_for(self, seconds: float) -> None:
        """Strike for a while; return once all faults are over."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end_at:
            fault = self._rng.choice(self._get_faults())
            self.struck.append(fault.__name__)
            # Draws of its own for each, so that they don't depend on which one goes on first.
            rng = random.Random(self._rng.random())
            running.add(asyncio.create_task(fault(rng)))
            await asyncio.sleep(self._rng.uniform(*STRIKE_PAUSE_S))
        await asyncio.gather(*running)

    def _get_faults(self) -> list[Callable[[random.Random], Coroutine[Any, Any, None]]]:
        return [
            self._lead_astray,
            self._pause_amid_starts,
            self._pause_amid_starts,
            self._pause_several,
            self._cut_links,
            self._cut_links,
        ]

    @staticmethod
    def _draw_fates(rng: random.Random) -> CallFates:
        """Draw shares that sum up to 0.9 at most."""
        shares = [rng.choice([0.0, rng.uniform(0.0, 0.5)]) for _ in range(4)]
        scale = min(1.0, 0.9 / max(sum(shares), 0.1))
        answered_late, unanswered, done_late, lost = (share * scale for share in shares)
        return CallFates(
            answered_late=answered_late, unanswered=unanswered, done_late=done_late, lost=lost
        )

    def _set_fates(self, worker: EmulatedWorker, rng: random.Random) -> None:
        """Let a worker's starts and stops go astray, and now and then its looks."""
        looks = self._draw_fates(rng) if rng.random() < 0.3 else CallFates()
        worker.set_faults(starts=self._draw_fates(rng), stops=self._draw_fates(rng), looks=looks)

    @staticmethod
    def _heal(worker: EmulatedWorker) -> None:
        worker.set_faults(starts=CallFates(), stops=CallFates(), looks=CallFates())

    @staticmethod
    def _pick_some(count: int, rng: random.Random) -> list[int]:
        """Return some positions of workers and agents, at least one."""
        return rng.sample(range(count), rng.randint(1, count))

    async def _lead_astray(self, rng: random.Random) -> None:
        workers = [
            self._cluster.workers[n] for n in self._pick_some(len(self._cluster.workers), rng)
        ]
        for worker in workers:
            self._set_fates(worker, rng)
        await asyncio.sleep(rng.uniform(*ASTRAY_S))
        for worker in workers:
            self._heal(worker)

    async def _pause_amid_starts(self, rng: random.Random) -> None:
        """Stop agents just after a start reached the worker of one of them."""
        chosen = self._pick_some(len(self._cluster.agents), rng)
        workers = [self._cluster.workers[n] for n in chosen]
        for worker in workers:
            self._set_fates(worker, rng)
        await self._wait_for_start(workers[0])
        await asyncio.sleep(rng.uniform(0.0, AMID_START_S))
        await self._stand_still([self._cluster.agents[n] for n in chosen], rng)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for worker in workers:
            self._heal(worker)

    async def _wait_for_start(self, worker: EmulatedWorker) -> None:
        started = self._started[worker] = asyncio.Event()
        try:
            await asyncio.wait_for(started.wait(), START_WAIT_S)
        except TimeoutError:
            # No start came there meanwhile: the agent is stopped without one under way.
            return

    async def _pause_several(self, rng: random.Random) -> None:
        """Stop entries and agents at the same moment while calls go astray."""
        programs = [*self._cluster.entries, *self._cluster.agents]
        chosen = rng.sample(programs, rng.randint(2, len(programs) - 1))
        await asyncio.gather(self._lead_astray(rng), self._stand_still(chosen, rng))

    async def _stand_still(self, programs: list[Program], rng: random.Random) -> None:
        """Stop processes at once; they go on at once, or one after another."""
        for program in programs:
            program.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*STANDSTILL_S))
        pause_s = rng.choice([0.0, 0.1])
        for program in programs:
            program.signal(signal.SIGCONT)
            await asyncio.sleep(pause_s)

    async def _cut_links(self, rng: random.Random) -> None:
        """Cut an entry off from some agents and peers while stops go astray."""
        link = rng.choice(self._cluster.links)
        straying = asyncio.create_task(self._lead_astray(rng))
        link.cut_some(rng.uniform(0.3, 1.0), rng)
        await asyncio.sleep(rng.uniform(*CUT_S))
        link.heal()
        await straying
