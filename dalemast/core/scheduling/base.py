"""The choices of the scheduler that vary."""

from __future__ import annotations

import abc
from collections.abc import Iterable

from dalemast.core.scheduling.demand import DemandTracker
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import JobRequest, StepRequest

__all__ = ["BaseOrder", "BasePlacement"]


class BaseOrder(abc.ABC):
    """In which order jobs with waiting tasks are served."""

    @abc.abstractmethod
    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the sort key; the least goes first.

        Keys of several owners are compared, so a time in them counts from now.
        """


class BasePlacement(abc.ABC):
    """Which worker a task runs on."""

    @abc.abstractmethod
    def choose(
        self, *, job: Job, step: StepRequest, workers: Iterable[WorkerView], now: float
    ) -> WorkerView | None:
        """Return one of the workers that have room for the task, or None if none suits."""

    def get_run_factor(self, step: StepRequest, worker: WorkerView) -> float:
        """Return how many times as long a task takes on this worker as beside its data."""
        return 1.0

    def note_job(self, request: JobRequest, run_times: RunTimes, *, now: float) -> None:
        """Take in a job that has arrived."""
        return

    def set_demand(self, demand: DemandTracker) -> None:
        """Take what waits at the other entries from a book, which its owner keeps up to date."""
        return

    def plan(
        self, job: Job, workers: Iterable[WorkerView], run_times: RunTimes, *, now: float
    ) -> None:
        """Prepare the choices for a job's waiting tasks. ``workers`` may have room or not."""
        return

    def describe(self) -> dict[str, object]:
        """Return what an operator should see of its state."""
        return {}
