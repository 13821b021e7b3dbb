"""Jobs, steps and tasks as callers declare them, independent of the wire format."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from dalemast.core.workloads.queues import Queue

__all__ = ["JobRequest", "Resources", "StepRequest", "TaskKey"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """Resources of a task or a worker: thousandths of a core, MB of memory and whole GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, free: Resources) -> bool:
        """Return whether these resources are available in ``free``."""
        return self.cpu <= free.cpu and self.memory_mb <= free.memory_mb and self.gpu <= free.gpu

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
    """Tasks of one kind, which may begin once all steps listed in ``after`` are done.

    ``estimate_s`` is the caller's estimate of one task's run time, in seconds. A ``label``, if set,
    must be among the worker's labels. ``data_rack`` is the rack that holds the data; tasks take
    longer in other racks. A ``max_per_worker`` of 0 means no limit.
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
    """A job as submitted. ``id`` is chosen by the caller; ``payload`` is passed on unchanged.

    ``timeout_s`` is how long the caller waits for the answer after the arrival, in seconds.
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[StepRequest, ...]
    timeout_s: float

    @property
    def core_seconds(self) -> float:
        """The declared work, in core-seconds."""
        return sum(step.count * step.estimate_s * step.resources.cpu / 1000 for step in self.steps)

    @property
    def chain_s(self) -> float:
        """The declared run time of the longest chain of steps, in seconds."""
        return self.get_longest_chain(lambda _, step: step.estimate_s)

    def get_longest_chain(self, get_run_s: Callable[[int, StepRequest], float]) -> float:
        """Return the run time of the longest chain of dependent steps, in seconds.

        ``get_run_s`` returns the run time of a step, given its number and the step.
        """
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + get_run_s(number, step))
        return max(ends, default=0.0)
