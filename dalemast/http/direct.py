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
from collections.abc import Callable
from dataclasses import dataclass

from dalemast.http.connections import PersistentConnection
from dalemast.http.messages import HttpFailure, JsonResponse, encode_body

__all__ = ["DirectClient", "ConnectionHandshake"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionHandshake:
    """The call that each connection begins with, to find out who is at its other end.

    ``accept`` gets the response; what it raises ends the connection and the call that wanted it.
    """

    path: str
    body: object
    headers: dict[str, str]
    accept: Callable[[JsonResponse], None]


class DirectClient:
    """Calls one address. ``max_connections`` bounds how many calls are under way at a time."""

    def __init__(
        self, *, address: str, max_connections: int, handshake: ConnectionHandshake | None = None
    ) -> None:
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._max_connections = max_connections
        self._handshake = handshake
        self._idle: list[PersistentConnection] = []
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

    def _make_request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        more = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        return head.encode() + body

    async def _acquire(self, over_at: float, *, is_fresh: bool) -> PersistentConnection:
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

    def _forget(self, connection: PersistentConnection) -> None:
        """Note that a connection has ended."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._open -= 1
        self._wake_next()

    def _forget_aborted(self, connection: PersistentConnection) -> None:
        """Count a connection as ended at once; its end is reported only in a later turn."""
        if connection.mark_forgotten():
            self._forget(connection)

    async def _connect(self, over_at: float) -> PersistentConnection:
        loop = asyncio.get_running_loop()
        self._open += 1
        try:
            async with asyncio.timeout_at(over_at):
                _, connection = await loop.create_connection(
                    lambda: PersistentConnection(on_end=self._forget), self._host, self._port
                )
        except TimeoutError as error:
            self._drop_opening()
            raise HttpFailure("no connection in time", is_unreachable=False) from error
        except OSError as error:
            self._drop_opening()
            # Only a refusal tells that nothing listens there; others are this host's own, or the
            # network's.
            is_refused = isinstance(error, ConnectionRefusedError)
            raise HttpFailure(f"no connection: {error}", is_unreachable=is_refused) from error
        except asyncio.CancelledError:
            self._drop_opening()
            raise
        if self._handshake is not None:
            await self._perform_handshake(connection, self._handshake, over_at)
        return connection

    async def _perform_handshake(
        self, connection: PersistentConnection, handshake: ConnectionHandshake, over_at: float
    ) -> None:
        """Make sure of who is at the other end before anything else is said there."""
        body = encode_body(handshake.body) or b""
        data = self._make_request("POST", handshake.path, body, handshake.headers)
        try:
            handshake.accept(await connection.exchange(data, over_at))
        except BaseException:
            connection.abort()
            raise

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

    def _release(self, connection: PersistentConnection) -> None:
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
