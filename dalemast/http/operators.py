"""Handlers of the operators' API that every process has."""

from __future__ import annotations

from typing import Protocol

from dalemast.http.base import OperatorsMixin
from dalemast.http.server import Route
from dalemast.observability import Metrics

__all__ = ["OperatorsHandler", "ServedProcess", "get_common_routes"]

OPEN_PATHS = frozenset({"/v1/health", "/v1/ready"})
"""Paths that need no token, for load balancers."""


class ServedProcess(Protocol):
    """Interface of a process to the handlers."""

    @property
    def token(self) -> str:
        """The operators' token; an empty one disables the check."""

    @property
    def metrics(self) -> Metrics:
        """Counters and latency histograms."""

    def get_status(self) -> str:
        """Return "ready", or the reason why new work is not accepted."""

    def get_state(self) -> object:
        """Return the state dump."""


class OperatorsHandler(OperatorsMixin):
    """Base of the handlers on the operators' listener; all but open paths need the token."""

    def initialize(self, process: ServedProcess) -> None:
        """Set the process given in the route."""
        self._process = process

    def prepare(self) -> None:
        """Check the token."""
        if self.request.path not in OPEN_PATHS:
            self.check_operator(self._process.token)


class StateHandler(OperatorsHandler):
    """``GET /v1/state``."""

    def get(self) -> None:
        """Send the state dump."""
        self.send_json(self._process.get_state())


class MetricsHandler(OperatorsHandler):
    """``GET /v1/metrics``."""

    def get(self) -> None:
        """Send the metrics."""
        self.send_json(self._process.metrics.dump())


class HealthHandler(OperatorsHandler):
    """``GET /v1/health``: whether the event loop is running."""

    def get(self) -> None:
        """Respond with 200."""
        self.send_json({"status": "ok"})


class ReadyHandler(OperatorsHandler):
    """``GET /v1/ready``: whether new work is accepted."""

    def get(self) -> None:
        """Respond with 200, or with 503 and the reason."""
        status = self._process.get_status()
        self.send_json({"status": status}, status=200 if status == "ready" else 503)


def get_common_routes(process: ServedProcess) -> list[Route]:
    """Return the routes that are common to all processes."""
    arguments = {"process": process}
    return [
        ("/v1/state", StateHandler, arguments),
        ("/v1/metrics", MetricsHandler, arguments),
        ("/v1/health", HealthHandler, arguments),
        ("/v1/ready", ReadyHandler, arguments),
    ]
