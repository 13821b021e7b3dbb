"""An HTTP client for many short calls to one address over persistent connections.

An agent calls its worker for every task that starts or ends, so the processor time of a call
dominates the agent's own. The client is therefore built on asyncio and httptools rather than curl
(docs/decisions/0010-worker-calls.md).

No request is ever sent twice: only the caller knows whether a call may be repeated.
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
    """A call sent first on each new connection, to verify the identity of the peer.

    ``accept`` receives the response. If it raises, the connection is closed and the exception
    propagates to the call that opened the connection.
    """

    path: str
    body: object
    headers: dict[str, str]
    accept: Callable[[JsonResponse], None]


class DirectClient:
    """Calls one address. ``max_connections`` limits the number of concurrent calls."""

    def __init__(
        self, *, address: str, max_connections: int, handshake: ConnectionHandshake | None = None
    ) -> None:
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._max_connections = max_connections
        self._handshake = handshake
        self._idle: list[PersistentConnection] = []
        self._open_count = 0
        """Number of connections that are idle, in use or being opened."""
        self._waiting: deque[asyncio.Future[None]] = deque()
        """Calls that wait for a connection, in order of arrival."""

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

        ``body`` is encoded as JSON unless it is bytes. ``timeout_s`` includes the wait for a
        connection. ``is_fresh`` requests a new connection, for use after a call without a response,
        since other open connections may be dead as well. Raise :class:`HttpFailure` if there is no
        response.
        """
        data = self._make_request(method, path, encode_body(body) or b"", headers or {})
        deadline = asyncio.get_running_loop().time() + timeout_s
        connection = await self._acquire(deadline, is_fresh=is_fresh)
        try:
            return await connection.exchange(data, deadline)
        finally:
            self._release(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()

    def _make_request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        more = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        return head.encode() + body

    async def _acquire(self, deadline: float, *, is_fresh: bool) -> PersistentConnection:
        """Return a connection for one call: an idle one, a new one, or the next one released."""
        while True:
            if self._idle and not is_fresh:
                connection = self._idle.pop()
                if connection.is_reusable:
                    return connection
                continue
            if self._open_count < self._max_connections:
                return await self._connect(deadline)
            if self._idle:
                # A new connection is required but the limit is reached: replace the one that has
                # been idle longest.
                self._idle[0].abort()
                self._handle_abort(self._idle[0])
                continue
            await self._wait_for_release(deadline)

    def _handle_end(self, connection: PersistentConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_count -= 1
        self._wake_next()

    def _handle_abort(self, connection: PersistentConnection) -> None:
        """Remove an aborted connection now; asyncio reports its end only later in the loop."""
        if connection.mark_end_handled():
            self._handle_end(connection)

    async def _connect(self, deadline: float) -> PersistentConnection:
        loop = asyncio.get_running_loop()
        self._open_count += 1
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    lambda: PersistentConnection(on_end=self._handle_end), self._host, self._port
                )
        except TimeoutError as error:
            self._handle_connect_failure()
            raise HttpFailure(
                f"connecting to {self._address} timed out", is_unreachable=False
            ) from error
        except OSError as error:
            self._handle_connect_failure()
            # Only a refused connection proves that no process listens there. Other errors may be
            # caused by this host or the network.
            is_refused = isinstance(error, ConnectionRefusedError)
            raise HttpFailure(
                f"connecting to {self._address} failed: {error}", is_unreachable=is_refused
            ) from error
        except asyncio.CancelledError:
            self._handle_connect_failure()
            raise
        if self._handshake is not None:
            await self._perform_handshake(connection, self._handshake, deadline)
        return connection

    async def _perform_handshake(
        self, connection: PersistentConnection, handshake: ConnectionHandshake, deadline: float
    ) -> None:
        """Verify the peer before any other request is sent on the connection."""
        body = encode_body(handshake.body) or b""
        data = self._make_request("POST", handshake.path, body, handshake.headers)
        try:
            handshake.accept(await connection.exchange(data, deadline))
        except BaseException:
            connection.abort()
            raise

    def _handle_connect_failure(self) -> None:
        self._open_count -= 1
        self._wake_next()

    async def _wait_for_release(self, deadline: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError as error:
            raise HttpFailure(
                f"timed out waiting for one of {self._max_connections} connections",
                is_unreachable=False,
            ) from error
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            elif asyncio.get_running_loop().time() >= deadline:
                # A connection may have been released to this call just as it timed out.
                self._wake_next()

    def _release(self, connection: PersistentConnection) -> None:
        if connection.is_reusable:
            self._idle.append(connection)
            self._wake_next()

    def _wake_next(self) -> None:
        """Wake the call that has waited longest, so that it tries to acquire a connection."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
