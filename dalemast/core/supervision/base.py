"""What an agent receives from owners and from its worker."""

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
    """One incarnation of a worker, as the worker describes itself.

    ``id`` differs with each incarnation. ``remaining_s`` is the minimum time until a leaving worker
    ends, in seconds, if it reports one.
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
    """An owner's request to start a task. ``number`` counts that owner's starts.

    ``sent_at`` is the earliest time at which the owner may have sent it, by the agent's steady
    clock in seconds. ``priority`` is the job's, 0 being the most urgent. ``restart_slack_s`` is for
    how long after ``sent_at`` the task could restart with its job still on time, in seconds; None
    if it must not be preempted.
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
        """Return whether both are the same request, and not those of two submissions of a job."""
        return (self.owner, self.number) == (other.owner, other.number)


class StartOutcome(enum.Enum):
    """The outcome of an order to start a run."""

    RUNNING = "running"
    RUN_USED = "run-used"
    """The worker has received this run or a later one, from another order: it ignored this one."""
    RUN_RECEIVED = "run-received"
    """The worker has received this run or a later one, maybe by an earlier try of this order."""
    NO_CAPACITY = "no-room"
    EXPIRED = "expired"
    """The lease of the order had ended on the worker's clock before the order was executed."""
    FENCED = "fenced"
    """The worker has received a higher fencing token."""
    NOT_LISTENING = "not-listening"
    """No attempt reached the worker: nothing listened, or only another incarnation did."""
    REJECTED = "rejected"
    """The worker reported that it did not start the run."""
    WRONG_INCARNATION = "wrong-life"
    """Another incarnation of the worker answers at this address."""
    UNANSWERED = "unanswered"
    """No answer: the order may have been executed, or may be later."""


class ListedRun(NamedTuple):
    """A run that the worker lists as running. ``percent`` is its progress."""

    run_id: RunId
    percent: float


class EndedRun(NamedTuple):
    """A run that the worker lists as ended. ``number`` rises within an incarnation."""

    number: int
    run_id: RunId
    reason: EndReason
