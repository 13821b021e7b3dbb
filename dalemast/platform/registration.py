"""Takes the heartbeats of the worker on this host."""

from __future__ import annotations

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast.core.supervision import WorkerLife
from dalemast.core.workloads import Resources
from dalemast.fleet.base import BaseRegistration, WorkerObserver
from dalemast.http.server import bind_address, log_nothing
from dalemast.observability import log_error
from dalemast.platform.wire import Heartbeat
from dalemast.settings import FleetAgentSettings

__all__ = ["PlatformRegistration"]

LEAVING = "draining"
BACKLOG = 64
"""Connections that may wait to be accepted: one worker reports here."""

_decoder = msgspec.json.Decoder(Heartbeat)


class HeartbeatHandler(RequestHandler):
    """A worker's report. Reports that arrive out of order are passed over by their number."""

    def initialize(self, registration: PlatformRegistration) -> None:
        """Take what the routes give."""
        self._registration = registration

    def post(self, life_id: str) -> None:
        """Take in a report."""
        try:
            beat = _decoder.decode(self.request.body)
        except msgspec.MsgspecError as error:
            log_error("worker:bad-heartbeat", worker=life_id, reason=str(error))
            self.set_status(400)
            return
        self._registration.take(life_id, beat)
        self.set_header("Content-Type", "application/json")
        self.finish(b"{}")


class DeregisterHandler(RequestHandler):
    """A worker's word that it ends."""

    def initialize(self, registration: PlatformRegistration) -> None:
        """Take what the routes give."""
        self._registration = registration

    def post(self, life_id: str) -> None:
        """Take it in."""
        self._registration.take_end(life_id)
        self.set_header("Content-Type", "application/json")
        self.finish(b"{}")


class PlatformRegistration(BaseRegistration):
    """The address where the worker on this host reports."""

    def __init__(self, *, settings: FleetAgentSettings, observer: WorkerObserver) -> None:
        super().__init__(settings=settings, observer=observer)
        arguments = {"registration": self}
        self._server = HTTPServer(
            Application(
                [
                    (r"/v1/Instances\.Heartbeat/([^/]+)", HeartbeatHandler, arguments),
                    (r"/v1/Instances\.Deregister/([^/]+)", DeregisterHandler, arguments),
                ],
                log_function=log_nothing,
            )
        )
        self._numbers: dict[str, int] = {}

    def start(self) -> None:
        """Listen."""
        sockets, _ = bind_address(self._settings.registration.address, backlog=BACKLOG)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening."""
        self._server.stop()
        await self._server.close_all_connections()

    def take(self, life_id: str, beat: Heartbeat) -> None:
        """Pass a report on unless a newer one has arrived."""
        if beat.seq and beat.seq <= self._numbers.get(life_id, 0):
            return
        self._numbers[life_id] = beat.seq
        self._observer.meet_life(
            WorkerLife(
                id=life_id,
                service=beat.service,
                data_centre=beat.zone,
                capacity=Resources(
                    cpu=beat.capacity.cpu,
                    memory_mb=beat.capacity.memory_mb,
                    gpu=beat.capacity.gpu,
                ),
                labels=frozenset(beat.labels),
                is_leaving=beat.state == LEAVING,
                remaining_s=_to_seconds(beat.remaining_ms),
                clock_s=_to_seconds(beat.clock_ms),
            )
        )

    def take_end(self, life_id: str) -> None:
        """Pass on that a worker ends."""
        self._observer.lose_life(life_id)


def _to_seconds(time_ms: float | None) -> float | None:
    return None if time_ms is None else time_ms / 1000
