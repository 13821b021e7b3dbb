"""Interfaces of platform backends, which settings name by dotted path."""

from __future__ import annotations

import abc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from dalemast.core.evacuations import EvacuationChanges
from dalemast.core.scheduling import JobState
from dalemast.core.supervision import (
    EndedRun,
    ListedRun,
    PollPlan,
    RunId,
    StartOutcome,
    StartRequest,
)
from dalemast.core.supervision.base import WorkerIncarnation
from dalemast.core.workloads import (
    JobRequest,
    Queue,
    QueueTable,
)
from dalemast.observability import Metrics

__all__ = [
    "BaseIngress",
    "BaseMemberStore",
    "BaseRegistration",
    "BaseWorkerDriver",
    "CancelOutcome",
    "CancelUnconfirmed",
    "Configuration",
    "DeclarationObserver",
    "JobCancelled",
    "JobDone",
    "JobDropped",
    "JobOutcome",
    "JobRejected",
    "JobUnknown",
    "Jobs",
    "PollResult",
    "Member",
    "WorkerGone",
    "WorkerObserver",
    "WorkerReplaced",
    "WorkerUnanswered",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One incarnation of an entry. ``address``, an IP address and port, accepts its links."""

    name: str
    incarnation: str
    address: str
    data_centre: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDone:
    """The job has ended in this state."""

    state: JobState


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRejected:
    """The submission was rejected; no task of the job has run or will run for it."""

    cause: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDropped:
    """The entry no longer tracks the job, which may have run in part; it may be resubmitted."""

    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """The caller has cancelled the job, none of whose tasks will be started any more."""


JobOutcome = JobDone | JobRejected | JobDropped | JobCancelled


@dataclass(frozen=True, kw_only=True, slots=True)
class JobUnknown:
    """No entry has the job to cancel. A submission that arrives later is answered as cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelUnconfirmed:
    """The job may go on at an entry that did not answer; the request may be repeated."""

    cause: str
    retry_after_s: float


CancelOutcome = JobCancelled | JobUnknown | CancelUnconfirmed


class Jobs(Protocol):
    """The interface of an entry that an ingress uses."""

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new connections."""

    @property
    def is_draining(self) -> bool:
        """Whether connections are to be closed after their next response."""

    @property
    def queues(self) -> QueueTable:
        """The queues of the current configuration; raises ``QueuesUnknown`` before the first."""

    async def run(self, request: JobRequest) -> JobOutcome:
        """Run a job and return its outcome."""

    async def cancel(self, *, queue: Queue, job_id: str, timeout_s: float) -> CancelOutcome:
        """Cancel a job of a queue, whichever entry has it.

        ``timeout_s`` is how long the caller waits for the answer, in seconds.
        """

    def handle_disconnect(self, job_id: str) -> None:
        """Handle that the caller of a job has closed its connection."""


class BaseIngress(abc.ABC):
    """Serves callers and readiness checks."""

    def __init__(self, *, settings: Any, jobs: Jobs) -> None:
        self._settings = settings
        self._jobs = jobs

    @abc.abstractmethod
    def start(self) -> None:
        """Start to listen."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop listening and close all connections."""

    @property
    @abc.abstractmethod
    def open_connections(self) -> int:
        """The number of open connections of callers."""

    @abc.abstractmethod
    def close_idle(self) -> int:
        """Close the connections of callers that have no request in progress; return how many."""


class DeclarationObserver(Protocol):
    """Receives the evacuations and configurations that operators declare."""

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        """Handle the evacuations in a response of the store, even if nothing has changed."""

    def handle_configuration(self, configuration: Configuration) -> None:
        """Handle a newly accepted configuration."""


class BaseMemberStore(abc.ABC):
    """The platform's store, which holds operators' declarations and the list of entries."""

    @abc.abstractmethod
    async def announce(self, member: Member) -> None:
        """Write this entry's row, and retry until it is written."""

    @abc.abstractmethod
    async def list_members(self) -> list[Member]:
        """Return the announced entries, some of which may have stopped."""

    @abc.abstractmethod
    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Report declarations to the observer as they are accepted; run until cancelled.

        Of one response of the store the evacuations are reported first: an entry starts to serve
        callers at its first configuration, and must not start tasks in evacuated data centres.
        """

    @abc.abstractmethod
    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Call the callback with each announced entry; run until cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollResult:
    """The runs that a worker lists.

    ``asked_at`` is when the poll was sent, on the agent's monotonic clock.
    """

    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    asked_at: float


class WorkerUnanswered(Exception):
    """The worker did not respond in time."""


class WorkerGone(Exception):
    """The worker's address refuses connections."""


class WorkerReplaced(Exception):
    """Another incarnation responds at the worker's address, so the expected one has ended."""


class BaseWorkerDriver(abc.ABC):
    """Calls one worker on the agent's own host."""

    @property
    @abc.abstractmethod
    def leased_until(self) -> float:
        """The latest time at which the leases that were sent so far can expire."""

    @abc.abstractmethod
    def register(self, incarnation: WorkerIncarnation) -> None:
        """Address all further calls to this incarnation."""

    @abc.abstractmethod
    async def start(self, request: StartRequest, *, get_limit: Callable[[], float]) -> StartOutcome:
        """Order a start, and retry while there is no response.

        ``get_limit`` is called before each attempt and returns the latest lease expiry, on the
        agent's monotonic clock, that may be granted; a time in the past cancels the start.
        """

    @abc.abstractmethod
    async def stop(self, run_id: RunId) -> bool:
        """Order a stop; return whether the worker responded."""

    @abc.abstractmethod
    async def poll(self, plan: PollPlan, *, limit: float) -> PollResult:
        """Request the running and ended runs, and renew the lease if the plan says so.

        ``limit`` is the latest lease expiry, on the agent's monotonic clock, that may be granted.
        Return after the planned wait or once a run ends. Raise :class:`WorkerUnanswered`,
        :class:`WorkerGone` or :class:`WorkerReplaced`.
        """


class WorkerObserver(Protocol):
    """Receives the reports that a registration accepts from the worker."""

    def register_incarnation(self, incarnation: WorkerIncarnation) -> None:
        """Handle a report of a worker incarnation."""

    def lose_incarnation(self, incarnation_id: str) -> None:
        """Handle that a worker incarnation has deregistered."""

    def restore_incarnation(self, incarnation_id: str) -> None:
        """Handle that earlier reports or a deregistration came from another writer."""


class BaseRegistration(abc.ABC):
    """Accepts the worker's reports on the agent's host.

    ``metrics`` counts reports from other writers.
    """

    def __init__(
        self, *, settings: Any, observer: WorkerObserver, metrics: Metrics | None = None
    ) -> None:
        self._settings = settings
        self._observer = observer
        self._metrics = metrics or Metrics()

    @abc.abstractmethod
    def start(self) -> None:
        """Start to listen."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop listening."""
