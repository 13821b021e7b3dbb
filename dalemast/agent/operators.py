"""The operators' API of an agent."""

from __future__ import annotations

import msgspec

from dalemast.agent.engine import AgentEngine
from dalemast.http.operators import OperatorsHandler, get_common_routes
from dalemast.http.server import Route
from dalemast.observability import Metrics
from dalemast.settings import AgentSettings

__all__ = ["AgentState", "get_operators_routes"]


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that is currently running."""

    owner: str
    job: int
    index: int
    service: str


class AgentState(msgspec.Struct, frozen=True, kw_only=True):
    """State dump of an agent."""

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


class AgentOperators:
    """Dependencies of the operators' handlers."""

    def __init__(
        self, *, engine: AgentEngine, settings: AgentSettings, metrics: Metrics, token: str
    ) -> None:
        self.engine = engine
        self.metrics = metrics
        self.token = token
        self._settings = settings

    def get_status(self) -> str:
        """Return "draining" if new starts are refused, else "ready"."""
        return "draining" if self.engine.gate.is_draining else "ready"

    def get_state(self) -> AgentState:
        """Return the state dump."""
        return get_state(self.engine, self._settings)


class DrainHandler(OperatorsHandler):
    """``POST /v1/drain`` takes the endpoint out of service, ``DELETE /v1/drain`` puts it back."""

    _process: AgentOperators

    def post(self) -> None:
        """Refuse new starts from now on; running tasks continue."""
        self._process.engine.start_draining()
        self.send_json(self._process.get_state())

    def delete(self) -> None:
        """Accept starts again."""
        self._process.engine.stop_draining()
        self.send_json(self._process.get_state())


def get_state(engine: AgentEngine, settings: AgentSettings) -> AgentState:
    """Return the state dump of an agent."""
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
    """Return the routes for the operators' listener."""
    process = AgentOperators(engine=engine, settings=settings, metrics=metrics, token=token)
    return [*get_common_routes(process), ("/v1/drain", DrainHandler, {"process": process})]
