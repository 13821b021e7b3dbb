"""Messages between the owner and the process round it, and the owner's settings."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run
from dalemast.core.wire import EntryFrame

__all__ = ["JobRequest", "JobResult", "OwnerEffects", "OwnerPolicy"]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRequest:
    """A job as it was submitted. ``deadline_s`` counts from the submission, in seconds."""

    account: str
    service: str
    selector: str
    deadline_s: float
    is_repeatable: bool
    payloads: tuple[msgspec.Raw, ...]
    size_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResult:
    """The one answer of a job: every answer in task order, or an error and the run word."""

    job: int
    account: str
    run: Run
    answers: tuple[msgspec.Raw, ...] = ()
    error: DalemastError | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the job has all its answers."""
        return self.error is None

    @property
    def size_bytes(self) -> int:
        """The size of the answers, in bytes."""
        return sum(len(bytes(answer)) for answer in self.answers)


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerEffects:
    """What the process must do now: frames to send, by worker, and jobs to answer."""

    frames: tuple[tuple[str, EntryFrame], ...]
    results: tuple[JobResult, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerPolicy:
    """The owner's choices. Times are seconds.

    ``queue_limit`` is how many tasks a worker is sent beyond its slots once none is free anywhere;
    agents take at least as many. ``revoke_factor`` asks
    for a task back after that many times its expected run time; 0 never does.
    """

    placement: str = "packing"
    admission: str = "deadline"
    data_centre: str = ""
    queue_limit: int = 1
    is_task_by_task: bool = False
    is_ejecting: bool = True
    confirm_after_s: float = 10.0
    revoke_factor: float = 3.0
