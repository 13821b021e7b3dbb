"""What the gate remembers: tasks, and of each owner the session between them."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from dalemast.core.wire import AgentFrame, JobStart, TaskAnswer, TaskRefusal

__all__ = ["GateTask", "OwnerRecord", "TaskStage"]


class TaskStage(enum.Enum):
    """Where a task that the gate has accepted stands."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class GateTask:
    """A task the gate remembers; ``frame_number`` is set once its outcome is in a frame."""

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
    """What the gate remembers of one owner incarnation."""

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
        """Forget all that was said and all that has ended; numbers begin anew on both sides."""
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
        """Forget the outcomes in all frames up to ``seen``."""
        self.seen = max(self.seen, seen)
        while self.unconfirmed_frames and self.unconfirmed_frames[0].number <= seen:
            frame = self.unconfirmed_frames.popleft()
            for answer in frame.answers:
                self.tasks.pop((answer.job, answer.index), None)
            for refusal in frame.refusals:
                self.tasks.pop((refusal.job, refusal.index), None)
