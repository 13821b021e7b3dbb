"""The state of the gate: tasks, and a session for each owner."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from dalemast.core.wire import AgentFrame, JobStart, TaskAnswer, TaskRefusal

__all__ = ["GateTask", "OwnerRecord", "TaskStage"]


class TaskStage(enum.Enum):
    """The stage of a task at the gate."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class GateTask:
    """A task at the gate, kept until its outcome is confirmed."""

    __slots__ = (
        "account",
        "deadline_at",
        "index",
        "job",
        "owner",
        "payload",
        "queued_at",
        "service",
        "started_at",
        "state",
    )

    def __init__(
        self, *, owner: OwnerRecord, start: JobStart, index: int, payload: msgspec.Raw, now: float
    ) -> None:
        self.owner = owner
        self.job = start.job
        self.index = index
        self.service = start.service
        self.account = start.account
        self.payload = payload
        self.state = TaskStage.QUEUED
        self.queued_at = now
        self.started_at = now
        self.deadline_at = now + start.deadline_ms / 1000.0


class OwnerRecord:
    """The state that the gate keeps for one owner incarnation."""

    def __init__(self, *, incarnation: str, session: str) -> None:
        self.incarnation = incarnation
        self.session = session
        self.connection = 0
        self.is_linked = False
        self.unlinked_at = 0.0
        self.last_processed = 0
        self.last_sent = 0
        self.seen = 0
        self.tasks: dict[tuple[int, int], GateTask] = {}
        self.active = 0
        self.unconfirmed_frames: deque[AgentFrame] = deque()
        self.answers: list[TaskAnswer] = []
        self.refusals: list[TaskRefusal] = []
        self.waiting_for_slot_since: float | None = None
        self.slot_reserved_until = 0.0
        self.must_report = False

    def start_session(self, session: str) -> None:
        """Drop all messages and ended tasks; frame numbers restart on both sides."""
        self.session = session
        self.last_processed = 0
        self.last_sent = 0
        self.seen = 0
        self.unconfirmed_frames.clear()
        self.answers.clear()
        self.refusals.clear()
        self.tasks = {
            key: task for key, task in self.tasks.items() if task.state is TaskStage.RUNNING
        }

    def confirm(self, seen: int) -> None:
        """Drop the frames up to number ``seen``, and the tasks whose outcomes they carried."""
        self.seen = max(self.seen, seen)
        while self.unconfirmed_frames and self.unconfirmed_frames[0].number <= seen:
            frame = self.unconfirmed_frames.popleft()
            for answer in frame.answers:
                self.tasks.pop((answer.job, answer.index), None)
            for refusal in frame.refusals:
                self.tasks.pop((refusal.job, refusal.index), None)
