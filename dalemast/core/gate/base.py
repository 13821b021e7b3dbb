"""Messages between the gate and the process round it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from dalemast.core.wire import AgentFrame

__all__ = ["GateEffects", "OutcomeKind", "RunTask", "TaskOutcome"]


def _get_no_value() -> msgspec.Raw:
    return msgspec.Raw(b"null")


class OutcomeKind(enum.Enum):
    """How a call to the endpoint ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """The connection was refused: the endpoint did not see the task."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunTask:
    """Ask the process to call the endpoint with one task."""

    owner: str
    job: int
    index: int
    service: str
    payload: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskOutcome:
    """Tell the gate how the call of a task ended. ``run_ms`` is in milliseconds."""

    owner: str
    job: int
    index: int
    kind: OutcomeKind
    value: msgspec.Raw = field(default_factory=_get_no_value)
    error: str = ""
    run_ms: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GateEffects:
    """What the process must do now: tasks to run and frames to send, by owner."""

    runs: tuple[RunTask, ...]
    frames: tuple[tuple[str, AgentFrame], ...]
