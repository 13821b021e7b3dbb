"""The promises under faults on real processes: thousands of jobs, and the truth from the endpoints.

Every task of a job carries a name of its own, and the sample endpoints count each start. So what a
caller was told is compared with what happened: duplicate starts, partial answers, answers to the
wrong caller, and jobs said to be not run that ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from dalemast.bench.cluster import PROCESSES, Cluster, ClusterShape
from dalemast.http.client import HttpFailure, JsonClient, JsonResponse
from dalemast.management.output import print_table

__all__ = ["run_faults"]

ACCOUNTS = ("card", "trail")
JOBS_A_SECOND = 110.0
MAX_TASKS = 4
TASK_MS = 40
DEADLINE_MS = 8000
MAX_SENDS = 6
PAUSE_S = 0.3
SEND_LIMIT_S = 20.0
WAVE_S = 2.0
"""Seconds within which all jobs of a wave of cancellations are submitted."""


class FaultFigures(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one fault case, as a line of build/bench.jsonl. Counts are jobs or tasks."""

    scenario: str
    variant: str
    jobs: int
    complete: int
    failed_not_run: int
    failed_may_have_run: int
    failed_ran: int
    unanswered: int
    duplicate_starts: int
    partial_answers: int
    wrong_caller: int
    false_not_run: int
    changed_answers: int
    response_ms_p50: float
    response_ms_p99: float
    codes: dict[str, int]


class _Job:
    """One job, everything its caller was told, and when it was first sent and last answered."""

    def __init__(self, *, number: int, account: str, tasks: int) -> None:
        self.number = number
        self.account = account
        self.tasks = tasks
        self.answers: list[dict[str, Any]] = []
        self.elapsed_s = 0.0
        self.ticket = ""

    @property
    def names(self) -> list[str]:
        return [f"{self.account}-{self.number}-{index}" for index in range(self.tasks)]

    @property
    def body(self) -> bytes:
        payloads = [{"payload": {"name": name, "ms": TASK_MS}} for name in self.names]
        return msgspec.json.encode(
            {"service": "sleep-card", "deadline_ms": DEADLINE_MS, "tasks": payloads}
        )


