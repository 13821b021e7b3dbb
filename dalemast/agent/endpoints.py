"""Call an endpoint for one task, at most once.

Every call opens a new connection. When a reused connection turns out to be dead, curl sends the
request again, even a POST, although the endpoint may have started the task already. See
docs/decisions/0003-endpoint-calls.md and tests/agent/test_endpoints.py.
"""

from __future__ import annotations

import abc

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from dalemast import clock
from dalemast.core.gate import RunTask, TaskOutcome
from dalemast.core.gate.base import OutcomeKind

__all__ = ["BaseEndpoint", "HttpEndpoint"]

MAX_ERROR_TEXT = 500
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class _Call(msgspec.Struct, frozen=True, kw_only=True):
    """Request body of a call."""

    task: str
    service: str
    payload: msgspec.Raw


class BaseEndpoint(abc.ABC):
    """Interface of an endpoint that runs tasks."""

    @abc.abstractmethod
    async def run(self, task: RunTask) -> TaskOutcome:
        """Run a task at most once and return its outcome; never raise."""


class HttpEndpoint(BaseEndpoint):
    """An endpoint that is an HTTP server."""

    def __init__(self, *, url: str, max_calls: int, max_run_s: float) -> None:
        self._url = url
        self._max_run_s = max_run_s
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_calls)

    async def run(self, task: RunTask) -> TaskOutcome:
        """Post the task and derive its outcome from the response."""
        started_at = clock.monotonic()
        try:
            response = await self._client.fetch(self._make_request(task), raise_error=False)
        except CurlError as error:
            is_refused = error.errno == pycurl.E_COULDNT_CONNECT
            kind = OutcomeKind.UNREACHABLE if is_refused else OutcomeKind.FAILED
            return _make_outcome(task, started_at, kind, error=str(error))
        if response.code != 200:
            text = (response.body or b"")[:MAX_ERROR_TEXT].decode(errors="replace")
            message = f"the endpoint responded with status {response.code}: {text}"
            return _make_outcome(task, started_at, OutcomeKind.FAILED, error=message)
        return self._parse_answer(task, started_at, response.body or b"")

    def _parse_answer(self, task: RunTask, started_at: float, body: bytes) -> TaskOutcome:
        if len(body) > MAX_ANSWER_BYTES:
            message = f"the answer is {len(body)} bytes long, the limit is {MAX_ANSWER_BYTES}"
            return _make_outcome(task, started_at, OutcomeKind.FAILED, error=message)
        try:
            value = msgspec.json.decode(body, type=msgspec.Raw)
        except (msgspec.MsgspecError, RecursionError) as error:
            message = f"the answer is not valid JSON: {error}"
            return _make_outcome(task, started_at, OutcomeKind.FAILED, error=message)
        return _make_outcome(task, started_at, OutcomeKind.ANSWERED, value=value)

    def _make_request(self, task: RunTask) -> HTTPRequest:
        call = _Call(
            task=f"{task.owner}/{task.job}/{task.index}",
            service=task.service,
            payload=task.payload,
        )
        return HTTPRequest(
            self._url,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(call),
            connect_timeout=5.0,
            request_timeout=self._max_run_s,
            follow_redirects=False,
            prepare_curl_callback=_forbid_reuse,
        )


def _forbid_reuse(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _make_outcome(
    task: RunTask,
    started_at: float,
    kind: OutcomeKind,
    *,
    value: msgspec.Raw | None = None,
    error: str = "",
) -> TaskOutcome:
    return TaskOutcome(
        owner=task.owner,
        job=task.job,
        index=task.index,
        kind=kind,
        value=msgspec.Raw(b"null") if value is None else value,
        error=error,
        run_ms=(clock.monotonic() - started_at) * 1000.0,
    )
