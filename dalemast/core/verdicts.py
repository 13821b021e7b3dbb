"""Whether a request ran, as far as it can be proved.

Callers rely on ``NOT_RUN`` to repeat work, so the owner derives it only from the states of all
tasks, by :func:`get_verdict`. A task that was sent and not answered may have run, however much time
has passed.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

__all__ = ["ALLOWED_TRANSITIONS", "IllegalTransition", "Run", "TaskState", "get_verdict"]


class Run(enum.Enum):
    """Whether a request ran, as reported to its caller."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class TaskState(enum.Enum):
    """The state of a task at its owner."""

    WAITING = "waiting"
    """Queued at the owner; no agent holds it."""
    SENT = "sent"
    """Sent to an agent; it may be queued, running, done or lost there."""
    DONE = "done"
    """The endpoint answered."""
    FAILED = "failed"
    """The task was started and the endpoint failed it."""
    REVOKED = "revoked"
    """Dropped before it started; it will never be started."""
    LOST = "lost"
    """Sent to an agent that was lost; it is unknown whether it started."""


ALLOWED_TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.WAITING: frozenset({TaskState.SENT, TaskState.REVOKED}),
    TaskState.SENT: frozenset(
        {TaskState.WAITING, TaskState.DONE, TaskState.FAILED, TaskState.REVOKED, TaskState.LOST}
    ),
    TaskState.DONE: frozenset(),
    TaskState.FAILED: frozenset(),
    TaskState.REVOKED: frozenset(),
    # A late answer may still resolve a lost task, but it is never queued again: it may have run.
    TaskState.LOST: frozenset({TaskState.DONE, TaskState.FAILED}),
}
"""Allowed state transitions of a task. From SENT to WAITING requires an agent's refusal, which
guarantees that the agent will not start the task."""

_NEVER_STARTED = frozenset({TaskState.WAITING, TaskState.REVOKED})
_STARTED = frozenset({TaskState.DONE, TaskState.FAILED})


class IllegalTransition(Exception):
    """A state transition that is not allowed, which is a bug in the caller."""


def get_verdict(states: Iterable[TaskState]) -> Run:
    """Return whether a request ran, given the states of all its tasks."""
    seen = set(states)
    if seen <= _NEVER_STARTED:
        return Run.NOT_RUN
    if seen <= _NEVER_STARTED | _STARTED:
        return Run.RAN
    return Run.MAY_HAVE_RUN
