"""Many short calls to one address, over kept connections, at little processor time.

An agent calls its worker for every task that starts or ends, so what one call costs is most of what
the agent costs. In a loop over loopback a call takes 32 us of processor time here, 97 us with
curl's multi interface, 116 us with aiohttp and 193 us with curl behind Tornado
(docs/decisions/0010-worker-calls.md). httptools parses what arrives; connections are asyncio's.

No request is ever sent twice. Whoever gets no answer decides what that means.
"""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from dalemast.http.messages import HttpFailure, JsonResponse, encode_body

__all__ = ["DirectClient"]

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Longest body that is taken in: the platform's lists come in pages of at most 1 MB."""
MAX_HEAD_BYTES = 64 * 1024
"""Most that may arrive before a body begins."""
LEAST_FINAL_STATUS = 200
"""Lower ones announce that the response is still to come."""


class DirectClient:
    """Calls one address. ``max_connections`` bounds how many calls are under way at a time."""

    def __init__(self, *, address: str, max_connections: int) -> None:
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._max_connections = max_connections
        self._idle: list[_Connection] = []
        self._open = 0
        """Connections that are idle, in use or being opened."""
        self._waiting: deque[asyncio.Future[None]] = deque()
        """Calls that wait for a connection, the longest wait first."""

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float,
        is_fresh: bool = False,
    ) -> JsonResponse:
        """Send a request and return the response, whatever its status.

        ``body`` is encoded as JSON unless it is bytes. ``timeout_s`` bounds all of it, the wait for
        a connection too. ``is_fresh`` asks for a new connection, as after a call without an answer:
        kept ones may have fallen silent with it. Raises :class:`HttpFailure`.
        """
        data = self._make_request(method, path, encode_body(body) or b"", headers or {})
        over_at = asyncio.get_running_loop().time() + timeout_s
        connection = await self._acquire(over_at, is_fresh=is_fresh)
        try:
            return await connection.exchange(data, over_at)
        finally:
            self._release(connection)

    def close(self) -> None:
        """Close the connections that no call uses."""
        for connection in self._idle:
            connection.abort()

    def forget(self, connection: _Connection) -> None:
        """Note that a connection has ended."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._open -= 1
        self._wake_next()

    def _make_request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        more = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        return head.encode() + body

    async def _acquire(self, over_at: float, *, is_fresh: bool) -> _Connection:
        """Return a connection for one call: a kept one, a new one, or the first to become free."""
        while True:
            if self._idle and not is_fresh:
                connection = self._idle.pop()
                if connection.is_reusable:
                    return connection
                continue
            if self._open < self._max_connections:
                return await self._connect(over_at)
            if self._idle:
                # A new one is wanted and none may be added: the one used longest ago makes room.
                self._idle[0].abort()
                self._forget_aborted(self._idle[0])
                continue
            await self._wait_for_release(over_at)

    def _forget_aborted(self, connection: _Connection) -> None:
        """Count a connection as ended at once; its end is reported only in a later turn."""
        if connection.mark_forgotten():
            self.forget(connection)

    async def _connect(self, over_at: float) -> _Connection:
        loop = asyncio.get_running_loop()
        self._open += 1
        try:
            async with asyncio.timeout_at(over_at):
                _, connection = await loop.create_connection(
                    lambda: _Connection(client=self), self._host, self._port
                )
        except TimeoutError as error:
            self._drop_opening()
            raise HttpFailure("no connection in time", is_unreachable=False) from error
        except OSError as error:
            self._drop_opening()
            raise HttpFailure(f"no connection: {error}", is_unreachable=True) from error
        except asyncio.CancelledError:
            self._drop_opening()
            raise
        return connection

    def _drop_opening(self) -> None:
        self._open -= 1
        self._wake_next()

    async def _wait_for_release(self, over_at: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout_at(over_at):
                await waiter
        except TimeoutError as error:
            raise HttpFailure("all connections are in use", is_unreachable=False) from error
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            elif asyncio.get_running_loop().time() >= over_at:
                # It may have been this call's turn as it ended.
                self._wake_next()

    def _release(self, connection: _Connection) -> None:
        if connection.is_reusable:
            self._idle.append(connection)
            self._wake_next()

    def _wake_next(self) -> None:
        """Let the call that has waited longest look for a connection again."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class _Connection(asyncio.Protocol):
    """One connection, with at most one call at a time. It also takes the parser's callbacks."""

    def __init__(self, *, client: DirectClient) -> None:
        self._client = client
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[JsonResponse] | None = None
        self._is_forgotten = False
        self._body: list[bytes] = []
        self._size = 0
        self._retry_after = ""
        self._is_in_body = False

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made here."""
        return self._transport is not None and not self._transport.is_closing()

    async def exchange(self, data: bytes, over_at: float) -> JsonResponse:
        """Send a request and return the response; what ends without one ends the connection."""
        if not self.is_reusable:
            raise HttpFailure("the connection has ended", is_unreachable=False)
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._transport.write(data)
        timer = loop.call_at(over_at, self._fail, "no answer in time")
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            timer.cancel()
            self._answer = None

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def mark_forgotten(self) -> bool:
        """Tell whether the connection's end is news to its client, and count it as told."""
        is_news = not self._is_forgotten
        self._is_forgotten = True
        return is_news

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end; called by the loop."""
        self._fail(f"the connection ended: {error or 'closed by the peer'}")
        if self.mark_forgotten():
            self._client.forget(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes; called by the loop."""
        if self._answer is None or self._answer.done():
            # Nobody asked: whatever this is, the next response can't be told from it.
            self.abort()
            return
        self._size += len(data)
        if self._size > MAX_HEAD_BYTES and not self._is_in_body:
            self._fail("the response's head is too long")
            return
        if self._size > MAX_BODY_BYTES:
            self._fail("the response is too long")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response can't be read: {error!r}")

    def on_message_begin(self) -> None:
        """Begin a response; called by the parser."""
        self._body = []
        self._retry_after = ""
        self._is_in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        if name.lower() == b"retry-after":
            self._retry_after = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Expect a body; called by the parser."""
        self._is_in_body = True

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Give the response out; called by the parser."""
        status = self._parser.get_status_code()
        if status < LEAST_FINAL_STATUS:
            return
        self._size = 0
        if self._answer is None or self._answer.done():
            self.abort()
            return
        response = JsonResponse(
            status=status, body=b"".join(self._body), retry_after=self._retry_after
        )
        self._answer.set_result(response)
        if not self._parser.should_keep_alive():
            self.abort()

    def _fail(self, message: str) -> None:
        """Let the call end without a response, and the connection with it."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(HttpFailure(message, is_unreachable=False))
        self.abort()
