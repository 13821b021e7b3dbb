"""What an agent hears from owners and from its worker."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from dalemast.core.scheduling.actions import EndReason
from dalemast.core.workloads import Resources, TaskKey

__all__ = ["EndedRun", "ListedRun", "RunId", "StartOutcome", "StartRequest", "WorkerIncarnation"]


class RunId(NamedTuple):
    """One run of one task."""

    job_id: str
    task: TaskKey
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerIncarnation:
    """A worker's account of itself. ``id`` is new with each of its lives.

    ``remaining_s`` is the least time it has left while it leaves, if it says so.
    """

    id: str
    service: str
    data_centre: str
    capacity: Resources
    labels: frozenset[str]
    is_leaving: bool
    remaining_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """An owner's wish to start a task. ``number`` counts that owner's starts.

    ``sent_at`` is when the owner said so at the earliest, by the agent's steady clock in seconds.
    ``priority`` is the job's, and 0 the most urgent. ``restart_slack_s`` is for how long after
    ``sent_at`` the task could begin anew and its job be on time; None if it must not be preempted.
    """

    owner: str
    run_id: RunId
    payload: str
    resources: Resources
    expected_s: float
    number: int
    sent_at: float
    priority: int = 0
    restart_slack_s: float | None = None

    def is_same(self, other: StartRequest) -> bool:
        """Tell whether both are one wish of one owner, and not those of two submissions."""
        return (self.owner, self.number) == (other.owner, other.number)


class StartOutcome(enum.Enum):
    """What became of an order to start."""

    RUNNING = "running"
    RUN_USED = "run-used"
    """The worker has seen this run or a later one."""
    NO_ROOM = "no-room"
    EXPIRED = "expired"
    """The order's lease had ended on the worker's clock before it was carried out."""
    FENCED = "fenced"
    """The worker has seen a higher fencing token."""
    NOT_LISTENING = "not-listening"
    """Nothing listened at any try, or another life did: no worker has seen the order."""
    REJECTED = "rejected"
    """The worker said that it did nothing."""
    WRONG_LIFE = "wrong-life"
    """Another life of the worker answers at this address."""
    UNANSWERED = "unanswered"
    """No answer: it may have been done, or be done later."""


class ListedRun(NamedTuple):
    """A run that the worker lists as running. ``percent`` is its progress."""

    run_id: RunId
    percent: float


class EndedRun(NamedTuple):
    """A run that the worker lists as ended. ``number`` rises within a life."""

    number: int
    run_id: RunId
    reason: EndReason
