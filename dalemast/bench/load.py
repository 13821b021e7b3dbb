"""The open-loop load generator: each job is sent when it is due, however late others are."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from dalemast.bench.workload import Arrival
from dalemast.callers import Caller, NoAnswer

__all__ = ["JobRecord", "LoadGenerator", "run_load"]

FIRST_TICKETS = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """What came of one job. Times are seconds.

    ``response_s`` counts from the moment the job was due, so that a sender that falls behind is not
    a sender that hides waiting. ``link_s`` is the caller's own link, both ways.
    """

    arrival: Arrival
    response_s: float
    link_s: float
    outcome: str
    code: str
    run: str
    sends: int
    answers: int

    @property
    def is_complete(self) -> bool:
        """Whether the job has all its answers."""
        return self.outcome == "complete"

    @property
    def is_late(self) -> bool:
        """Whether a complete answer came after the deadline and the caller's own link."""
        return self.is_complete and self.response_s > self.arrival.deadline_s + self.link_s

    @property
    def ideal_s(self) -> float:
        """The longest task and the caller's link: what no dispatch could be spared."""
        return self.arrival.longest_s + self.link_s


class LoadGenerator:
    """Sends a list of arrivals to entries in turn."""

    def __init__(
        self, *, addresses: Sequence[str], link_delay_s: float, is_claiming: bool = False
    ) -> None:
        self._addresses = tuple(addresses)
        self._link_delay_s = link_delay_s
        self._is_claiming = is_claiming
        self._callers: dict[tuple[str, str], Caller] = {}
        self.ticket_requests = 0

    def get_caller(self, account: str, address: str) -> Caller:
        """Return the caller of an account at an entry."""
        key = (account, address)
        if key not in self._callers:
            self._callers[key] = Caller(
                addresses=(address,), token=f"{account}-token", is_claiming=self._is_claiming
            )
        return self._callers[key]

    async def prepare(self, accounts: Sequence[str]) -> None:
        """Fetch the first tickets, before the clock starts."""
        if self._is_claiming:
            return
        for account in accounts:
            for address in self._addresses:
                await self.get_caller(account, address).fetch_tickets(FIRST_TICKETS)
                self.ticket_requests += 1

    async def run(self, arrivals: Sequence[Arrival], *, started_at: float) -> list[JobRecord]:
        """Send every job when it is due and wait for all answers.

        ``started_at`` is on the machine's monotonic clock, which all processes share.
        """
        await self.prepare(sorted({arrival.account for arrival in arrivals}))
        tasks = []
        for number, arrival in enumerate(arrivals):
            due_at = started_at + arrival.at_s
            delay = due_at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            address = self._addresses[number % len(self._addresses)]
            tasks.append(asyncio.create_task(self._send(arrival, address, due_at)))
        return list(await asyncio.gather(*tasks))

    async def _send(self, arrival: Arrival, address: str, due_at: float) -> JobRecord:
        caller = self.get_caller(arrival.account, address)
        await asyncio.sleep(self._link_delay_s)
        try:
            answer = await caller.submit(make_body(arrival))
        except NoAnswer as error:
            return self._record(arrival, due_at, "lost", error.code, error.run.value, 0, 0)
        await asyncio.sleep(self._link_delay_s)
        body = answer.body
        code = "" if answer.is_complete else body["error"]["code"]
        return self._record(
            arrival,
            due_at,
            body["outcome"],
            code,
            body["run"],
            answer.sends,
            len(body.get("answers", ())),
        )

    def _record(
        self,
        arrival: Arrival,
        due_at: float,
        outcome: str,
        code: str,
        run: str,
        sends: int,
        answers: int,
    ) -> JobRecord:
        return JobRecord(
            arrival=arrival,
            response_s=time.monotonic() - due_at,
            link_s=2 * self._link_delay_s,
            outcome=outcome,
            code=code,
            run=run,
            sends=sends,
            answers=answers,
        )


def run_load(
    addresses: Sequence[str],
    link_delay_s: float,
    is_claiming: bool,
    arrivals: Sequence[Arrival],
    started_at: float,
) -> tuple[list[JobRecord], int]:
    """Run one generator in a process of its own; return the records and the ticket requests."""
    generator = LoadGenerator(
        addresses=addresses, link_delay_s=link_delay_s, is_claiming=is_claiming
    )
    records = asyncio.run(generator.run(arrivals, started_at=started_at))
    return records, generator.ticket_requests


def make_body(arrival: Arrival) -> bytes:
    """Return the body of a job."""
    return msgspec.json.encode(
        {
            "service": arrival.service,
            "selector": arrival.selector,
            "deadline_ms": int(arrival.deadline_s * 1000),
            "repeatable": False,
            "tasks": [{"payload": {"ms": round(run_s * 1000, 3)}} for run_s in arrival.run_s],
        }
    )
