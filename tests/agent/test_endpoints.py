"""Each task is sent to its endpoint once, whatever happens to the connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from dalemast.agent.endpoints import HttpEndpoint
from dalemast.core.gate import RunTask, TaskOutcome
from dalemast.core.gate.base import OutcomeKind
from tests.base import AsyncTestCase

Handler = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


class RawEndpoint:
    """A TCP server that counts complete requests and responds to each with a given function."""

    def __init__(self, answer: Handler) -> None:
        self._answer = answer
        self.requests = 0

    async def __aenter__(self) -> RawEndpoint:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        return self

    async def __aexit__(self, *error: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                body = await reader.readexactly(length)
                self.requests += 1
                await self._answer(body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def make_response(status: str, body: bytes) -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


async def respond_well(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(make_response("200 OK", b"[1]"))


async def respond_with_status_500(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(make_response("500 Broken", b"oh"))


async def respond_without_json(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(make_response("200 OK", b"<html>"))


async def redirect(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 307 Away\r\nLocation: /\r\nContent-Length: 0\r\n\r\n")


async def close_without_response(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def close_mid_response(body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n[1")
    await writer.drain()
    writer.close()


async def never_respond(body: bytes, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


CASES: list[tuple[str, Handler, OutcomeKind]] = [
    ("a good answer", respond_well, OutcomeKind.ANSWERED),
    ("status 500", respond_with_status_500, OutcomeKind.FAILED),
    ("no JSON", respond_without_json, OutcomeKind.FAILED),
    ("a redirect", redirect, OutcomeKind.FAILED),
    ("closes after reading", close_without_response, OutcomeKind.FAILED),
    ("closes in the middle of the answer", close_mid_response, OutcomeKind.FAILED),
    ("never responds", never_respond, OutcomeKind.FAILED),
]

TASK = RunTask(owner="o", job=1, index=0, service="s", payload=msgspec.Raw(b"1"))


class EndpointTests(AsyncTestCase):
    def test_each_response_has_its_outcome_after_one_request(self) -> None:
        async def run() -> None:
            for what, answer, kind in CASES:
                async with RawEndpoint(answer) as server:
                    outcome = await self.call(server.url)
                    self.assertEqual(outcome.kind, kind, what)
                    self.assertEqual(server.requests, 1, what)

        self.run_async(run())

    def test_endpoint_that_dies_on_a_used_connection_sees_the_task_once(self) -> None:
        """Guard against a client that repeats a request when a reused connection is dead."""

        async def run() -> None:
            seen = []

            async def respond_then_close(body: bytes, writer: asyncio.StreamWriter) -> None:
                seen.append(body)
                if len(seen) == 1:
                    await respond_well(body, writer)
                else:
                    writer.close()

            async with RawEndpoint(respond_then_close) as server:
                endpoint = HttpEndpoint(url=server.url, max_calls=1, max_run_s=5.0)
                first = await endpoint.run(TASK)
                second = await endpoint.run(TASK)
                self.assertEqual(first.kind, OutcomeKind.ANSWERED)
                self.assertEqual(second.kind, OutcomeKind.FAILED)
                self.assertEqual(len(seen), 2)

        self.run_async(run())

    def test_refused_connection_proves_that_the_task_did_not_run(self) -> None:
        async def run() -> None:
            async with RawEndpoint(respond_well) as server:
                url = server.url
            outcome = await self.call(url)
            self.assertEqual(outcome.kind, OutcomeKind.UNREACHABLE)

        self.run_async(run())

    async def call(self, url: str) -> TaskOutcome:
        return await HttpEndpoint(url=url, max_calls=1, max_run_s=1.0).run(TASK)
