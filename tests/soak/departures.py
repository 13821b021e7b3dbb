"""Workers that leave with notice and come back, overlapping with one another and other faults."""

from __future__ import annotations

import asyncio
import random
import time

from dalemast.emulator import EmulatedWorker
from tests.soak.cluster import Cluster
from tests.soak.report import Report

DRAIN_S = 2.0
"""Time for which an agent may still start tasks on its worker after it has received the notice: the
platform's `drain_ms`."""
FAULT_PAUSE_S = (0.2, 2.0)
"""Range of pauses between two notices."""
NOTICE_S = (0.5, 5.0)
WITHDRAWN_SHARE = 0.25
OVERSTAY_SHARE = 0.4
OVERSTAY_S = (0.5, 3.0)
"""How long a worker stays after its notice has run out, in some cases."""
DOWNTIME_S = (0.2, 2.0)
UPDATE_INTERVAL_S = 0.1


class Departures:
    """Gives notices of workers, and reports starts that come too late after a notice.

    ``down`` are the workers that another fault has stopped and will restart.
    """

    def __init__(self, *, cluster: Cluster, report: Report, down: set[EmulatedWorker]) -> None:
        self._cluster = cluster
        self._report = report
        self._down = down
        self._rng = random.Random(f"departures of {report.seed}")

    async def inject_for(self, seconds: float) -> None:
        """Give notices for a while; return when all workers are up again without a notice."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end_at:
            worker = self._rng.choice(self._cluster.workers)
            rng = random.Random(self._rng.random())
            running.add(asyncio.create_task(self._give_notice(worker, rng)))
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*running)

    def check_start(self, worker: EmulatedWorker, task: str) -> None:
        """Check that a start on a worker that has given notice comes in time."""
        known_at = worker.leave_known_at
        if known_at is None or worker.state != "draining":
            return
        late_s = time.monotonic() - known_at - DRAIN_S
        if late_s > 0.0:
            line = f"{task} started {late_s:.2f} s too late on leaving worker {worker.worker_id}"
            self._report.broken.append(line)

    async def _give_notice(self, worker: EmulatedWorker, rng: random.Random) -> None:
        if worker.is_down or worker in self._down or worker.state == "draining":
            return
        self._report.faults.append("_give_notice")
        notice_s = rng.uniform(*NOTICE_S)
        stays_s = notice_s + (rng.uniform(*OVERSTAY_S) if rng.random() < OVERSTAY_SHARE else 0.0)
        is_withdrawn = rng.random() < WITHDRAWN_SHARE
        if is_withdrawn:
            stays_s *= rng.random()
        is_up = await self._count_down(worker, notice_s, stays_s)
        if not is_up or is_withdrawn:
            worker.state, worker.remaining_s = "ready", None
            return
        self._down.add(worker)
        await worker.leave()
        await asyncio.sleep(rng.uniform(*DOWNTIME_S))
        worker.state, worker.remaining_s = "ready", None
        worker.start()
        self._down.discard(worker)

    @staticmethod
    async def _count_down(worker: EmulatedWorker, notice_s: float, stays_s: float) -> bool:
        """Let a worker report its remaining time; return False if its incarnation ends."""
        incarnation, began_at = worker.life_id, time.monotonic()
        worker.state = "draining"
        while time.monotonic() < began_at + stays_s:
            worker.remaining_s = max(0.0, began_at + notice_s - time.monotonic())
            await asyncio.sleep(UPDATE_INTERVAL_S)
            if worker.is_down or worker.life_id != incarnation:
                return False
        return True
