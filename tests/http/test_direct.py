"""Calls over persistent connections, to servers that respond correctly and incorrectly."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from dalemast.http.connections import MAX_BODY_BYTES, MAX_HEAD_BYTES
from dalemast.http.direct import DirectClient
from dalemast.http.messages import HttpFailure, JsonResponse
from tests.base import AsyncTestCase

Answer = Callable[[int, asyncio.StreamWriter], Awaitable[None]]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class RawServer:
    """A TCP server that records requests and connections and responds with a given function.

    The function receives the request's number, from 0, over all connections.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self.requests: list[bytes] = []
        self.connections = 0

    async def __aenter__(self) -> RawServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                number = len(self.requests)
                self.requests.append(head + await reader.readexactly(length))
                await self._answer(number, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def respond_well(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(OK)


async def never_respond(number: int, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60.0)


def respond_with(data: bytes) -> Answer:
    async def answer(number: int, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return answer


def respond_first_with(data: bytes) -> Answer:
    async def answer(number: int, writer: asyncio.StreamWriter) -> None:
        writer.write(OK if number else data)

    return answer


async def call(client: DirectClient, timeout_s: float = 5.0, **options: Any) -> JsonResponse:
    return await client.request("POST", "/path", body={"a": 1}, timeout_s=timeout_s, **options)


class DirectClientTests(AsyncTestCase):
    def run_scenario(self, answer: Answer, scenario: Any, *, max_connections: int = 1) -> None:
        """Run a scenario with a server and a client for it."""

        async def run() -> None:
            async with RawServer(answer) as server:
                client = DirectClient(address=server.address, max_connections=max_connections)
                await scenario(server, client)
                client.close()

        self.run_async(run())

    def check_failure(self, answer: Answer, *, timeout_s: float = 5.0) -> None:
        """Check that the first call fails and the next one is served on a new connection."""

        async def scenario(server: RawServer, client: DirectClient) -> None:
            with self.assertRaises(HttpFailure) as caught:
                await call(client, timeout_s)
            self.assertFalse(caught.exception.is_unreachable)
            self.assertEqual(200, (await call(client)).status)
            self.assertEqual((2, 2), (len(server.requests), server.connections))

        self.run_scenario(answer, scenario)

    def test_calls_share_a_connection(self) -> None:
        async def scenario(server: RawServer, client: DirectClient) -> None:
            for _ in range(3):
                self.assertEqual({}, (await call(client)).decode(dict))
            self.assertEqual((3, 1), (len(server.requests), server.connections))
            self.assertIn(b'\r\n\r\n{"a":1}', server.requests[0])

        self.run_scenario(respond_well, scenario)

    def test_headers_are_sent_and_read(self) -> None:
        async def scenario(server: RawServer, client: DirectClient) -> None:
            response = await call(client, headers={"Life": "w-1"})
            self.assertEqual((503, "3"), (response.status, response.retry_after))
            self.assertIn(b"\r\nLife: w-1\r\n", server.requests[0])

        refusal = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
        self.run_scenario(respond_with(refusal), scenario)

    def test_a_response_may_arrive_byte_by_byte(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            for position in range(len(OK)):
                writer.write(OK[position : position + 1])
                await writer.drain()
                await asyncio.sleep(0)

        async def scenario(server: RawServer, client: DirectClient) -> None:
            for _ in range(2):
                self.assertEqual(b"{}", (await call(client)).body)

        self.run_scenario(answer, scenario)

    def test_a_chunked_response_may_follow_an_interim_response(self) -> None:
        chunked = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"
        )

        async def scenario(server: RawServer, client: DirectClient) -> None:
            for _ in range(2):
                response = await call(client)
                self.assertEqual((200, b"{}"), (response.status, response.body))
            self.assertEqual(1, server.connections)

        self.run_scenario(respond_with(chunked), scenario)

    def test_a_connection_closed_by_the_peer_is_not_reused(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(OK)
            writer.close()

        async def scenario(server: RawServer, client: DirectClient) -> None:
            for _ in range(3):
                self.assertEqual(200, (await call(client)).status)
                await asyncio.sleep(0.05)
            self.assertEqual((3, 3), (len(server.requests), server.connections))

        self.run_scenario(answer, scenario)

    def test_a_peer_may_request_that_the_connection_is_closed(self) -> None:
        last = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"

        async def scenario(server: RawServer, client: DirectClient) -> None:
            for _ in range(2):
                self.assertEqual(200, (await call(client)).status)
            self.assertEqual(2, server.connections)

        self.run_scenario(respond_with(last), scenario)

    def test_a_call_whose_connection_is_lost_is_not_sent_again(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            if number == 1:
                writer.transport.abort()
            else:
                writer.write(OK)

        async def scenario(server: RawServer, client: DirectClient) -> None:
            await call(client)
            with self.assertRaises(HttpFailure):
                await call(client)
            self.assertEqual(2, len(server.requests))

        self.run_scenario(answer, scenario)

    def test_a_late_response_is_not_given_to_the_next_call(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            if number == 0:
                await asyncio.sleep(0.3)
                writer.write(OK.replace(b"{}", b"[]"))
            else:
                writer.write(OK)

        async def scenario(server: RawServer, client: DirectClient) -> None:
            with self.assertRaises(HttpFailure):
                await call(client, 0.05)
            await asyncio.sleep(0.5)
            self.assertEqual(b"{}", (await call(client)).body)
            self.assertEqual(2, server.connections)

        self.run_scenario(answer, scenario)

    def test_data_that_is_not_http_closes_the_connection(self) -> None:
        self.check_failure(respond_first_with(b"\x16\x03\x01 no such protocol\r\n\r\n"))

    def test_an_invalid_content_length_closes_the_connection(self) -> None:
        self.check_failure(respond_first_with(OK.replace(b"Length: 2", b"Length: x")))

    def test_a_body_that_is_too_long_closes_the_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MAX_BODY_BYTES)
        self.check_failure(respond_first_with(head + bytes(MAX_BODY_BYTES)))

    def test_headers_that_are_too_long_close_the_connection(self) -> None:
        self.check_failure(
            respond_first_with(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 2 * MAX_HEAD_BYTES)
        )

    def test_an_unrequested_response_closes_the_connection(self) -> None:
        async def scenario(server: RawServer, client: DirectClient) -> None:
            self.assertEqual(b"{}", (await call(client)).body)
            await asyncio.sleep(0.05)
            self.assertEqual(b"{}", (await call(client)).body)
            self.assertEqual(2, server.connections)

        self.run_scenario(respond_first_with(OK + OK.replace(b"{}", b"[]")), scenario)

    def test_a_timeout_closes_the_connection(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            await (respond_well if number else never_respond)(number, writer)

        self.check_failure(answer, timeout_s=0.05)

    def test_a_requested_new_connection_replaces_an_idle_one(self) -> None:
        async def scenario(server: RawServer, client: DirectClient) -> None:
            await call(client)
            await call(client, is_fresh=True)
            await call(client)
            self.assertEqual(2, server.connections)

        self.run_scenario(respond_well, scenario)

    def test_calls_get_connections_in_order_of_arrival(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.01)
            writer.write(OK)

        async def scenario(server: RawServer, client: DirectClient) -> None:
            calls = [client.request("POST", f"/{n}", timeout_s=5.0) for n in range(6)]
            await asyncio.gather(*calls)
            asked = [request.split()[1] for request in server.requests]
            self.assertEqual([b"/%d" % n for n in range(6)], asked)
            self.assertEqual(2, server.connections)

        self.run_scenario(answer, scenario, max_connections=2)

    def test_the_timeout_includes_the_wait_for_a_connection(self) -> None:
        async def scenario(server: RawServer, client: DirectClient) -> None:
            first = asyncio.ensure_future(call(client, 0.3))
            await asyncio.sleep(0.05)
            with self.assertRaises(HttpFailure):
                await call(client, 0.05)
            with self.assertRaises(HttpFailure):
                await first
            self.assertEqual(1, len(server.requests))

        self.run_scenario(never_respond, scenario)

    def test_the_connection_of_a_cancelled_call_is_not_reused(self) -> None:
        async def answer(number: int, writer: asyncio.StreamWriter) -> None:
            await (respond_well if number else never_respond)(number, writer)

        async def scenario(server: RawServer, client: DirectClient) -> None:
            first = asyncio.ensure_future(call(client))
            await asyncio.sleep(0.05)
            first.cancel()
            self.assertEqual(200, (await call(client)).status)
            self.assertEqual(2, server.connections)

        self.run_scenario(answer, scenario)

    def test_a_refused_connection_is_reported_as_unreachable(self) -> None:
        async def run() -> None:
            async with RawServer(respond_well) as server:
                address = server.address
            client = DirectClient(address=address, max_connections=1)
            for _ in range(2):
                with self.assertRaises(HttpFailure) as caught:
                    await call(client)
                self.assertTrue(caught.exception.is_unreachable)

        self.run_async(run())
