"""Helpers shared by the tests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import testtools

from dalemast.callers import Caller
from dalemast.http.client import JsonClient, JsonResponse
from dalemast.local import LocalProcess

TIMEOUT_S = 20.0
"""Timeout of waits for a condition; generous, so that no test depends on the machine's speed."""

POLL_S = 0.01
MAX_POLL_S = 0.02
"""Maximum time that one poll adds to the time waited."""

FREE_ADDRESS = "127.0.0.1:0"


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutines, each in a new event loop."""

    def run_async(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine and return its result."""
        return asyncio.run(asyncio.wait_for(coroutine, timeout=600))


async def wait_until(condition: Callable[[], bool], what: str = "the condition") -> None:
    """Wait until a condition holds; raise :class:`AssertionError` after a generous timeout.

    Only time in which this loop ran counts towards the timeout: on a busy host the loop, and what
    it waits for, may be paused for much longer than it sleeps.
    """
    waited_s = 0.0
    while not condition():
        if waited_s > TIMEOUT_S:
            raise AssertionError(f"timed out while waiting for {what}")
        began = time.monotonic()
        await asyncio.sleep(POLL_S)
        waited_s += min(time.monotonic() - began, MAX_POLL_S)


def make_job(service: str, *payloads: Any, **fields: Any) -> bytes:
    """Return the body of a job."""
    body = {"service": service, "tasks": [{"payload": payload} for payload in payloads]}
    return msgspec.json.encode({"deadline_ms": 20_000, **body, **fields})


class LocalSystem:
    """A context manager that runs a whole system in the current event loop."""

    def __init__(self, **arguments: Any) -> None:
        self.process = LocalProcess(
            callers=FREE_ADDRESS, operators=FREE_ADDRESS, **{"endpoints_per_hall": 1, **arguments}
        )
        self.client = JsonClient()

    async def __aenter__(self) -> LocalSystem:
        await self.process.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.process.close()

    def make_caller(self, token: str = "demo-token", entry: int = 0) -> Caller:
        """Return a caller connected to one of the entries."""
        address = self.process.entries[entry].callers_address
        return Caller(addresses=(address,), token=token)

    async def get_ticket(self, token: str = "demo-token", entry: int = 0) -> str:
        """Fetch one ticket from an entry."""
        response = await self.request("POST", "/v1/tickets", b"{}", token=token, entry=entry)
        return str(response.decode(dict[str, Any])["tickets"][0])

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        token: str = "demo-token",
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a request to the callers' listener of an entry."""
        address = self.process.entries[entry].callers_address
        authorization = {"Authorization": f"Bearer {token}"} if token else {}
        return await self.client.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={**authorization, **(headers or {})},
            timeout_s=60.0,
        )

    async def operate(self, method: str, path: str, body: object = None) -> JsonResponse:
        """Send a request to the operators' listener of the first entry."""
        address = self.process.operators_address
        return await self.client.request(method, f"http://{address}{path}", body=body)

    async def submit(
        self, body: bytes, *, ticket: str = "", key: str = "", **arguments: Any
    ) -> JsonResponse:
        """Submit a job with a ticket or an idempotency key."""
        headers = {"Submission-Ticket": ticket} if ticket else {"Idempotency-Key": key}
        return await self.request("POST", "/v1/jobs", body, headers=headers, **arguments)
