"""HTTP servers for callers and for the platform's readiness probe."""

from __future__ import annotations

import math
import re

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast.core.exceptions import DalemastError
from dalemast.core.workloads import (
    CancelNotConfirmed,
    JobGivenUp,
    JobNotSupported,
    JobNotTaken,
    JobRequest,
    JobShapeInvalid,
    Queue,
    Resources,
    StepRequest,
)
from dalemast.fleet.base import (
    BaseIngress,
    CancelUnconfirmed,
    JobCancelled,
    JobDone,
    JobDropped,
    JobOutcome,
    JobRejected,
    Jobs,
    JobUnknown,
)
from dalemast.http.callers import CallerServer
from dalemast.http.server import BACKLOG, bind_address, skip_access_log
from dalemast.observability import log_event
from dalemast.platform.wire import (
    DEADLINE_HEADER,
    JobBody,
    JobStateBody,
    RejectionBody,
    StepBody,
    WaitingBody,
)
from dalemast.settings import FleetEntrySettings

__all__ = ["PlatformIngress"]

READY_PATH = "/v1/ready"
MAX_BODY_BYTES = 262_144
"""Maximum size of a request body. Requests with larger ones are aborted while they are read."""
DEFAULT_TIMEOUT_S = 30.0
"""Timeout of a caller that sends none, in seconds. Only used for logging."""
UNSUPPORTED_RETRY_S = 5.0
"""Pause before a retry of a request that this version does not support, in seconds."""

SERVER_SETTING = "caller_server"
"""Name of the application setting that holds the server, for its handlers."""

_JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
_encode = msgspec.json.Encoder().encode
_job_decoder = msgspec.json.Decoder(JobBody)


