"""What operators ask of an agent."""

from __future__ import annotations

import msgspec

from dalemast.agent.engine import AgentEngine
from dalemast.http.base import OperatorsMixin
from dalemast.http.server import Route
from dalemast.observability import Metrics
from dalemast.settings import AgentSettings

__all__ = ["AgentState", "get_operators_routes"]


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that runs now."""

    owner: str
    job: int
    index: int
    service: str


class AgentState(msgspec.Struct, frozen=True, kw_only=True):
    """The dump of an agent."""

    role: str
    name: str
    worker: str
    data_centre: str
    incarnation: str
    configuration_version: int
    is_draining: bool
    slots: int
    running: int
    queued: int
    started: int
    duplicate_starts: int
    unconfirmed_frames: int
    links: int
    owners: tuple[str, ...]
    running_tasks: tuple[RunningTask, ...]


class _AgentHandler(OperatorsMixin):
    def initialize(
        self, engine: AgentEngine, settings: AgentSettings, metrics: Metrics, token: str
    ) -> None:
        self._engine = engine
        self._settings = settings
        self._metrics = metrics
        self._token = token

    def prepare(self) -> None:
        if self.request.path not in ("/v1/health", "/v1/ready"):
            self.check_operator(self._token)


class StateHandler(_AgentHandler):
    """``GET /v1/state``."""

    def get(self) -> None:
        """Dump the agent."""
        self.send_json(get_state(self._engine, self._settings))


class MetricsHandler(_AgentHandler):
    """``GET /v1/metrics``."""

    def get(self) -> None:
        """Dump the metrics."""
        self.send_json(self._metrics.dump())


class HealthHandler(_AgentHandler):
    """``GET /v1/health``: the loop turns."""

    def get(self) -> None:
        """Answer."""
        self.send_json({"status": "ok"})


class ReadyHandler(_AgentHandler):
    """``GET /v1/ready``: starts are accepted."""

    def get(self) -> None:
        """Answer 200, or 503 while draining."""
        is_ready = not self._engine.gate.is_draining
        status = "ready" if is_ready else "draining"
        self.send_json({"status": status}, status=200 if is_ready else 503)


class DrainHandler(_AgentHandler):
    """``POST /v1/drain`` takes the endpoint out, ``DELETE /v1/drain`` puts it back."""

    def post(self) -> None:
        """Refuse new starts from now on; what runs goes on."""
        self._engine.start_draining()
        self.send_json(get_state(self._engine, self._settings))

    def delete(self) -> None:
        """Accept starts again."""
        self._engine.stop_draining()
        self.send_json(get_state(self._engine, self._settings))


def get_state(engine: AgentEngine, settings: AgentSettings) -> AgentState:
    """Return the dump of an agent."""
    gate = engine.gate
    return AgentState(
        role="agent",
        name=settings.name,
        worker=settings.worker,
        data_centre=settings.data_centre,
        incarnation=gate.incarnation,
        configuration_version=gate.configuration_version,
        is_draining=gate.is_draining,
        slots=settings.slots,
        running=gate.running,
        queued=gate.queued,
        started=gate.started,
        duplicate_starts=gate.duplicate_starts,
        unconfirmed_frames=gate.unconfirmed,
        links=gate.link_count,
        owners=gate.owner_names,
        running_tasks=tuple(
            RunningTask(owner=run.owner, job=run.job, index=run.index, service=run.service)
            for run in gate.get_running()
        ),
    )


def get_operators_routes(
    *, engine: AgentEngine, settings: AgentSettings, metrics: Metrics, token: str
) -> list[Route]:
    """Return the routes of the operators' listener."""
    arguments = {"engine": engine, "settings": settings, "metrics": metrics, "token": token}
    return [
        ("/v1/state", StateHandler, arguments),
        ("/v1/metrics", MetricsHandler, arguments),
        ("/v1/health", HealthHandler, arguments),
        ("/v1/ready", ReadyHandler, arguments),
        ("/v1/drain", DrainHandler, arguments),
    ]
