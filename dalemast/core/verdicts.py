"""What can be proved about whether a request ran.

``NOT_RUN`` is a promise, so it can only be built from evidence: :func:`get_verdict` takes the state
of each task and there is no other way to a verdict in the owner. A task that was sent and not
answered has no evidence of either kind, whatever time has passed.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

__all__ = ["ALLOWED_TRANSITIONS", "IllegalTransition", "Run", "TaskState", "get_verdict"]


class Run(enum.Enum):
    """The three words a caller is told."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class TaskState(enum.Enum):
    """The states of one task as its owner knows them."""

    WAITING = "waiting"
    """With the owner; no agent holds it."""
    SENT = "sent"
    """Written to an agent's connection; it may be queued, running, done or lost there."""
    DONE = "done"
    """The endpoint answered."""
    FAILED = "failed"
    """It was started and the endpoint did not give an answer."""
    REVOKED = "revoked"
    """Given up before any start; no agent holds it and none ever will."""
    LOST = "lost"
    """It was sent to an agent that is gone; nobody can say whether it started."""


ALLOWED_TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.WAITING: frozenset({TaskState.SENT, TaskState.REVOKED}),
    TaskState.SENT: frozenset(
        {TaskState.WAITING, TaskState.DONE, TaskState.FAILED, TaskState.REVOKED, TaskState.LOST}
    ),
    TaskState.DONE: frozenset(),
    TaskState.FAILED: frozenset(),
    TaskState.REVOKED: frozenset(),
    # A late answer may still tell what became of a lost task. It can never wait again.
    TaskState.LOST: frozenset({TaskState.DONE, TaskState.FAILED}),
}
"""Moves of a task. SENT to WAITING needs an agent's word that it will never start that start."""

_NEVER_STARTED = frozenset({TaskState.WAITING, TaskState.REVOKED})
_STARTED = frozenset({TaskState.DONE, TaskState.FAILED})


class IllegalTransition(Exception):
    """A task was asked to move where the table of moves does not lead: a bug in the caller."""


def get_verdict(states: Iterable[TaskState]) -> Run:
    """Return what the states of all tasks of a request prove about it."""
    seen = set(states)
    if seen <= _NEVER_STARTED:
        return Run.NOT_RUN
    if seen <= _NEVER_STARTED | _STARTED:
        return Run.RAN
    return Run.MAY_HAVE_RUN