class JobHandler(RequestHandler):
    """Handler of all requests to the callers' address."""

    def initialize(self, jobs: Jobs) -> None:
        """Receive the arguments of the route."""
        self._jobs = jobs
        self._job_id = ""

    def prepare(self) -> None:
        """Record that the connection is in use."""
        self.settings[SERVER_SETTING].note_request(self.request.server_connection)

    def set_default_headers(self) -> None:
        """Replace Tornado's default headers, which reveal the server's version."""
        self.set_header("Server", "dalemast")
        self.set_header("Content-Type", "application/json")

    def compute_etag(self) -> None:
        """Disable entity tags, since no response is requested twice."""

    async def post(self) -> None:
        """Run a job and respond with its outcome."""
        queue = self._find_queue()
        request = self._parse(queue)
        self._job_id = request.id
        try:
            outcome = await self._jobs.run(request)
        finally:
            self._job_id = ""
        self._send_outcome(outcome)

    def get(self) -> None:
        """Return a queue's number of waiting jobs, or a job's state.

        Jobs are not kept after their response, so their state is always unknown.
        """
        queue = self._find_queue()
        if self.request.path == queue.prefix:
            self._send(200, WaitingBody(waiting=0))
        else:
            self._send(410, JobStateBody(state="unknown"))

    async def delete(self) -> None:
        """Cancel a job, or respond that there is no such job."""
        queue = self._find_queue()
        job_id = self.request.path[len(queue.prefix) :]
        if not _JOB_ID.match(job_id):
            self._send(410, JobStateBody(state="unknown"))
            return
        outcome = await self._jobs.cancel(
            queue=queue, job_id=job_id, timeout_s=self._get_timeout_s()
        )
        match outcome:
            case JobCancelled():
                self._send(200, JobStateBody(state="cancelled"))
            case JobUnknown():
                self._send(410, JobStateBody(state="unknown"))
            case CancelUnconfirmed():
                message = f"not confirmed: {outcome.cause}"
                self._reject(CancelNotConfirmed(message, retry_after_s=outcome.retry_after_s))

    def on_connection_close(self) -> None:
        """Cancel a job whose caller has closed the connection."""
        if self._job_id:
            self._jobs.handle_disconnect(self._job_id)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Respond with the :class:`DalemastError` that was raised, or a generic error."""
        error = kwargs.get("exc_info", (None, None, None))[1]  # type: ignore[index]
        if not isinstance(error, DalemastError):
            self._send(status_code, RejectionBody(error="request failed", code="E0000"))
            return
        log_event("request:rejected", path=self.request.path, code=error.code, why=error.message)
        self._reject(error)

    def log_exception(self, typ: object, value: object, tb: object) -> None:
        """Log unexpected exceptions only; a :class:`DalemastError` is a regular response."""
        if not isinstance(value, DalemastError):
            super().log_exception(typ, value, tb)  # type: ignore[arg-type]

    def _find_queue(self) -> Queue:
        host = self.request.headers.get("Host", "").partition(":")[0]
        return self._jobs.queues.find(host=host, path=self.request.path)

    def _parse(self, queue: Queue) -> JobRequest:
        job_id = self.request.path[len(queue.prefix) :]
        if not _JOB_ID.match(job_id):
            raise JobShapeInvalid(
                "the path does not end with a job id of 16 hexadecimal digits", place="path"
            )
        try:
            body = _job_decoder.decode(self.request.body)
        except msgspec.MsgspecError as error:
            raise JobShapeInvalid(str(error), place="body") from error
        _check_supported(body, queue)
        return JobRequest(
            id=job_id,
            queue=queue,
            payload=body.payload,
            steps=tuple(_make_step(step, number) for number, step in enumerate(body.steps)),
            timeout_s=self._get_timeout_s(),
        )

    def _get_timeout_s(self) -> float:
        try:
            return float(self.request.headers.get(DEADLINE_HEADER, "")) / 1000
        except ValueError:
            return DEFAULT_TIMEOUT_S

    def _send_outcome(self, outcome: JobOutcome) -> None:
        match outcome:
            case JobDone():
                self._send(200, JobStateBody(state=outcome.state.value))
            case JobRejected():
                message = f"not run: {outcome.cause}"
                self._reject(JobNotTaken(message, retry_after_s=outcome.retry_after_s))
            case JobCancelled():
                self._send(200, JobStateBody(state="cancelled"))
            case JobDropped():
                # Not a rejection with status 503, since part of the job may have run.
                self._reject(JobGivenUp(f"given up: {outcome.cause}"))

    def _reject(self, error: DalemastError) -> None:
        retry_after_s = error.retry_after_s or 0.0
        if retry_after_s:
            self.set_header("Retry-After", str(max(1, math.ceil(retry_after_s))))
        body = RejectionBody(
            error=error.message, code=error.code, retry_ms=math.ceil(retry_after_s * 1000)
        )
        self._send(error.status, body)

    def _send(self, status: int, body: msgspec.Struct) -> None:
        if self._jobs.is_draining:
            self.set_header("Connection", "close")
        self.set_status(status)
        self.finish(_encode(body))


class ReadyHandler(RequestHandler):
    """Handler of the readiness probe, which decides on new connections."""

    def initialize(self, jobs: Jobs) -> None:
        """Receive the arguments of the route."""
        self._jobs = jobs

    def get(self) -> None:
        """Report readiness by the status; the body is not read."""
        self.set_status(200 if self._jobs.is_ready else 503)
        self.finish(b"{}")


class PlatformIngress(BaseIngress):
    """Servers for callers and for the readiness probe, on two addresses."""

    def __init__(self, *, settings: FleetEntrySettings, jobs: Jobs) -> None:
        super().__init__(settings=settings, jobs=jobs)
        arguments = {"jobs": jobs}
        application = Application([(".*", JobHandler, arguments)], log_function=skip_access_log)
        self._callers = CallerServer(application, max_body_size=MAX_BODY_BYTES)
        application.settings[SERVER_SETTING] = self._callers
        self._readiness = HTTPServer(
            Application([(READY_PATH, ReadyHandler, arguments)], log_function=skip_access_log)
        )

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return self._callers.open_connections

    def close_idle(self) -> int:
        """Close the idle connections of callers; return their number."""
        return self._callers.close_idle()

    def start(self) -> None:
        """Start listening."""
        _listen(self._callers, self._settings.callers.address)
        _listen(self._readiness, self._settings.readiness.address)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for server in (self._callers, self._readiness):
            server.stop()
            await server.close_all_connections()


def _listen(server: HTTPServer, address: str) -> None:
    sockets, _ = bind_address(address, backlog=BACKLOG)
    server.add_sockets(sockets)


def _check_supported(body: JobBody, queue: Queue) -> None:
    """Raise :class:`JobNotSupported` if the job needs a feature that is not supported."""
    unsupported = ""
    if not body.is_unkept:
        unsupported = "jobs without best_effort"
    elif body.times:
        unsupported = "jobs with times"
    elif queue.needs_advice:
        unsupported = "queues with advice"
    elif any(step.is_gang or step.is_one_rack for step in body.steps):
        unsupported = "steps with gang or same_rack"
    elif any(step.is_lasting or step.fills for step in body.steps):
        unsupported = "steps with daemon or fills"
    if unsupported:
        raise JobNotSupported(f"{unsupported} are not supported", retry_after_s=UNSUPPORTED_RETRY_S)


def _make_step(step: StepBody, number: int) -> StepRequest:
    if step.count < 1 or any(not 0 <= earlier < number for earlier in step.after):
        raise JobShapeInvalid("a step has no tasks or depends on a later step", place="steps")
    return StepRequest(
        count=step.count,
        resources=Resources(cpu=step.cpu, memory_mb=step.memory_mb, gpu=step.gpu),
        estimate_s=step.estimate_ms / 1000,
        after=step.after,
        label=step.label,
        data_rack=step.data_rack,
        max_per_worker=step.max_per_worker,
    )
