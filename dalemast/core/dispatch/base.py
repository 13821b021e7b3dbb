"""The requests and results of the owner, and its policy settings."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run
from dalemast.core.wire import EntryFrame

__all__ = ["JobRequest", "JobResult", "OwnerEffects", "OwnerPolicy"]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRequest:
    """A job as submitted. ``deadline_s`` is in seconds from the submission."""

    account: str
    service: str
    selector: str
    deadline_s: float
    is_repeatable: bool
    payloads: tuple[msgspec.Raw, ...]
    size_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResult:
    """The result of a job: all answers in task order, or an error.

    ``run`` states whether any task of the job ran.
    """

    job: int
    account: str
    run: Run
    answers: tuple[msgspec.Raw, ...] = ()
    error: DalemastError | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the job ended with all its answers."""
        return self.error is None

    @property
    def size_bytes(self) -> int:
        """The total size of the answers, in bytes."""
        return sum(len(bytes(answer)) for answer in self.answers)


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerEffects:
    """Frames to send, each with the name of its worker, and results to return to callers."""

    frames: tuple[tuple[str, EntryFrame], ...]
    results: tuple[JobResult, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerPolicy:
    """The owner's policy settings. Times are in seconds.

    ``queue_limit`` is the number of tasks that a worker is sent beyond its slots when no candidate
    has a free slot; it must not exceed the queue limit of the agents. Overdue tasks are revoked
    unless ``revoke_factor`` is 0. ``is_task_by_task`` sends one frame per task, as a baseline for
    benchmarks.
    """

    placement: str = "packing"
    admission: str = "deadline"
    data_centre: str = ""
    queue_limit: int = 1
    is_task_by_task: bool = False
    is_ejecting: bool = True
    confirm_after_s: float = 10.0
    revoke_factor: float = 3.0
