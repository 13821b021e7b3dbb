"""What every process answers to operators in the same way."""

from __future__ import annotations

from typing import Protocol

from dalemast.http.base import OperatorsMixin
from dalemast.http.server import Route
from dalemast.observability import Metrics

__all__ = ["OperatorsHandler", "ServedProcess", "get_common_routes"]

OPEN_PATHS = frozenset({"/v1/health", "/v1/ready"})
"""Paths that a balancer asks without a token."""


class ServedProcess(Protocol):
    """What the handlers need of a process."""

    @property
    def token(self) -> str:
        """The operators' token; empty lets everyone in."""

    @property
    def metrics(self) -> Metrics:
        """Counters and latencies."""

    def get_status(self) -> str:
        """Return ready, or the reason why new work is not taken."""

    def get_state(self) -> object:
        """Return the dump."""


class OperatorsHandler(OperatorsMixin):
    """A handler on the operators' listener; all but open paths need the token."""

    def initialize(self, process: ServedProcess) -> None:
        """Take what the routes give."""
        self._process = process

    def prepare(self) -> None:
        """Check the token."""
        if self.request.path not in OPEN_PATHS:
            self.check_operator(self._process.token)


class StateHandler(OperatorsHandler):
    """``GET /v1/state``."""

    def get(self) -> None:
        """Dump the process."""
        self.send_json(self._process.get_state())


class MetricsHandler(OperatorsHandler):
    """``GET /v1/metrics``."""

    def get(self) -> None:
        """Dump the metrics."""
        self.send_json(self._process.metrics.dump())


class HealthHandler(OperatorsHandler):
    """``GET /v1/health``: the loop turns."""

    def get(self) -> None:
        """Answer."""
        self.send_json({"status": "ok"})


class ReadyHandler(OperatorsHandler):
    """``GET /v1/ready``: new work is taken."""

    def get(self) -> None:
        """Answer 200, or 503 with the reason."""
        status = self._process.get_status()
        self.send_json({"status": status}, status=200 if status == "ready" else 503)


def get_common_routes(process: ServedProcess) -> list[Route]:
    """Return the routes that every process has."""
    arguments = {"process": process}
    return [
        ("/v1/state", StateHandler, arguments),
        ("/v1/metrics", MetricsHandler, arguments),
        ("/v1/health", HealthHandler, arguments),
        ("/v1/ready", ReadyHandler, arguments),
    ]
