"""A JSON client on tornado's HTTP client.

The curl client keeps connections. It also sends a request again by itself when a kept connection
turns out dead, which is harmless between dalemast's own processes, where every request may be
repeated, and forbidden towards endpoints: see :mod:`dalemast.agent.endpoints`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

__all__ = ["HttpFailure", "JsonClient", "JsonResponse"]

MAX_CLIENTS = 1000
DEFAULT_TIMEOUT_S = 10.0

_UNREACHABLE = {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}


class HttpFailure(Exception):
    """No response came. ``is_unreachable`` tells that the peer cannot have seen the request."""

    def __init__(self, message: str, *, is_unreachable: bool) -> None:
        super().__init__(message)
        self.message = message
        self.is_unreachable = is_unreachable


@dataclass(frozen=True, kw_only=True, slots=True)
class JsonResponse:
    """A response; ``body`` is not parsed until asked for."""

    status: int
    body: bytes
    retry_after: str = ""

    def decode(self, answer_type: Any) -> Any:
        """Parse the body; raises :class:`msgspec.MsgspecError`."""
        return msgspec.json.decode(self.body, type=answer_type)

    def get_error_code(self) -> str:
        """Return the code of an error body, or an empty text."""
        try:
            return str(msgspec.json.decode(self.body)["error"]["code"])
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""


class JsonClient:
    """Requests with JSON bodies over kept connections."""

    def __init__(self, *, ca_file: str = "", max_clients: int = MAX_CLIENTS) -> None:
        self._client: AsyncHTTPClient | None = None
        self._ca_file = ca_file
        self._max_clients = max_clients

    async def request(
        self,
        method: str,
        url: str,
        *,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        is_fresh: bool = False,
    ) -> JsonResponse:
        """Send a request and return the response, whatever its status.

        ``body`` is encoded as JSON unless it is bytes. ``is_fresh`` asks for a new connection, as
        after a call without an answer: other kept ones may have fallen silent with it. Raises
        :class:`HttpFailure`.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers={"Content-Type": "application/json", **(headers or {})},
            body=_encode(body),
            allow_nonstandard_methods=True,
            connect_timeout=min(timeout_s, 5.0),
            request_timeout=timeout_s,
            ca_certs=self._ca_file or None,
            prepare_curl_callback=_connect_anew if is_fresh else None,
        )
        try:
            response = await self._get_client().fetch(request, raise_error=False)
        except CurlError as error:
            is_unreachable = error.errno in _UNREACHABLE
            raise HttpFailure(str(error), is_unreachable=is_unreachable) from error
        return JsonResponse(
            status=response.code,
            body=response.body or b"",
            retry_after=response.headers.get("Retry-After", ""),
        )

    def _get_client(self) -> AsyncHTTPClient:
        if self._client is None:
            asyncio.get_running_loop()
            self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=self._max_clients)
        return self._client


def _connect_anew(curl: pycurl.Curl) -> None:
    """Let one request use no kept connection; handles are used again, but reset before."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _encode(body: object) -> bytes | None:
    if body is None:
        return None
    if isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)