class _Sender:
    """Sends jobs with tickets and sends them again, elsewhere, until an answer comes."""

    def __init__(self, cluster: Cluster, *, sends_twice: bool) -> None:
        self._cluster = cluster
        self._client = JsonClient()
        self._sends_twice = sends_twice
        self._tickets: dict[tuple[str, str], list[str]] = {}

    async def run(self, jobs: Sequence[_Job], rate: float) -> None:
        rng = random.Random(5)
        started_at = time.monotonic()
        due_s = 0.0
        tasks = []
        for job in jobs:
            due_s += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, started_at + due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._send_job(job)))
        await asyncio.gather(*tasks)

    async def _send_job(self, job: _Job) -> None:
        addresses = self._cluster.caller_addresses
        home = addresses[job.number % len(addresses)]
        other = addresses[(job.number + 1) % len(addresses)]
        started_at = time.monotonic()
        ticket = await self._get_ticket(job.account, home, other)
        if ticket is None:
            return
        job.ticket = ticket
        sends = [self._send(job, ticket, home, other)]
        if self._sends_twice:
            sends.append(self._send(job, ticket, other, home))
        await asyncio.gather(*sends)
        job.elapsed_s = time.monotonic() - started_at

    async def cancel(self, jobs: Sequence[_Job]) -> None:
        """Cancel jobs by the tickets they were submitted under, all at once."""
        await asyncio.gather(*(self._cancel(job) for job in jobs))

    async def _cancel(self, job: _Job) -> None:
        if not job.ticket:
            return
        addresses = self._cluster.caller_addresses
        with contextlib.suppress(HttpFailure):
            response = await self._client.request(
                "DELETE",
                f"http://{addresses[job.number % len(addresses)]}/v1/jobs/{job.ticket}",
                headers={"Authorization": f"Bearer {job.account}-token"},
                timeout_s=SEND_LIMIT_S,
            )
            job.answers.append(msgspec.json.decode(response.body))

    async def _send(self, job: _Job, ticket: str, first: str, second: str) -> None:
        for attempt in range(MAX_SENDS):
            address = (first, second)[attempt % 2]
            with contextlib.suppress(HttpFailure):
                response = await self._post(
                    job.account, address, "/v1/jobs", job.body, {"Submission-Ticket": ticket}
                )
                body = msgspec.json.decode(response.body)
                job.answers.append(body)
                self._keep(job.account, address, body.get("next_ticket"))
                return
            await asyncio.sleep(PAUSE_S)

    def _keep(self, account: str, address: str, ticket: str | None) -> None:
        if ticket:
            self._tickets.setdefault((account, address), []).append(ticket)

    async def _get_ticket(self, account: str, home: str, other: str) -> str | None:
        """Fetch tickets, from the other entry while the first does not answer.

        A ticket that was issued before its entry died is as good as lost; a caller cannot know.
        """
        kept = self._tickets.setdefault((account, home), [])
        for attempt in range(MAX_SENDS):
            if kept:
                return kept.pop()
            with contextlib.suppress(HttpFailure):
                address = (home, other)[attempt % 2]
                body = b'{"count": 20}'
                response = await self._post(account, address, "/v1/tickets", body, {})
                kept += msgspec.json.decode(response.body).get("tickets", [])
                continue
            await asyncio.sleep(PAUSE_S)
        return None

    async def _post(
        self, account: str, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> JsonResponse:
        return await self._client.request(
            "POST",
            f"http://{address}{path}",
            body=body,
            headers={"Authorization": f"Bearer {account}-token", **headers},
            timeout_s=SEND_LIMIT_S,
        )


Disturbance = Callable[[Cluster, float], Awaitable[None]]


async def _kill_worker(cluster: Cluster, seconds: float) -> None:
    """Kill two agents, a third of the run apart, and start each again a second later."""
    for agent in cluster.agents[:2]:
        await asyncio.sleep(seconds / 3)
        agent.signal(signal.SIGKILL)
        agent.wait(5.0)
        await asyncio.sleep(1.0)
        agent.start()


async def _kill_entry(cluster: Cluster, seconds: float) -> None:
    """Kill an entry in the middle of the run and start it again a second later."""
    await asyncio.sleep(seconds / 2)
    cluster.entries[1].signal(signal.SIGKILL)
    cluster.entries[1].wait(5.0)
    await asyncio.sleep(1.0)
    cluster.entries[1].start()


async def _pause_agent(cluster: Cluster, seconds: float) -> None:
    """Stop an agent for 5 s and wake it."""
    await asyncio.sleep(seconds / 3)
    cluster.agents[0].signal(signal.SIGSTOP)
    await asyncio.sleep(5.0)
    cluster.agents[0].signal(signal.SIGCONT)


async def _store_down(cluster: Cluster, seconds: float) -> None:
    """Take the store down for 30 s, or for most of a shorter run."""
    await asyncio.sleep(1.0)
    await cluster.set_faults(is_down=True)
    await asyncio.sleep(min(30.0, seconds - 2.0))
    await cluster.set_faults(is_down=False)


async def _store_slow(cluster: Cluster, seconds: float) -> None:
    """Let the store take 2 s for each answer."""
    await cluster.set_faults(delay_s=2.0)


async def _nothing(cluster: Cluster, seconds: float) -> None:
    """Disturb nothing."""


CASES: dict[str, tuple[Disturbance, bool]] = {
    "calm": (_nothing, False),
    "worker-killed": (_kill_worker, False),
    "entry-killed": (_kill_entry, False),
    "agent-paused": (_pause_agent, False),
    "store-down": (_store_down, False),
    "store-slow": (_store_slow, False),
    "resubmitted": (_nothing, True),
    "cancelled-half": (_nothing, False),
}
"""Each case with what goes wrong, and whether each job is sent to two entries at once."""


def run_faults(output: str, jobs: int = 2600) -> int:
    """Run every case; return 0 when nothing that must hold was broken."""
    lines = asyncio.run(_run_cases(output, jobs))
    print_table(FaultFigures.__struct_fields__, [msgspec.structs.astuple(line) for line in lines])
    return 0 if all(_is_sound(line) for line in lines) else 1


def _is_sound(line: FaultFigures) -> bool:
    return not (
        line.duplicate_starts
        or line.partial_answers
        or line.wrong_caller
        or line.false_not_run
        or line.changed_answers
    )


async def _run_cases(output: str, jobs: int) -> list[FaultFigures]:
    lines = []
    for name in CASES:
        line = await run_case(name, jobs)
        lines.append(line)
        with Path(output).open("ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")
        print(f"{name}: {line.complete}/{line.jobs} complete, {line.codes}", flush=True)
    return lines


async def run_case(name: str, count: int) -> FaultFigures:
    """Run one case on a fresh cluster."""
    disturb, sends_twice = CASES[name]
    cancels = name == "cancelled-half"
    rng = random.Random(11)
    jobs = [
        _Job(number=n, account=ACCOUNTS[n % 2], tasks=rng.randint(1, MAX_TASKS))
        for n in range(count)
    ]
    async with Cluster(ClusterShape()) as cluster:
        sender = _Sender(cluster, sends_twice=sends_twice)
        seconds = count / JOBS_A_SECOND
        disturbing = asyncio.create_task(disturb(cluster, seconds))
        if cancels:
            await _run_cancelled(cluster, jobs, sender)
        else:
            await sender.run(jobs, JOBS_A_SECOND)
        await disturbing
        await asyncio.sleep(1.0)
        starts = await _count_names(cluster)
    return _judge(name, jobs, starts)


async def _run_cancelled(cluster: Cluster, jobs: Sequence[_Job], sender: _Sender) -> None:
    """Send everything within a second or two, then cancel every other job at once."""
    sending = asyncio.create_task(sender.run(jobs, len(jobs) / WAVE_S))
    await asyncio.sleep(WAVE_S)
    await sender.cancel([job for job in jobs if job.number % 4 < 2])
    await sending


async def _count_names(cluster: Cluster) -> Counter[str]:
    total: Counter[str] = Counter()
    for address in cluster.sample_addresses[:PROCESSES]:
        answer = await cluster.get(address, "/control?all=1")
        total.update(answer["names"])
    return total


def _judge(name: str, jobs: Sequence[_Job], starts: Counter[str]) -> FaultFigures:
    outcomes: Counter[str] = Counter()
    codes: Counter[str] = Counter()
    wrong = partial = lies = changed = 0
    for job in jobs:
        if not job.answers:
            outcomes["unanswered"] += 1
            continue
        last = job.answers[-1]
        outcomes["complete" if last["outcome"] == "complete" else last["run"]] += 1
        if last["outcome"] != "complete":
            codes[last["error"]["code"]] += 1
        for answer in job.answers:
            wrong += _is_wrong(job, answer)
            partial += _is_partial(job, answer)
            lies += answer["run"] == "not_run" and any(starts[task] for task in job.names)
        changed += _has_changed(job)
    times = sorted(job.elapsed_s for job in jobs if job.answers)
    return FaultFigures(
        scenario="faults",
        variant=name,
        jobs=len(jobs),
        complete=outcomes["complete"],
        failed_not_run=outcomes["not_run"],
        failed_may_have_run=outcomes["may_have_run"],
        failed_ran=outcomes["ran"],
        unanswered=outcomes["unanswered"],
        duplicate_starts=sum(count - 1 for count in starts.values() if count > 1),
        partial_answers=partial,
        wrong_caller=wrong,
        false_not_run=lies,
        changed_answers=changed,
        response_ms_p50=round(times[len(times) // 2] * 1000, 1),
        response_ms_p99=round(times[int(len(times) * 0.99)] * 1000, 1),
        codes=dict(codes),
    )


def _is_partial(job: _Job, answer: dict[str, Any]) -> bool:
    wanted = job.tasks if answer["outcome"] == "complete" else 0
    return len(answer.get("answers", ())) != wanted


def _is_wrong(job: _Job, answer: dict[str, Any]) -> bool:
    if answer["outcome"] != "complete":
        return False
    return [item.get("name") for item in answer["answers"]] != job.names


def _has_changed(job: _Job) -> bool:
    """Tell whether a job was once complete and once failed with proof to the contrary."""
    complete = any(answer["outcome"] == "complete" for answer in job.answers)
    denied = any(answer["run"] == "not_run" for answer in job.answers)
    return complete and denied
