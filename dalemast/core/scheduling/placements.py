"""Placements."""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.scheduling.base import BasePlacement
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import StepRequest

__all__ = ["FastestPlacement"]

FAR_PENALTY = 0.08
"""Share of run time that a worker in another data centre must gain to be chosen: bytes between
data centres are priced, and the round trip is longer by about 1 ms."""
SAME_JOB_BONUS = 0.05
"""Share of run time given up to put a task beside others of its job: one message carries both."""
CROWDING = 0.10
"""Weight of the share of a worker in use; it keeps room for wide steps on each worker."""


class FastestPlacement(BasePlacement):
    """The worker on which the task is expected to end first, with a bias towards near ones."""

    def __init__(self, *, remote_factor: float, far_penalty: float = FAR_PENALTY) -> None:
        self._remote_factor = remote_factor
        self._far_penalty = far_penalty

    @property
    def remote_factor(self) -> float:
        """How many times as long a task takes on a rack that does not hold its data."""
        return self._remote_factor

    def choose(
        self, *, job: Job, step: StepRequest, workers: Iterable[WorkerView], now: float
    ) -> WorkerView | None:
        """Return the worker with the least cost; ties go to the first."""

        def get_cost(worker: WorkerView) -> float:
            return self._get_cost(job, step, worker, now)

        return min(workers, key=get_cost, default=None)

    def get_run_factor(self, step: StepRequest, worker: WorkerView) -> float:
        """Return the platform's factor for a worker that is not on the rack with the data."""
        is_remote = bool(step.data_rack) and step.data_rack not in worker.labels
        return self._remote_factor if is_remote else 1.0

    def _get_place_cost(self, job: Job, step: StepRequest, worker: WorkerView) -> float:
        """Return what a worker costs for where it stands, in run times."""
        return 0.0 if worker.is_same_data_centre else self._far_penalty

    def _get_cost(self, job: Job, step: StepRequest, worker: WorkerView, now: float) -> float:
        cost = worker.get_slowness(now) * self.get_run_factor(step, worker)
        cost += self._get_place_cost(job, step, worker)
        if worker.name in job.workers:
            cost -= SAME_JOB_BONUS
        return cost + CROWDING * worker.used_share
