"""A JSON client based on Tornado's curl HTTP client.

curl reuses connections and repeats a request by itself when a reused connection is dead. That is
safe between dalemast's own processes, whose requests may all be repeated, but not for calls to
endpoints: see :mod:`dalemast.agent.endpoints`. The fleet's frequent short calls use
:mod:`dalemast.http.direct` instead.
"""

from __future__ import annotations

import asyncio

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from dalemast.http.messages import HttpFailure, JsonResponse, encode_body

__all__ = ["HttpFailure", "JsonClient", "JsonResponse"]

MAX_CLIENTS = 1000
DEFAULT_TIMEOUT_S = 10.0

_UNREACHABLE = {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}


class JsonClient:
    """Sends requests with JSON bodies over persistent connections."""

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

        ``body`` is encoded as JSON unless it is bytes. ``is_fresh`` requests a new connection, for
        use after a call without a response, since other open connections may be dead as well.
        Raise :class:`HttpFailure` if there is no response.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers={"Content-Type": "application/json", **(headers or {})},
            body=encode_body(body),
            allow_nonstandard_methods=True,
            connect_timeout=min(timeout_s, 5.0),
            request_timeout=timeout_s,
            ca_certs=self._ca_file or None,
            prepare_curl_callback=_use_new_connection if is_fresh else None,
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


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Make curl open a new connection for one request; the handle is reset before its next use."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
