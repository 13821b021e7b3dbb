"""One kept connection of a client, and the parsing of what arrives on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from dalemast.http.messages import HttpFailure, JsonResponse

__all__ = ["MAX_BODY_BYTES", "MAX_HEAD_BYTES", "PersistentConnection"]

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Longest body that is taken in: the platform's lists come in pages of at most 1 MB."""
MAX_HEAD_BYTES = 64 * 1024
"""Most that may arrive before a body begins."""
LEAST_FINAL_STATUS = 200
"""Lower ones announce that the response is still to come."""


class PersistentConnection(asyncio.Protocol):
    """One connection, with at most one call at a time. It also takes the parser's callbacks.

    ``on_end`` is called once when the connection has ended, unless :meth:`mark_forgotten` came
    before.
    """

    def __init__(self, *, on_end: Callable[[PersistentConnection], None]) -> None:
        self._on_end = on_end
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
            self._on_end(self)

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
