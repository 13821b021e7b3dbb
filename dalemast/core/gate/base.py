"""The requests and results exchanged between the gate and the agent process."""

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
    """The connection was refused, so the endpoint has not received the task."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunTask:
    """A request to call the endpoint with one task."""

    owner: str
    job: int
    index: int
    service: str
    payload: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskOutcome:
    """The outcome of the call of a task. ``run_ms`` is in milliseconds."""

    owner: str
    job: int
    index: int
    kind: OutcomeKind
    value: msgspec.Raw = field(default_factory=_get_no_value)
    error: str = ""
    run_ms: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GateEffects:
    """Tasks to run, and frames to send, each with the name of its owner."""

    runs: tuple[RunTask, ...]
    frames: tuple[tuple[str, AgentFrame], ...]
