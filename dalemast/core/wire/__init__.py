"""The messages between an entry and an agent."""

from dalemast.core.wire.frames import (
    AgentFrame,
    AgentHello,
    EntryFrame,
    EntryHello,
    JobStart,
    Load,
    RefusalReason,
    TaskAnswer,
    TaskKey,
    TaskRefusal,
    TaskStart,
)

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
