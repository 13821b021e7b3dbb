"""Callers that cancel their jobs, and the check that nothing of these starts or runs on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from dalemast.emulator import EmulatedWorker
from dalemast.http.client import HttpFailure
from dalemast.platform.wire import DEADLINE_HEADER
from tests.fleet.base import HOST
from tests.soak.callers import LONG_JOBS, SHORT_JOBS, Caller
from tests.soak.cluster import Cluster
from tests.soak.report import Report

__all__ = ["CANCELLED_KINDS", "CancellingCaller", "Cancellations"]

CANCELLED_KINDS = (LONG_JOBS, LONG_JOBS, LONG_JOBS, SHORT_JOBS)
"""Kinds of the jobs that are cancelled, one for each caller."""
CANCEL_S = 3.0
"""Time after the acknowledgement within which tasks may still be started; a platform rule."""
STOP_S = 0.05
"""Time after :data:`CANCEL_S` within which runs must have ended; a platform rule."""
LATE_START_S = 3.0
"""Time after its start within which a run that a worker began late must be stopped."""
CHECK_INTERVAL_S = 0.02
TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.2
ACKNOWLEDGED = (200, 410)
AT_ONCE_S = 0.02
"""Maximum delay after a submission of a cancellation that may overtake it."""
CANCEL_WITHIN_S = 4.0
AT_ONCE_SHARE = 0.3
RESUBMITS_SHARE = 0.5
"""Share of the callers that resubmit a job without an answer after they have cancelled it."""


@dataclass(kw_only=True)
class CancelledJob:
    """A job whose cancellation was acknowledged, and the entries that were up then."""

    acknowledged_at: float
    witnesses: dict[str, int | None]


@dataclass(kw_only=True)
class Cancellations:
    """Checks the starts and the runs of cancelled jobs. Times are the event loop's."""

    cluster: Cluster
    report: Report
    _jobs: dict[str, CancelledJob] = field(default_factory=dict)
    _started_at: dict[tuple[str, str], float] = field(default_factory=dict)
    """Start times of the latest runs, by worker and task."""
    _checked_at: float = 0.0

    def note_acknowledged(self, job_id: str) -> None:
        """Record that the cancellation of a job was acknowledged."""
        witnesses = {entry.name: entry.pid for entry in self.cluster.entries if entry.pid}
        now = asyncio.get_running_loop().time()
        self._jobs[job_id] = CancelledJob(acknowledged_at=now, witnesses=witnesses)
        self.report.cancelled += 1

    def check_start(self, worker: EmulatedWorker, task: str) -> None:
        """Check the start of a task."""
        now = asyncio.get_running_loop().time()
        self._started_at[worker.worker_id, task] = now
        job = self._jobs.get(task.partition(".")[0])
        if job is None or not self._has_witness(job):
            return
        after_s = now - job.acknowledged_at
        if after_s > CANCEL_S + self._get_lag_s(now):
            self.report.broken.append(f"{task} started {after_s:.3f} s after it was cancelled")

    async def watch(self) -> None:
        """Check the active runs at short intervals; run until cancelled."""
        loop = asyncio.get_running_loop()
        self._checked_at = loop.time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = loop.time()
            lag_s = self._get_lag_s(now)
            self._checked_at = now
            if lag_s <= CHECK_INTERVAL_S:
                self._check_runs(now)

    def _check_runs(self, now: float) -> None:
        for worker in self.cluster.workers:
            for task in worker.active_tasks:
                job = self._jobs.get(task.partition(".")[0])
                if job is None or not self._has_witness(job):
                    continue
                ends_by = job.acknowledged_at + CANCEL_S
                started_at = self._started_at.get((worker.worker_id, task), 0.0)
                if started_at > job.acknowledged_at:
                    ends_by = max(ends_by, started_at + LATE_START_S)
                if now > ends_by + STOP_S + 2 * CHECK_INTERVAL_S:
                    after_s = now - job.acknowledged_at
                    self.report.broken.append(f"{task} runs {after_s:.3f} s after it was cancelled")
                    job.witnesses.clear()

    def _get_lag_s(self, now: float) -> float:
        """Return for how long this process, which plays the workers, may have stood still."""
        return max(0.0, now - self._checked_at - CHECK_INTERVAL_S)

    def _has_witness(self, job: CancelledJob) -> bool:
        """Return whether any entry has been up since the acknowledgement.

        Cancelled ids are kept in the memory of entries.
        """
        return any(
            entry.pid is not None and job.witnesses.get(entry.name) == entry.pid
            for entry in self.cluster.entries
        )


class CancellingCaller(Caller):
    """A caller that cancels each of its jobs at a random entry until this is acknowledged."""

    _cancels = True

    def __init__(self, *, cancellations: Cancellations, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._cancellations = cancellations
        self._cancel_rng = random.Random(f"cancels {self._number} of {self._report.seed}")
        self._resubmits = True

    async def _run_job(self, job_id: str) -> None:
        """Submit a job, and cancel it in the meantime."""
        self._resubmits = True
        is_at_once = self._cancel_rng.random() < AT_ONCE_SHARE
        delay_s = self._cancel_rng.uniform(0.0, AT_ONCE_S if is_at_once else CANCEL_WITHIN_S)
        cancelling = asyncio.create_task(self._cancel(job_id, delay_s))
        await super()._run_job(job_id)
        await cancelling

    def _should_resubmit(self) -> bool:
        return self._resubmits

    async def _cancel(self, job_id: str, delay_s: float) -> None:
        """Request that a job is cancelled, again until it is acknowledged."""
        await asyncio.sleep(delay_s)
        self._resubmits = self._cancel_rng.random() < RESUBMITS_SHARE
        while True:
            address = self._cancel_rng.choice(self._cluster.callers)
            url = f"http://{address}{self._kind.prefix}{job_id}"
            headers = {"Host": HOST, DEADLINE_HEADER: str(round(TIMEOUT_S * 1000))}
            try:
                response = await self._cluster.client.request(
                    "DELETE", url, headers=headers, timeout_s=TIMEOUT_S
                )
            except HttpFailure:
                response = None
            if response is not None and response.status in ACKNOWLEDGED:
                self._cancellations.note_acknowledged(job_id)
                return
            await asyncio.sleep(RETRY_DELAY_S)
