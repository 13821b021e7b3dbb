"""A persistent client connection and its response parser."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from dalemast.http.messages import HttpFailure, JsonResponse

__all__ = ["MAX_BODY_BYTES", "MAX_HEAD_BYTES", "PersistentConnection"]

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Maximum size of a response; the platform's lists are paginated well below it."""
MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a response's status line and headers."""
MIN_FINAL_STATUS = 200
"""Lower status codes are interim responses, which the final response follows."""


class PersistentConnection(asyncio.Protocol):
    """A connection with at most one call at a time; also the parser's callback object.

    ``on_end`` is called once when the connection has ended, unless :meth:`mark_end_handled` was
    called before.
    """

    def __init__(self, *, on_end: Callable[[PersistentConnection], None]) -> None:
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[JsonResponse] | None = None
        self._is_end_handled = False
        self._body: list[bytes] = []
        self._size = 0
        self._retry_after = ""
        self._is_in_body = False

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made on this connection."""
        return self._transport is not None and not self._transport.is_closing()

    async def exchange(self, data: bytes, deadline: float) -> JsonResponse:
        """Send a request and return the response; close the connection if there is none."""
        if not self.is_reusable:
            raise HttpFailure("the connection is closed", is_unreachable=False)
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._transport.write(data)
        timer = loop.call_at(deadline, self._fail, "timed out waiting for the response")
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            timer.cancel()
            self._answer = None

    def abort(self) -> None:
        """Close the connection without waiting for pending data."""
        if self._transport is not None:
            self._transport.abort()

    def mark_end_handled(self) -> bool:
        """Mark the connection's end as handled; return whether it was unhandled before."""
        is_first = not self._is_end_handled
        self._is_end_handled = True
        return is_first

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a pending call and report the end; called by the event loop."""
        self._fail(f"the connection was lost: {error or 'closed by the peer'}")
        if self.mark_end_handled():
            self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; called by the event loop."""
        if self._answer is None or self._answer.done():
            # No call is pending. The data could be mistaken for the next call's response.
            self.abort()
            return
        self._size += len(data)
        if self._size > MAX_HEAD_BYTES and not self._is_in_body:
            self._fail(f"the response headers are longer than {MAX_HEAD_BYTES} bytes")
            return
        if self._size > MAX_BODY_BYTES:
            self._fail(f"the response is longer than {MAX_BODY_BYTES} bytes")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response cannot be parsed: {error!r}")

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        self._body = []
        self._retry_after = ""
        self._is_in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the Retry-After header; called by the parser."""
        if name.lower() == b"retry-after":
            self._retry_after = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Mark the end of the headers; called by the parser."""
        self._is_in_body = True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the pending call with the response; called by the parser."""
        status = self._parser.get_status_code()
        if status < MIN_FINAL_STATUS:
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
        """Fail the pending call, if any, and close the connection."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(HttpFailure(message, is_unreachable=False))
        self.abort()
