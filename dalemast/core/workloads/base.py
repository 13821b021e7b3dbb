"""Jobs, steps and tasks as callers declare them, free of any wire format."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from dalemast.core.workloads.queues import Queue

__all__ = ["JobRequest", "Resources", "StepRequest", "TaskKey"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """What a task takes or a worker has: thousandths of a core, MB of memory, whole GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: Resources) -> bool:
        """Tell whether this much is to be had in ``room``."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpu <= room.gpu

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            gpu=self.gpu + other.gpu,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_mb=self.memory_mb - other.memory_mb,
            gpu=self.gpu - other.gpu,
        )


class TaskKey(NamedTuple):
    """A task's position in its job."""

    step: int
    position: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StepRequest:
    """Tasks of one kind. They may begin once all steps named by ``after`` are done.

    ``estimate_s`` is the caller's rough guess of one task's run time. ``label`` must be among the
    worker's labels when it is set. ``data_rack`` is the rack that holds the data; elsewhere a task
    takes longer. ``max_per_worker`` of 0 sets no bound.
    """

    count: int
    resources: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRequest:
    """A job as it arrived. ``id`` is the caller's own; ``payload`` is passed on untouched.

    ``timeout_s`` is how long the caller waits for the answer, from the arrival.
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[StepRequest, ...]
    timeout_s: float

    @property
    def core_seconds(self) -> float:
        """The work the caller declares, in seconds of one core."""
        return sum(step.count * step.estimate_s * step.resources.cpu / 1000 for step in self.steps)

    @property
    def chain_s(self) -> float:
        """The declared run time of the longest chain of steps."""
        return self.get_longest_chain(lambda _, step: step.estimate_s)

    def get_longest_chain(self, get_run_s: Callable[[int, StepRequest], float]) -> float:
        """Return the run time of the longest chain of steps, by number and step, in seconds."""
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + get_run_s(number, step))
        return max(ends, default=0.0)
