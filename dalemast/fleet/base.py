"""What the fleet's processes need of a platform. Backends are named by dotted path in settings."""

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
    LookPlan,
    RunId,
    StartOutcome,
    StartRequest,
)
from dalemast.core.supervision.base import WorkerLife
from dalemast.core.workloads import JobRequest, Queue, QueueTable
from dalemast.observability import Metrics

__all__ = [
    "BaseIngress",
    "BaseMemberStore",
    "BaseRegistration",
    "BaseWorkerDriver",
    "Configuration",
    "DeclarationObserver",
    "JobDone",
    "JobDropped",
    "JobOutcome",
    "JobTurnedAway",
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
    """One life of an entry. ``address`` is where its links are accepted, an IP number and port."""

    name: str
    incarnation: str
    address: str
    data_centre: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted version of the operators' declarations."""

    version: int
    queues: tuple[Queue, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDone:
    """The job has ended; this is its answer."""

    state: JobState


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTurnedAway:
    """None of the job has run nor ever will under this submission."""

    cause: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDropped:
    """The job may have run in part and is not followed here any more; it may be sent again."""

    cause: str


JobOutcome = JobDone | JobTurnedAway | JobDropped


class Jobs(Protocol):
    """What an ingress needs of an entry."""

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""

    @property
    def is_draining(self) -> bool:
        """Whether connections should end with their next answer."""

    @property
    def queues(self) -> QueueTable:
        """The configuration in force; raises ``QueuesUnknown`` when there is none yet."""

    async def run(self, request: JobRequest) -> JobOutcome:
        """Run a job to its end."""

    def handle_disconnect(self, job_id: str) -> None:
        """Note that the caller of a job has hung up."""


class BaseIngress(abc.ABC):
    """Serves callers, and whoever asks whether this entry is ready."""

    def __init__(self, *, settings: Any, jobs: Jobs) -> None:
        self._settings = settings
        self._jobs = jobs

    @abc.abstractmethod
    def start(self) -> None:
        """Listen."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every connection."""

    @property
    @abc.abstractmethod
    def open_connections(self) -> int:
        """How many connections of callers are open."""

    @abc.abstractmethod
    def close_idle(self) -> int:
        """Close the callers' connections that wait for a further request; return how many."""


class DeclarationObserver(Protocol):
    """Hears what operators declare."""

    def handle_evacuations(self, changes: EvacuationChanges) -> None:
        """Take in what an answer of the store says of evacuations, also if nothing has changed."""

    def handle_configuration(self, configuration: Configuration) -> None:
        """Take in a configuration as it is accepted."""


class BaseMemberStore(abc.ABC):
    """The platform's store, for what operators declare and for the list of entries."""

    @abc.abstractmethod
    async def announce(self, member: Member) -> None:
        """Write this entry's row; tries until it is written."""

    @abc.abstractmethod
    async def list_members(self) -> list[Member]:
        """Return the entries that were announced; some may be gone."""

    @abc.abstractmethod
    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Report what operators declare as it is accepted; runs until cancelled.

        Of one answer of the store the evacuations are reported first: an entry serves callers from
        its first configuration on, and has to know by then where nothing may start.
        """

    @abc.abstractmethod
    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Report each announced entry; runs until cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollResult:
    """What a worker lists. ``asked_at`` is when it was asked, on the agent's steady clock."""

    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    asked_at: float


class WorkerUnanswered(Exception):
    """The worker gave no answer in time."""


class WorkerGone(Exception):
    """Nothing listens at the worker's address."""


class WorkerReplaced(Exception):
    """Another life answers at the worker's address, so the one that was meant is over."""


class BaseWorkerDriver(abc.ABC):
    """Calls one worker on the agent's own host."""

    @property
    @abc.abstractmethod
    def leased_until(self) -> float:
        """When everything on the worker has surely lapsed, by what was sent so far."""

    @abc.abstractmethod
    def register(self, life: WorkerLife) -> None:
        """Address all further calls to this life."""

    @abc.abstractmethod
    async def start(self, request: StartRequest, *, get_limit: Callable[[], float]) -> StartOutcome:
        """Order a start, trying again while it stays unanswered.

        ``get_limit`` tells before each try until when, by the agent's steady clock, the worker may
        be told to run on; in the past it says that the start is not wanted any more.
        """

    @abc.abstractmethod
    async def stop(self, run_id: RunId) -> bool:
        """Order a stop; return whether it was answered."""

    @abc.abstractmethod
    async def poll(self, plan: LookPlan, *, limit: float) -> PollResult:
        """Ask what runs and what ended, and renew the lease if that is planned.

        ``limit`` is until when the worker may be told to run on, by the agent's steady clock.
        Returns after the planned wait or once something ends. Raises :class:`WorkerUnanswered`,
        :class:`WorkerGone` or :class:`WorkerReplaced`.
        """


class WorkerObserver(Protocol):
    """What a registration tells."""

    def register_incarnation(self, life: WorkerLife) -> None:
        """A worker has reported."""

    def lose_incarnation(self, life_id: str) -> None:
        """A worker has said that it ends."""

    def restore_incarnation(self, life_id: str) -> None:
        """What was reported of a worker's life was another writer's, also that it ends."""


class BaseRegistration(abc.ABC):
    """Takes the worker's reports on the agent's host.

    ``metrics`` counts the reports that are not the worker's.
    """

    def __init__(
        self, *, settings: Any, observer: WorkerObserver, metrics: Metrics | None = None
    ) -> None:
        self._settings = settings
        self._observer = observer
        self._metrics = metrics or Metrics()

    @abc.abstractmethod
    def start(self) -> None:
        """Listen."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop listening."""
