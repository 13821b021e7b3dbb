"""What a process shows of itself: structured logs, latencies and counters."""

from dalemast.observability.logs import LogLevel, log_error, log_event, set_up_logs
from dalemast.observability.metrics import Metrics
from dalemast.observability.refusals import RefusalLog

__all__ = ["LogLevel", "Metrics", "RefusalLog", "log_error", "log_event", "set_up_logs"]
