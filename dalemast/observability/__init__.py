"""Structured logs, latency histograms and counters of a process."""

from dalemast.observability.logs import LogLevel, log_error, log_event, set_up_logs
from dalemast.observability.metrics import Metrics
from dalemast.observability.refusals import RefusalLog

__all__ = ["LogLevel", "Metrics", "RefusalLog", "log_error", "log_event", "set_up_logs"]
