"""Callers that submit jobs, hang up, and resubmit the same id to any entry."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

from dalemast.http.client import HttpFailure
from tests.fleet.base import HOST, PREFIX, STEP, make_text
from tests.soak.cluster import LESS_URGENT_PREFIX, Cluster
from tests.soak.report import Report

RESUBMIT_DELAY_S = 1.3
"""Delay before a caller resubmits a job without a final answer."""
TRIES = 4
REFUSALS = (429, 503)
"""Status codes that guarantee that a job has not run."""
HANG_UP_SHARE = 0.15
"""Share of the attempts, except the last, that a caller abandons while the job may run."""
MIN_TIMEOUT_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class JobKind:
    """Parameters of a caller's jobs; pairs are ranges to draw from."""

    tasks: tuple[int, int]
    run_s: tuple[float, float]
    estimate_ms: int
    timeout_s: float
    crash_s: float | None = None
    """Time from the start of a task to the crash of its worker, or None."""
    pause_s: float = 0.1
    """Maximum pause between two jobs of a caller."""
    prefix: str = PREFIX
    """Path prefix of the submissions, which determines their priority."""


SHORT_JOBS = JobKind(
    tasks=(1, 4), run_s=(0.05, 0.8), estimate_ms=STEP["estimate_ms"], timeout_s=8.0
)
LONG_JOBS = JobKind(tasks=(1, 3), run_s=(2.0, 6.0), estimate_ms=4000, timeout_s=20.0)
LESS_URGENT_JOBS = JobKind(
    tasks=(2, 4),
    run_s=(1.5, 4.0),
    estimate_ms=3000,
    timeout_s=20.0,
    prefix=LESS_URGENT_PREFIX,
)
CRASHING_JOBS = tuple(
    JobKind(
        tasks=(1, 2),
        run_s=(0.6, 1.0),
        estimate_ms=500,
        timeout_s=8.0,
        crash_s=crash_s,
        pause_s=5.0,
    )
    for crash_s in (0.01, 0.25)
)


def make_prefix(number: int) -> str:
    """Return the prefix of the ids of a caller's jobs."""
    return f"{number:04x}"


async def submit(
    cluster: Cluster, url: str, body: Any, *, timeout_s: float
) -> tuple[int | None, str]:
    """Submit a job; return the status, or None without an answer, and the state."""
    try:
        response = await cluster.client.request(
            "POST", url, body=body, headers={"Host": HOST}, timeout_s=timeout_s
        )
    except HttpFailure:
        # A refused connection does not mean that the job has not run: the client retries by itself
        # when a kept connection breaks, so the entry may have read an earlier request.
        return None, ""
    return response.status, response.decode(dict[str, Any]).get("state", "")


class Caller:
    """Submits one job after another until it is stopped, and checks the result of each.

    ``rng`` draws the jobs. Hang-ups have a generator of their own, so that they do not change the
    jobs of a seed. With ``keeps_entry`` it uses the same entry until that does not answer.
    """

    _cancels = False
    """Whether the caller cancels its jobs."""

    def __init__(
        self,
        *,
        number: int,
        kind: JobKind,
        cluster: Cluster,
        report: Report,
        rng: random.Random,
        keeps_entry: bool = False,
    ) -> None:
        self._number = number
        self._kind = kind
        self._cluster = cluster
        self._report = report
        self._rng = rng
        self._hang_up_rng = random.Random(f"caller {number} of {report.seed}")
        self._keeps_entry = keeps_entry
        self._kept = ""
        self._is_stopping = False

    def stop(self) -> None:
        """Stop after the current job."""
        self._is_stopping = True

    async def run(self) -> None:
        """Submit jobs one after another."""
        count = 0
        while not self._is_stopping:
            count += 1
            await self._run_job(f"{make_prefix(self._number)}{count:012x}")
            await asyncio.sleep(self._rng.uniform(0.0, self._kind.pause_s))

    async def _run_job(self, job_id: str) -> None:
        """Submit a job, with retries after a pause while there is no final answer."""
        tasks = self._rng.randint(*self._kind.tasks)
        run_s = self._rng.uniform(*self._kind.run_s)
        body = {
            "spec": make_text(run_s, crash_s=self._kind.crash_s),
            "steps": [{**STEP, "count": tasks, "estimate_ms": self._kind.estimate_ms}],
            "best_effort": True,
        }
        self._report.jobs += 1
        statuses = []
        for tries_left in reversed(range(TRIES)):
            timeout_s = self._draw_timeout_s(run_s) if tries_left else self._kind.timeout_s
            status, state = await self._submit(job_id, body, timeout_s)
            statuses.append(status)
            if status not in (None, 502, 504):
                break
            await asyncio.sleep(RESUBMIT_DELAY_S)
            if not self._should_resubmit():
                break
        self._check_result(job_id, tasks, statuses, state)

    def _should_resubmit(self) -> bool:
        """Return whether a job without a final answer is submitted again."""
        return True

    def _draw_timeout_s(self, run_s: float) -> float:
        if self._hang_up_rng.random() >= HANG_UP_SHARE:
            return self._kind.timeout_s
        self._report.hung_up += 1
        return self._hang_up_rng.uniform(MIN_TIMEOUT_S, run_s)

    async def _submit(self, job_id: str, body: Any, timeout_s: float) -> tuple[int | None, str]:
        address = self._rng.choice(self._cluster.callers)
        address = self._kept or address
        url = f"http://{address}{self._kind.prefix}{job_id}"
        status, state = await submit(self._cluster, url, body, timeout_s=timeout_s)
        self._kept = address if self._keeps_entry and status is not None else ""
        return status, state

    def _check_result(
        self, job_id: str, tasks: int, statuses: list[int | None], state: str
    ) -> None:
        workers = self._cluster.workers
        names = [f"{job_id}.0.0.{position}" for position in range(tasks)]
        if state == "cancelled" and not self._cancels:
            self._report.broken.append(f"{job_id} was answered as cancelled without a request")
        if state == "succeeded" and self._kind.crash_s is not None:
            self._report.broken.append(f"{job_id} succeeded though its tasks crash their workers")
        if state == "succeeded":
            self._report.succeeded += 1
            missing = [name for name in names if not any(w.has_done(name) for w in workers)]
            if missing:
                self._report.broken.append(f"{job_id} succeeded without {missing}")
        if all(status in REFUSALS for status in statuses):
            self._report.refused += 1
            self._report.refused_jobs.add(job_id)
            started = [row for w in workers for row in w.started if row[0] in names]
            if started:
                self._report.broken.append(f"{job_id} was refused as not run but ran: {started}")
