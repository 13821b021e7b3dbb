"""The agent's decisions: which tasks start, once, and what each owner is told."""

from dalemast.core.gate.base import GateEffects, RunTask, TaskOutcome
from dalemast.core.gate.gate import Gate

__all__ = ["Gate", "GateEffects", "RunTask", "TaskOutcome"]
