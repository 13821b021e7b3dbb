"""A Python client for callers.

Each response contains the ticket for the next job, so a job takes one request. If a connection is
lost, the client resubmits with the same ticket to the next address, which never starts the job a
second time.
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

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.2
DEFAULT_TIMEOUT_S = 150.0


class NoAnswer(DalemastError):
    """No entry responded to any attempt to submit the job."""

    code = "E1961"
    status = 504
    default_run = Run.MAY_HAVE_RUN
    hint = "Keep the ticket: the same submission can be sent again at any time."


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """Result of a job. ``elapsed_s`` is the time from the first attempt to the response."""

    status: int
    body: dict[str, Any]
    elapsed_s: float
    sends: int
    retry_after_s: float

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of the job succeeded."""
        return self.body.get("outcome") == "complete"


class Caller:
    """Submits jobs of one account over persistent connections.

    ``addresses`` are those of entries or of their load balancer. With ``is_claiming``, each job is
    submitted with an idempotency key instead of a ticket, which costs the platform a write.
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
        self._url_index = 0

    async def fetch_tickets(self, count: int) -> None:
        """Fetch several tickets, for jobs that are submitted concurrently."""
        response = await self._post("/v1/tickets", msgspec.json.encode({"count": count}), {})
        self._tickets += msgspec.json.decode(response.body)["tickets"]

    async def submit(self, body: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> CallerAnswer:
        """Submit a job and return its result, complete or failed.

        Raise :class:`NoAnswer` if no entry responded.
        """
        headers = await self._get_submission_headers()
        started_at = clock.monotonic()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                response = await self._post("/v1/jobs", body, headers, timeout_s)
            except HttpFailure:
                self._url_index += 1
                await asyncio.sleep(RETRY_DELAY_S * attempt)
                continue
            return self._make_answer(response, clock.monotonic() - started_at, attempt)
        raise NoAnswer(f"no response in {MAX_ATTEMPTS} attempts")

    async def _get_submission_headers(self) -> dict[str, str]:
        if self._is_claiming:
            return {"Idempotency-Key": secrets.token_hex(16)}
        if not self._tickets:
            await self.fetch_tickets(1)
        return {"Submission-Ticket": self._tickets.pop()}

    def _make_answer(self, response: JsonResponse, elapsed_s: float, sends: int) -> CallerAnswer:
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
        url = self._urls[self._url_index % len(self._urls)]
        return await self._client.request(
            "POST", url + path, body=body, headers={**self._headers, **headers}, timeout_s=timeout_s
        )
