"""Frames between an entry and an agent.

One frame carries everything that is ready for a connection, since a message costs the same whatever
it holds. Job numbers are those of the owner; a link belongs to one owner, so they need no prefix.
Payloads and answers stay raw JSON: neither side has a reason to look into them. Fields have
one letter on the wire, since an agent may spend 2 KB a second on control.
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
    """Base of all frames: frozen, keyword-only, and silent about fields at their defaults."""


class RefusalReason(enum.Enum):
    """Why an agent did not start a task and never will."""

    FULL = "full"
    DRAINING = "draining"
    DEADLINE = "deadline"
    REVOKED = "revoked"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    """The endpoint refused the connection, so it cannot have seen the task."""


class TaskKey(Message, frozen=True, kw_only=True, rename={"job": "j", "index": "i"}):
    """Names a task: the owner's job number and the task's position in the job."""

    job: int
    index: int


class TaskStart(Message, frozen=True, kw_only=True, rename={"index": "i", "payload": "p"}):
    """One task to start; ``payload`` is the caller's JSON, untouched."""

    index: int
    payload: msgspec.Raw


class JobStart(
    Message,
    frozen=True,
    kw_only=True,
    rename={"job": "j", "service": "s", "account": "a", "deadline_ms": "d", "tasks": "t"},
):
    """All tasks of one job for one agent. ``deadline_ms`` is what is left, in milliseconds."""

    job: int
    service: str
    account: str
    deadline_ms: int
    tasks: tuple[TaskStart, ...]


class EntryHello(Message, frozen=True, kw_only=True):
    """First message of an entry on a link.

    ``owner`` is the entry's incarnation. ``connection`` grows with each connection of that owner to
    this agent, so that an agent can tell the newest from one that arrives late. ``seen`` is the
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
    """From an owner to an agent.

    ``session`` must be the one that the agent's hello named. ``number`` grows by one a frame over
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
    """How busy an agent is, in tasks. ``yours`` counts those of the owner it is told to."""

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

    ``value`` is the endpoint's JSON when ``error`` is empty. ``run_ms`` is the time the endpoint
    took and ``queued_ms`` the time the task waited at the agent, both in milliseconds.
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
    """An agent's word that a task was not started and will never be."""

    job: int
    index: int
    reason: RefusalReason


class AgentHello(Message, frozen=True, kw_only=True):
    """The agent's answer to a hello.

    ``session`` binds the agent's memory of this owner: when it differs from the one the owner knew,
    that memory is gone and with it all proof about tasks sent before.
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
    """From an agent to an owner. Frames are kept by the agent until ``seen`` confirms them."""

    session: str
    number: int
    load: Load = Load()
    answers: tuple[TaskAnswer, ...] = ()
    refusals: tuple[TaskRefusal, ...] = ()
