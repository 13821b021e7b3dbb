"""HTTP server that receives the reports of the worker on this host."""

from __future__ import annotations

import abc

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast import clock
from dalemast.core.supervision import WorkerIncarnation
from dalemast.core.workloads import Resources
from dalemast.fleet.base import BaseRegistration, WorkerObserver
from dalemast.http.server import bind_address, skip_access_log
from dalemast.observability import Metrics, RefusalLog
from dalemast.platform.foreign import ForeignInput, check_id, read_report
from dalemast.platform.incarnations import make_incarnation_id
from dalemast.platform.report_sequences import ReportSequences, WorkerProperties
from dalemast.platform.wire import Heartbeat, WorkerState
from dalemast.settings import FleetAgentSettings

__all__ = ["FOREIGN_REPORT", "PlatformRegistration"]

BACKLOG = 64
"""Maximum number of connections waiting to be accepted. Only one worker reports here."""
MAX_REPORT_BYTES = 64 * 1024
"""Maximum size of a report. Bounds the memory that a foreign request can take; a worker's report
has some 250 bytes."""
FOREIGN_REPORT = "report:foreign"
"""Log event of a rejected report. With a dot in place of the colon, the prefix of its counters."""


class BaseReportHandler(RequestHandler, abc.ABC):
    """Base handler of worker reports. Rejected reports are answered with status 400."""

    def initialize(self, registration: PlatformRegistration) -> None:
        """Receive the arguments of the route."""
        self._registration = registration

    def decode_argument(self, value: bytes, name: str | None = None) -> str:
        """Decode a worker id, replacing invalid UTF-8, so that validation rejects it later."""
        return value.decode(errors="replace")

    def post(self, worker_id: str) -> None:
        """Handle a report."""
        try:
            self._handle(worker_id)
        except ForeignInput as refusal:
            self._registration.record_foreign(
                worker_id, refusal, sender=self.request.remote_ip or ""
            )
            self.set_status(400)
        self.set_header("Content-Type", "application/json")
        self.finish(b"{}")

    @abc.abstractmethod
    def _handle(self, worker_id: str) -> None:
        """Handle a report; raises :class:`ForeignInput` if it is rejected."""


class HeartbeatHandler(BaseReportHandler):
    """Handler of heartbeats. Those that arrive out of order are ignored by their number."""

    def _handle(self, worker_id: str) -> None:
        self._registration.handle_report(worker_id, self.request.body)


class DeregisterHandler(BaseReportHandler):
    """Handler of deregistrations."""

    def _handle(self, worker_id: str) -> None:
        self._registration.handle_deregistration(worker_id)


class PlatformRegistration(BaseRegistration):
    """Server to which the worker on this host reports."""

    def __init__(
        self,
        *,
        settings: FleetAgentSettings,
        observer: WorkerObserver,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__(settings=settings, observer=observer, metrics=metrics)
        arguments = {"registration": self}
        self._server = HTTPServer(
            Application(
                [
                    (r"/v1/Instances\.Heartbeat/([^/]+)", HeartbeatHandler, arguments),
                    (r"/v1/Instances\.Deregister/([^/]+)", DeregisterHandler, arguments),
                ],
                log_function=skip_access_log,
            ),
            max_body_size=MAX_REPORT_BYTES,
            max_buffer_size=2 * MAX_REPORT_BYTES,
        )
        self._sequences = ReportSequences()
        self._refusals = RefusalLog(event=FOREIGN_REPORT, metrics=self._metrics)

    def start(self) -> None:
        """Start listening."""
        sockets, _ = bind_address(self._settings.registration.address, backlog=BACKLOG)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def handle_report(self, worker_id: str, data: bytes) -> None:
        """Pass a report to the observer unless it is outdated; raises :class:`ForeignInput`."""
        check_id(worker_id)
        heartbeat = read_report(
            data,
            address=self._settings.worker.address,
            data_centre=self._settings.data_centre,
        )
        incarnation = _make_incarnation(make_incarnation_id(worker_id, heartbeat.born), heartbeat)
        properties = WorkerProperties(
            service=incarnation.service, capacity=incarnation.capacity, labels=incarnation.labels
        )
        is_newer = self._sequences.accept(
            incarnation.id,
            properties,
            heartbeat.seq,
            is_leaving=incarnation.is_leaving,
            now=clock.monotonic(),
        )
        if not is_newer:
            return
        if self._sequences.is_restored(incarnation.id):
            # The earlier reports under this id, or its deregistration, were foreign.
            self._observer.restore_incarnation(incarnation.id)
        self._observer.register_incarnation(incarnation)

    def handle_deregistration(self, worker_id: str) -> None:
        """End a worker that has reported that it is leaving; raises :class:`ForeignInput`."""
        incarnation_id = self._sequences.find_leaving_incarnation(worker_id)
        self._sequences.record_deregistration(incarnation_id)
        self._observer.lose_incarnation(incarnation_id)

    def record_foreign(self, worker_id: str, refusal: ForeignInput, *, sender: str) -> None:
        """Count and log a rejected report. ``sender`` is the IP address that sent it."""
        self._refusals.note(
            writer=worker_id, reason=refusal.fault.value, detail=refusal.detail, sender=sender
        )


def _make_incarnation(incarnation_id: str, heartbeat: Heartbeat) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=incarnation_id,
        service=heartbeat.service,
        data_centre=heartbeat.zone,
        capacity=Resources(
            cpu=heartbeat.capacity.cpu,
            memory_mb=heartbeat.capacity.memory_mb,
            gpu=heartbeat.capacity.gpu,
        ),
        labels=frozenset(heartbeat.labels),
        is_leaving=heartbeat.state is WorkerState.LEAVING,
        remaining_s=_to_seconds(heartbeat.remaining_ms),
    )


def _to_seconds(time_ms: float | msgspec.UnsetType) -> float | None:
    return None if isinstance(time_ms, msgspec.UnsetType) else time_ms / 1000
