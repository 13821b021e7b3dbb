"""Frames between an entry and an agent.

One frame carries everything that is ready for a connection, since the cost of a message hardly
depends on its content. Job numbers are local to the owner, and a link belongs to one owner.
Payloads and answers are passed through as raw JSON. Fields have one-letter names on the wire to
save control traffic.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = [
    "AgentFrame",
    "AgentHello",
    "EntryFrame",
    "EntryHello",
    "JobStart",
    "Load",
    "RefusalReason",
    "TaskAnswer",
    "TaskKey",
    "TaskRefusal",
    "TaskStart",
]


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all frames: frozen and keyword-only; fields at their defaults are not sent."""


class RefusalReason(enum.Enum):
    """Why an agent has not started a task and never will."""

    FULL = "full"
    DRAINING = "draining"
    DEADLINE = "deadline"
    REVOKED = "revoked"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    """The endpoint refused the connection, so it has not received the task."""


class TaskKey(Message, frozen=True, kw_only=True, rename={"job": "j", "index": "i"}):
    """The key of a task: the owner's job number and the index of the task in the job."""

    job: int
    index: int


class TaskStart(Message, frozen=True, kw_only=True, rename={"index": "i", "payload": "p"}):
    """A task to start; ``payload`` is the caller's JSON, unchanged."""

    index: int
    payload: msgspec.Raw


class JobStart(
    Message,
    frozen=True,
    kw_only=True,
    rename={"job": "j", "service": "s", "account": "a", "deadline_ms": "d", "tasks": "t"},
):
    """Tasks of one job to start. ``deadline_ms`` is the remaining time, in milliseconds."""

    job: int
    service: str
    account: str
    deadline_ms: int
    tasks: tuple[TaskStart, ...]


class EntryHello(Message, frozen=True, kw_only=True):
    """The first message of an entry on a link.

    ``owner`` is the entry's incarnation. ``connection`` increases with each connection of the owner
    to this agent, so that the agent can refuse an older one that arrives late. ``seen`` is the
    number of the last frame of the agent's session that the owner has processed.
    """

    owner: str
    entry: str
    connection: int
    session: str = ""
    seen: int = 0
    data_centre: str = ""


class EntryFrame(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "session": "s",
        "number": "n",
        "seen": "k",
        "configuration_version": "c",
        "starts": "t",
        "revokes": "r",
        "cancels": "x",
    },
):
    """A frame from an owner to an agent.

    ``session`` must be the one in the agent's hello. ``number`` increases by one per frame, across
    all connections of the session; the agent processes each number once, in order.
    """

    session: str
    number: int
    seen: int = 0
    configuration_version: int = 0
    starts: tuple[JobStart, ...] = ()
    revokes: tuple[TaskKey, ...] = ()
    cancels: tuple[int, ...] = ()


class Load(
    Message,
    frozen=True,
    kw_only=True,
    rename={"running": "r", "queued": "q", "yours": "y", "draining": "d"},
):
    """The load of an agent, in tasks. ``yours`` counts those of the owner that receives it."""

    running: int = 0
    queued: int = 0
    yours: int = 0
    draining: bool = False


class TaskAnswer(
    Message,
    frozen=True,
    kw_only=True,
    rename={"job": "j", "index": "i", "value": "v", "error": "e", "run_ms": "r", "queued_ms": "q"},
):
    """The outcome of a task that was started.

    ``value`` is the endpoint's JSON if ``error`` is empty. ``run_ms`` is the run time at the
    endpoint and ``queued_ms`` the waiting time at the agent, both in milliseconds.
    """

    job: int
    index: int
    value: msgspec.Raw = msgspec.Raw(b"null")
    error: str = ""
    run_ms: float = 0.0
    queued_ms: float = 0.0


class TaskRefusal(
    Message, frozen=True, kw_only=True, rename={"job": "j", "index": "i", "reason": "r"}
):
    """A report that a task was not started and never will be."""

    job: int
    index: int
    reason: RefusalReason


class AgentHello(Message, frozen=True, kw_only=True):
    """The agent's reply to a hello.

    ``session`` identifies the state that the agent keeps for this owner. If it differs from the one
    the owner knows, that state was lost, and it is unknown whether tasks sent before have run.
    """

    worker: str
    session: str
    slots: int
    load: Load = Load()


class AgentFrame(
    Message,
    frozen=True,
    kw_only=True,
    rename={"session": "s", "number": "n", "load": "l", "answers": "a", "refusals": "r"},
):
    """A frame from an agent to an owner, kept by the agent until ``seen`` confirms it."""

    session: str
    number: int
    load: Load = Load()
    answers: tuple[TaskAnswer, ...] = ()
    refusals: tuple[TaskRefusal, ...] = ()
