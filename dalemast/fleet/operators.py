"""The operators' HTTP endpoints of a fleet process: metrics as text and state as JSON."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.http.base import BaseHandler
from dalemast.http.server import Listener
from dalemast.observability import Metrics
from dalemast.settings import ListenerSettings

__all__ = ["MetricsListener"]


class MetricsHandler(BaseHandler):
    """``GET /metrics``: one metric per line."""

    def initialize(self, metrics: Metrics) -> None:
        """Set the arguments of the route."""
        self._metrics = metrics

    def get(self) -> None:
        """Send all metrics."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(render_metrics(self._metrics))


class StateHandler(BaseHandler):
    """``GET /state``: the state of the process."""

    def initialize(self, get_state: Callable[[], object]) -> None:
        """Set the arguments of the route."""
        self._get_state = get_state

    def get(self) -> None:
        """Send the state."""
        self.send_json(self._get_state())


class MetricsListener:
    """Serves ``/metrics`` and ``/state`` on one address."""

    def __init__(self, *, address: str, metrics: Metrics, get_state: Callable[[], object]) -> None:
        self._listener = Listener(
            settings=ListenerSettings(address=address),
            routes=[
                ("/metrics", MetricsHandler, {"metrics": metrics}),
                ("/state", StateHandler, {"get_state": get_state}),
            ],
        )

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._listener.close()


def render_metrics(metrics: Metrics) -> str:
    """Return counters and latency percentiles, in milliseconds, as text."""
    dump = metrics.dump()
    lines = [
        f"uptime_seconds {dump.uptime_s}",
        f"processor_seconds {dump.processor_s}",
        f"resident_bytes {dump.resident_bytes}",
    ]
    lines += [f'count{{name="{name}"}} {value}' for name, value in dump.counters.items()]
    for row in dump.latencies:
        where = f'stage="{row.stage}",queue="{row.account}"'
        lines.append(f"latency_count{{{where}}} {row.count}")
        for percentile, value in row.percentiles_ms.items():
            lines.append(f'latency_ms{{{where},q="{percentile}"}} {value}')
    return "\n".join(lines) + "\n"
