"""The agent's gate: starts each accepted task at most once and reports outcomes to owners."""

from dalemast.core.gate.base import GateEffects, RunTask, TaskOutcome
from dalemast.core.gate.gate import Gate

__all__ = ["Gate", "GateEffects", "RunTask", "TaskOutcome"]
