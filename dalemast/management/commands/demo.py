"""``dalemast demo``: seat draws for the tables of a tournament."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from dalemast import clock
from dalemast.callers import Caller, CallerAnswer
from dalemast.http.client import JsonClient
from dalemast.local import LocalProcess
from dalemast.management.output import ExitCode, print_table

__all__ = ["DemoCommand"]

PLAYERS_PER_TABLE = 9
FREE_ADDRESS = "127.0.0.1:0"
TASK_DURATION_S = 0.05
"""Duration added to each seat draw."""


@cappa.command(name="demo", help="Run a table break: one job of seat draws for every table.")
@dataclass(frozen=True, kw_only=True)
class DemoCommand:
    """Start all processes in one event loop, submit a job over HTTP and print its result."""

    tables: Annotated[int, cappa.Arg(long=True, help="How many tables break.")] = 40

    def __call__(self) -> int:
        """Run the demo."""
        return asyncio.run(self._run())

    async def _run(self) -> int:
        started_at = clock.monotonic()
        local = LocalProcess(callers=FREE_ADDRESS, operators=FREE_ADDRESS)
        await local.start()
        direct_s = await self._measure_direct_call(local)
        caller = Caller(addresses=(local.callers_address,), token="demo-token")
        await caller.fetch_tickets(1)
        answer = await caller.submit(self._make_job())
        print_answer(answer)
        print_figures(local, answer, direct_s, clock.monotonic() - started_at)
        await local.drain()
        await local.close()
        is_complete = answer.is_complete and len(answer.body["answers"]) == self.tables
        return ExitCode.DONE if is_complete else ExitCode.FAILED

    async def _measure_direct_call(self, local: LocalProcess) -> float:
        """Return the duration in seconds of one draw called directly at an endpoint."""
        local.samples.work_s = TASK_DURATION_S
        payload = {"table": 0, "players": get_players(0)}
        call = {"task": "ideal", "service": "seat-draw", "payload": payload}
        client = JsonClient()
        await client.request("POST", local.endpoints[0].url, body=call)
        started_at = clock.monotonic()
        await client.request("POST", local.endpoints[0].url, body=call)
        return clock.monotonic() - started_at

    def _make_job(self) -> bytes:
        tasks = [
            {"payload": {"table": table, "players": get_players(table)}}
            for table in range(1, self.tables + 1)
        ]
        return msgspec.json.encode(
            {"service": "seat-draw", "deadline_ms": 5000, "repeatable": True, "tasks": tasks}
        )


def get_players(table: int) -> list[str]:
    """Return the players of a table."""
    return [f"player-{table}-{seat}" for seat in range(1, PLAYERS_PER_TABLE + 1)]


def print_answer(answer: CallerAnswer) -> None:
    """Print the seats of every table, or the error."""
    if not answer.is_complete:
        print(answer.body)
        return
    for draw in answer.body["answers"]:
        seats = sorted(draw["seats"].items(), key=lambda pair: pair[1])
        print(f"table {draw['table']:>3}: {' '.join(f'{seat}:{name}' for name, seat in seats)}")


def print_figures(
    local: LocalProcess, answer: CallerAnswer, direct_s: float, total_s: float
) -> None:
    """Print the response time, its ratio to a direct call, and the number of messages."""
    counters = local.entries[0].engine.metrics.dump().counters
    starts = counters.get("frames.sent.starts", 0)
    answers = counters.get("frames.received.answers", 0)
    other = counters.get("frames.sent.other", 0) + counters.get("frames.received.other", 0)
    rows = [
        ("response time", f"{answer.elapsed_s * 1000:.1f} ms"),
        ("direct call of an endpoint", f"{direct_s * 1000:.1f} ms"),
        ("response time / direct call", f"{answer.elapsed_s / direct_s:.2f}"),
        ("messages with the caller", "1 request, 1 answer (and 2 for the first ticket)"),
        ("internal messages", f"{starts} starts, {answers} answers, {other} others"),
        ("from start to answer", f"{total_s:.2f} s"),
    ]
    print_table(("figure", "value"), rows)
