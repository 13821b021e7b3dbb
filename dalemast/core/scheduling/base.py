"""Base classes for the order of service and the placement of tasks."""

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
    """Order in which jobs with waiting tasks are served."""

    @abc.abstractmethod
    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the sort key; the lowest key is served first.

        Times in a key must be relative to now, since keys of different owners are compared and
        their clocks differ.
        """


class BasePlacement(abc.ABC):
    """Choice of the worker that a task runs on."""

    @abc.abstractmethod
    def choose(
        self, *, job: Job, step: StepRequest, workers: Iterable[WorkerView], now: float
    ) -> WorkerView | None:
        """Return one of ``workers``, which are eligible for the task, or None to let it wait."""

    def get_run_factor(self, step: StepRequest, worker: WorkerView) -> float:
        """Return the run time on this worker relative to one that is close to the data."""
        return 1.0

    def note_job(self, request: JobRequest, run_times: RunTimes, *, now: float) -> None:
        """Record a job that has arrived."""
        return

    def set_demand(self, demand: DemandTracker) -> None:
        """Set the source of the queued work at other entries; the scheduler keeps it up to date."""
        return

    def plan(
        self, job: Job, workers: Iterable[WorkerView], run_times: RunTimes, *, now: float
    ) -> None:
        """Prepare the choices for a job's waiting tasks. Some of ``workers`` may be full."""
        return

    def describe(self) -> dict[str, object]:
        """Return the state to show to operators."""
        return {}
