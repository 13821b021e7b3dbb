"""The platform's messages. Each wire name stands here once, beside what it holds.

Fields that the platform may add are passed over. Times on the wire are milliseconds.
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
"""Characters of a name, address or label; keys of the store have as many bytes at most."""
MAX_LABELS = 64
"""Labels of a worker. The platform gives two: its kind and its rack."""
MAX_AMOUNT = 10**9
"""Largest amount of a resource: a million cores, a thousand terabytes. No worker has as much, and
sums of it stay exact."""
MAX_MS = 1e15
"""Longest time: 30,000 years in milliseconds, which a float still tells one by one."""
MAX_VERSION = 2**53
"""Highest version or number of a report, which every JSON library reads without loss."""

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class Wire(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all messages."""


class StepBody(Wire, frozen=True, kw_only=True):
    """A step of a job."""

    count: int
    cpu: int = 0
    memory_mb: int = msgspec.field(default=0, name="mem_mb")
    gpu: int = 0
    estimate_ms: float = 0.0
    # Named like a store's revision, but it lists the numbers of earlier steps.
    after: tuple[int, ...] = msgspec.field(default=(), name="since_rev")
    saves_progress: bool = msgspec.field(default=False, name="checkpointing")
    is_gang: bool = msgspec.field(default=False, name="gang")
    is_one_rack: bool = msgspec.field(default=False, name="same_rack")
    # A label that the worker must have.
    label: str = msgspec.field(default="", name="requires")
    # The rack that holds the data; other racks are allowed, and slower.
    data_rack: str = msgspec.field(default="", name="affinity")
    # Not a list of others to avoid, but how many tasks of the step one worker may have.
    max_per_worker: int = msgspec.field(default=0, name="anti_affinity")
    may_run_twice: bool = msgspec.field(default=False, name="speculative")
    # The tasks run until the job is cancelled.
    is_lasting: bool = msgspec.field(default=False, name="daemon")
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


class JobBody(Wire, frozen=True, kw_only=True):
    """A job as a caller submits it."""

    # A text that is passed on to the worker untouched, and not a specification of anything here.
    payload: str = msgspec.field(default="", name="spec")
    steps: Annotated[tuple[StepBody, ...], msgspec.Meta(min_length=1)]
    # Nobody asks about the job after its answer, so nothing has to be kept.
    is_unkept: bool = msgspec.field(default=False, name="best_effort")
    times: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class JobStateBody(Wire, frozen=True, kw_only=True):
    """How a job stands."""

    state: str


class WaitingBody(msgspec.Struct, frozen=True, kw_only=True):
    """How many accepted jobs of a queue have not begun."""

    waiting: int


class RejectionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is refused. ``retry_ms`` is when to come back."""

    error: str
    code: str
    retry_ms: int = 0


class RouteBody(Wire, frozen=True, kw_only=True):
    """A queue as operators configure it."""

    name: Text
    host: Text
    prefix: str = msgspec.field(name="path_prefix")
    service: Text
    priority: int = 0
    attempts: Positive = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)] = 1.0
    # Not the whole objective: what is added to the stretched run time.
    slack_ms: Milliseconds = msgspec.field(default=0.0, name="slo_ms")
    timeout_ms: Milliseconds = 0.0
    # Set where only some workers may run a step and the advice service knows which.
    advice: Any = None


class ConfigurationDocument(Wire, frozen=True, kw_only=True):
    """The operators' configuration, in whole.

    ``services`` and ``limits`` are not used; a document without them is not the operators'.
    """

    version: Version
    routes: tuple[RouteBody, ...]
    services: tuple[Any, ...]
    limits: dict[str, Any]


class EvacuationDocument(Wire, frozen=True, kw_only=True):
    """An operator's wish that nothing further be started in a data centre; the key names it."""


class RowBody(Wire, frozen=True, kw_only=True):
    """A row of the store. ``value`` is base64."""

    table: str = ""
    part: str = ""
    key: Text
    value: str = ""
    ver: Version = 0
    is_removed: bool = msgspec.field(default=False, name="removed")


class RowKey(Wire, frozen=True, kw_only=True):
    """The part of a row that tells from where to go on reading."""

    key: Text


class RowsResponse(Wire, frozen=True, kw_only=True):
    """Rows as of one moment; ``ver`` is the store's newest version then.

    Each row is decoded by itself, since any of them may be another writer's.
    """

    rows: tuple[msgspec.Raw, ...] = ()
    has_more: bool = msgspec.field(default=False, name="more_pages")
    ver: Version


class FeedResponse(Wire, frozen=True, kw_only=True):
    """Rows that changed; the next call continues from ``ver``."""

    rows: tuple[msgspec.Raw, ...] = ()
    ver: Version


class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str


class TransactionCall(Wire, frozen=True, kw_only=True):
    """Writes that happen together."""

    writes: tuple[RowWrite, ...] = msgspec.field(default=(), name="set_keys")


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    LEAVING = "draining"


class CapacityBody(Wire, frozen=True, kw_only=True):
    """What a worker has."""

    cpu: Positive
    memory_mb: Positive = msgspec.field(name="mem_mb")
    gpu: Amount = 0


class Heartbeat(Wire, frozen=True, kw_only=True):
    """A worker's account of itself.

    ``born`` is when its process began, in Unix milliseconds: another one under the same id is
    another life. It, ``clock_ms`` and ``remaining_ms`` are UNSET where the sender left them out.
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
    """Start a run. ``until_ms`` is on the worker's clock and renews its whole lease."""

    task: str
    run: int
    payload: str = msgspec.field(name="spec")
    until_ms: int
    fence: int


class StopCall(Wire, frozen=True, kw_only=True):
    """Stop a run, or bar one that has not arrived yet."""

    task: str
    run: int
    fence: int


class HoldCall(Wire, frozen=True, kw_only=True):
    """Renew the lease and list what runs; the name on the wire says neither."""

    fence: int
    # Ends up to this number are forgotten by the worker.
    ends_seen: int = msgspec.field(name="acked_upto")
    until_ms: int | None = None
    wait_ms: int | None = None


class HoldResponse(Wire, frozen=True, kw_only=True):
    """``running``: task, run, saved progress, percent. ``ended``: number, task, run, how, saved.

    ``born`` tells whose lists these are, as in :class:`Heartbeat`.
    """

    clock_ms: float
    born: int | msgspec.UnsetType = msgspec.UNSET
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()


class ClockResponse(Wire, frozen=True, kw_only=True):
    """What every answer of a worker carries; ``reason`` says why it rejected a call."""

    clock_ms: float | None = None
    reason: str = ""
