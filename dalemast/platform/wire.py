"""Messages exchanged with the platform.

This module maps the platform's field names to attribute names. Unknown fields are ignored. Times on
the wire are in milliseconds.
"""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec

__all__ = [
    "ConfigurationDocument",
    "EvacuationDocument",
    "FeedResponse",
    "Heartbeat",
    "HoldResponse",
    "HoldCall",
    "JobBody",
    "JobStateBody",
    "RejectionBody",
    "RouteBody",
    "RowBody",
    "RowKey",
    "RowsResponse",
    "StartCall",
    "StepBody",
    "StopCall",
    "TransactionCall",
    "WaitingBody",
    "WorkerState",
]

EXPECTED_INCARNATION_HEADER = "Dalemast-Expect-Instance"
DEADLINE_HEADER = "Dalemast-Deadline-Ms"
MAX_TEXT = 200
"""Maximum length of a name, address or label, in characters. Keys of the store are limited to the
same number of bytes."""
MAX_LABELS = 64
"""Maximum number of labels of a worker."""
MAX_AMOUNT = 10**9
"""Maximum amount of a resource: millicores, megabytes of memory or GPUs."""
MAX_MS = 1e15
"""Maximum time, in milliseconds. A float represents every whole number up to this one exactly."""
MAX_VERSION = 2**53
"""Maximum version or report number. Every JSON library decodes integers up to it without loss."""

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class Wire(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base class of the platform's messages."""


class StepBody(Wire, frozen=True, kw_only=True):
    """A step of a job: a number of tasks with the same requirements."""

    count: int
    cpu: int = 0
    memory_mb: int = msgspec.field(default=0, name="mem_mb")
    gpu: int = 0
    estimate_ms: float = 0.0
    # Indexes of the earlier steps that must end first. Despite its wire name, not a revision.
    after: tuple[int, ...] = msgspec.field(default=(), name="since_rev")
    saves_progress: bool = msgspec.field(default=False, name="checkpointing")
    is_gang: bool = msgspec.field(default=False, name="gang")
    is_one_rack: bool = msgspec.field(default=False, name="same_rack")
    # Label that the worker must have.
    label: str = msgspec.field(default="", name="requires")
    # Rack that holds the data. Tasks may run in other racks, but run slower there.
    data_rack: str = msgspec.field(default="", name="affinity")
    # Maximum number of this step's tasks on one worker. Despite its wire name, not a list of tasks
    # to keep apart.
    max_per_worker: int = msgspec.field(default=0, name="anti_affinity")
    may_run_twice: bool = msgspec.field(default=False, name="speculative")
    # Whether the tasks run until the job is cancelled.
    is_lasting: bool = msgspec.field(default=False, name="daemon")
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


class JobBody(Wire, frozen=True, kw_only=True):
    """A job as submitted by a caller."""

    # Opaque text that is passed to the worker unchanged.
    payload: str = msgspec.field(default="", name="spec")
    steps: Annotated[tuple[StepBody, ...], msgspec.Meta(min_length=1)]
    # Whether the job's state may be discarded once the job has been answered.
    is_unkept: bool = msgspec.field(default=False, name="best_effort")
    times: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class JobStateBody(Wire, frozen=True, kw_only=True):
    """State of a job."""

    state: str


class WaitingBody(msgspec.Struct, frozen=True, kw_only=True):
    """Number of accepted jobs of a queue that have not started."""

    waiting: int


class RejectionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for the rejection of a request. ``retry_ms`` is the pause before a retry."""

    error: str
    code: str
    retry_ms: int = 0


class RouteBody(Wire, frozen=True, kw_only=True):
    """A queue as configured by operators."""

    name: Text
    host: Text
    prefix: str = msgspec.field(name="path_prefix")
    service: Text
    priority: int = 0
    attempts: Positive = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)] = 1.0
    # Added to the stretched run time to give the objective. Despite its wire name, not the whole
    # objective.
    slack_ms: Milliseconds = msgspec.field(default=0.0, name="slo_ms")
    timeout_ms: Milliseconds = 0.0
    # Set if an advice service decides which workers may run a step.
    advice: Any = None


class ConfigurationDocument(Wire, frozen=True, kw_only=True):
    """The operators' whole configuration.

    ``services`` and ``limits`` are unused, but required: a document that lacks them was not written
    by operators.
    """

    version: Version
    routes: tuple[RouteBody, ...]
    services: tuple[Any, ...]
    limits: dict[str, Any]


class EvacuationDocument(Wire, frozen=True, kw_only=True):
    """An operator's request to start nothing more in a data centre, which the row's key names."""


class RowBody(Wire, frozen=True, kw_only=True):
    """A row of the store. ``value`` is encoded in base64."""

    table: str = ""
    part: str = ""
    key: Text
    value: str = ""
    ver: Version = 0
    is_removed: bool = msgspec.field(default=False, name="removed")


class RowKey(Wire, frozen=True, kw_only=True):
    """The key of a row, from which the next page is read."""

    key: Text


class RowsResponse(Wire, frozen=True, kw_only=True):
    """A page of a table. ``ver`` is the store's version when the page was read.

    Rows are decoded one by one, so that an invalid row does not invalidate the page.
    """

    rows: tuple[msgspec.Raw, ...] = ()
    has_more: bool = msgspec.field(default=False, name="more_pages")
    ver: Version


class FeedResponse(Wire, frozen=True, kw_only=True):
    """Rows that have changed. The next call continues from ``ver``."""

    rows: tuple[msgspec.Raw, ...] = ()
    ver: Version


class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str


class TransactionCall(Wire, frozen=True, kw_only=True):
    """Rows to write in one transaction."""

    writes: tuple[RowWrite, ...] = msgspec.field(default=(), name="set_keys")


class WorkerState(enum.Enum):
    """State that a worker reports."""

    READY = "ready"
    LEAVING = "draining"


class CapacityBody(Wire, frozen=True, kw_only=True):
    """Total resources of a worker."""

    cpu: Positive
    memory_mb: Positive = msgspec.field(name="mem_mb")
    gpu: Amount = 0


class Heartbeat(Wire, frozen=True, kw_only=True):
    """A worker's periodic report.

    ``born`` is the start time of the worker's process, in Unix milliseconds. It distinguishes
    incarnations that have the same worker id. ``born``, ``clock_ms`` and ``remaining_ms`` are UNSET
    if the sender omitted them.
    """

    service: Text
    address: Text = msgspec.field(name="addr")
    zone: Text
    version: str
    slots: Amount
    state: WorkerState
    cold_left_ms: Milliseconds
    seq: Version
    capacity: CapacityBody
    labels: Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_LABELS)]
    born: Version | msgspec.UnsetType = msgspec.UNSET
    clock_ms: Milliseconds | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: Milliseconds | msgspec.UnsetType = msgspec.UNSET


class StartCall(Wire, frozen=True, kw_only=True):
    """Start a run. ``until_ms`` is on the worker's clock and renews the lease of all its runs."""

    task: str
    run: int
    payload: str = msgspec.field(name="spec")
    until_ms: int
    fence: int


class StopCall(Wire, frozen=True, kw_only=True):
    """Stop a run. If its start has not arrived yet, the worker must reject that start."""

    task: str
    run: int
    fence: int


class HoldCall(Wire, frozen=True, kw_only=True):
    """Renew the lease and list the worker's runs."""

    fence: int
    # The worker discards ended runs up to this number.
    ends_seen: int = msgspec.field(name="acked_upto")
    until_ms: int | None = None
    wait_ms: int | None = None


class HoldResponse(Wire, frozen=True, kw_only=True):
    """The worker's runs.

    The rows of ``running`` hold task, run, saved progress and percentage done; those of ``ended``
    hold number, task, run, end reason and saved progress. ``born`` identifies the incarnation, as
    in :class:`Heartbeat`.
    """

    clock_ms: float
    born: int | msgspec.UnsetType = msgspec.UNSET
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()


class ClockResponse(Wire, frozen=True, kw_only=True):
    """Fields common to all responses of a worker. ``reason`` is why it rejected a call."""

    clock_ms: float | None = None
    reason: str = ""
