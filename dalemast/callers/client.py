"""The Python caller.

It keeps the ticket that came with the last answer, so that a job is one request and one answer.
When a connection breaks it sends the same ticket again, to the next address, which can never start
the job a second time.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass
from typing import Any

import msgspec

from dalemast import clock
from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run
from dalemast.http.client import HttpFailure, JsonClient, JsonResponse

__all__ = ["Caller", "CallerAnswer", "NoAnswer"]

MAX_SENDS = 4
PAUSE_S = 0.2
DEFAULT_TIMEOUT_S = 150.0


class NoAnswer(DalemastError):
    """No entry answered, however often the submission was sent."""

    code = "E1961"
    status = 504
    default_run = Run.MAY_HAVE_RUN
    hint = "Keep the ticket: the same submission can be sent again at any time."


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """What came of a job. ``elapsed_s`` is from the first send to the answer, in seconds."""

    status: int
    body: dict[str, Any]
    elapsed_s: float
    sends: int
    retry_after_s: float

    @property
    def is_complete(self) -> bool:
        """Whether the job has all its answers."""
        return self.body.get("outcome") == "complete"


class Caller:
    """Submits jobs of one account over kept connections.

    ``addresses`` are those of entries or of the balancer before them. With ``is_claiming`` each job
    goes under a key of the caller's own, which costs the platform a write, in place of a ticket.
    """

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        token: str,
        scheme: str = "http",
        ca_file: str = "",
        is_claiming: bool = False,
    ) -> None:
        self._urls = [f"{scheme}://{address}" for address in addresses]
        self._headers = {"Authorization": f"Bearer {token}"}
        self._client = JsonClient(ca_file=ca_file)
        self._is_claiming = is_claiming
        self._tickets: list[str] = []
        self._turn = 0

    async def fetch_tickets(self, count: int) -> None:
        """Fetch a batch of tickets, for jobs that are to go out at the same time."""
        response = await self._post("/v1/tickets", msgspec.json.encode({"count": count}), {})
        self._tickets += msgspec.json.decode(response.body)["tickets"]

    async def submit(self, body: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> CallerAnswer:
        """Submit a job and return its answer, complete or failed; raises :class:`NoAnswer`."""
        headers = await self._get_submission_headers()
        started_at = clock.monotonic()
        for attempt in range(1, MAX_SENDS + 1):
            try:
                response = await self._post("/v1/jobs", body, headers, timeout_s)
            except HttpFailure:
                self._turn += 1
                await asyncio.sleep(PAUSE_S * attempt)
                continue
            return self._take(response, clock.monotonic() - started_at, attempt)
        raise NoAnswer(f"no answer after {MAX_SENDS} sends")

    async def _get_submission_headers(self) -> dict[str, str]:
        if self._is_claiming:
            return {"Idempotency-Key": secrets.token_hex(16)}
        if not self._tickets:
            await self.fetch_tickets(1)
        return {"Submission-Ticket": self._tickets.pop()}

    def _take(self, response: JsonResponse, elapsed_s: float, sends: int) -> CallerAnswer:
        body = msgspec.json.decode(response.body)
        ticket = body.get("next_ticket")
        if ticket:
            self._tickets.append(ticket)
        return CallerAnswer(
            status=response.status,
            body=body,
            elapsed_s=elapsed_s,
            sends=sends,
            retry_after_s=float(response.retry_after or 0),
        )

    async def _post(
        self, path: str, body: bytes, headers: dict[str, str], timeout_s: float = 10.0
    ) -> JsonResponse:
        url = self._urls[self._turn % len(self._urls)]
        return await self._client.request(
            "POST", url + path, body=body, headers={**self._headers, **headers}, timeout_s=timeout_s
        )
