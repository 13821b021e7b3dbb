"""Takes the heartbeats of the worker on this host, and no others."""

from __future__ import annotations

import abc

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast import clock
from dalemast.core.supervision import WorkerIncarnation
from dalemast.core.workloads import Resources
from dalemast.fleet.base import BaseRegistration, WorkerObserver
from dalemast.http.server import bind_address, log_nothing
from dalemast.observability import Metrics, RefusalLog
from dalemast.platform.foreign import ForeignInput, check_id, read_report
from dalemast.platform.incarnations import make_incarnation_id
from dalemast.platform.report_sequences import Account, ReportLines
from dalemast.platform.wire import Heartbeat, WorkerState
from dalemast.settings import FleetAgentSettings

__all__ = ["FOREIGN_REPORT", "PlatformRegistration"]

BACKLOG = 64
"""Connections that may wait to be accepted: one worker reports here."""
MAX_REPORT_BYTES = 64 * 1024
"""Longest report that is read; a worker's has some 250 bytes. The smallest agents have 168 MB."""
FOREIGN_REPORT = "report:foreign"
"""Log line of a report that is not the worker's, and with dots the beginning of its counters."""


class BaseReportHandler(RequestHandler, abc.ABC):
    """What workers send. Only what is taken is acknowledged."""

    def initialize(self, registration: PlatformRegistration) -> None:
        """Take what the routes give."""
        self._registration = registration

    def decode_argument(self, value: bytes, name: str | None = None) -> str:
        """Return an id also if it is no UTF-8: such a one is refused like any other."""
        return value.decode(errors="replace")

    def post(self, life_id: str) -> None:
        """Take it in."""
        try:
            self._take(life_id)
        except ForeignInput as refusal:
            self._registration.note_foreign(life_id, refusal, sender=self.request.remote_ip or "")
            self.set_status(400)
        self.set_header("Content-Type", "application/json")
        self.finish(b"{}")

    @abc.abstractmethod
    def _take(self, life_id: str) -> None:
        """Take it in, or raise :class:`ForeignInput`."""


class HeartbeatHandler(BaseReportHandler):
    """A worker's report. Reports that arrive out of order are passed over by their number."""

    def _take(self, life_id: str) -> None:
        self._registration.take(life_id, self.request.body)


class DeregisterHandler(BaseReportHandler):
    """A worker's word that it ends."""

    def _take(self, life_id: str) -> None:
        self._registration.take_end(life_id)


class PlatformRegistration(BaseRegistration):
    """The address where the worker on this host reports."""

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
                log_function=log_nothing,
            ),
            max_body_size=MAX_REPORT_BYTES,
            max_buffer_size=2 * MAX_REPORT_BYTES,
        )
        self._lines = ReportLines()
        self._refusals = RefusalLog(event=FOREIGN_REPORT, metrics=self._metrics)

    def start(self) -> None:
        """Listen."""
        sockets, _ = bind_address(self._settings.registration.address, backlog=BACKLOG)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening."""
        self._server.stop()
        await self._server.close_all_connections()

    def take(self, worker_id: str, data: bytes) -> None:
        """Pass a report on unless a newer one has arrived; raises :class:`ForeignInput`."""
        check_id(worker_id)
        beat = read_report(
            data,
            address=self._settings.worker.address,
            data_centre=self._settings.data_centre,
        )
        life = _make_life(make_incarnation_id(worker_id, beat.born), beat)
        account = Account(service=life.service, capacity=life.capacity, labels=life.labels)
        is_news = self._lines.take(
            life.id, account, beat.seq, is_leaving=life.is_leaving, now=clock.monotonic()
        )
        if not is_news:
            return
        if self._lines.is_replaced(life.id):
            # What was said under this id before was another writer's, a goodbye among it.
            self._observer.restore_incarnation(life.id)
        self._observer.register_incarnation(life)

    def take_end(self, worker_id: str) -> None:
        """Pass on that a worker ends which has said that it leaves; or :class:`ForeignInput`."""
        life_id = self._lines.find_leaving(worker_id)
        self._lines.note_end(life_id)
        self._observer.lose_incarnation(life_id)

    def note_foreign(self, life_id: str, refusal: ForeignInput, *, sender: str) -> None:
        """Count and log what was not taken. ``sender`` is the IP number that it came from."""
        self._refusals.note(
            writer=life_id, reason=refusal.fault.value, detail=refusal.detail, sender=sender
        )


def _make_life(life_id: str, beat: Heartbeat) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=life_id,
        service=beat.service,
        data_centre=beat.zone,
        capacity=Resources(
            cpu=beat.capacity.cpu,
            memory_mb=beat.capacity.memory_mb,
            gpu=beat.capacity.gpu,
        ),
        labels=frozenset(beat.labels),
        is_leaving=beat.state is WorkerState.LEAVING,
        remaining_s=_to_seconds(beat.remaining_ms),
    )


def _to_seconds(time_ms: float | msgspec.UnsetType) -> float | None:
    return None if isinstance(time_ms, msgspec.UnsetType) else time_ms / 1000
