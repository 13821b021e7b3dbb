"""Placement of tasks by expected run time."""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.scheduling.base import BasePlacement
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import StepRequest

__all__ = ["FastestPlacement"]

REMOTE_DATA_CENTRE_PENALTY = 0.08
"""Cost of a worker in another data centre, as a share of the run time: traffic between data centres
is charged, and the round trip is longer."""
SAME_JOB_BONUS = 0.05
"""Bonus for a worker that runs other tasks of the job, as a share of the run time: one message can
carry several starts."""
UTILIZATION_WEIGHT = 0.10
"""Weight of the share of a worker that is in use. Spreading the load leaves capacity for large
tasks on each worker."""


class FastestPlacement(BasePlacement):
    """Choose the worker on which the task should end first, preferring the same data centre."""

    def __init__(
        self, *, remote_factor: float, far_penalty: float = REMOTE_DATA_CENTRE_PENALTY
    ) -> None:
        self._remote_factor = remote_factor
        self._far_penalty = far_penalty

    @property
    def remote_factor(self) -> float:
        """Factor of the run time on a rack that does not hold the task's data."""
        return self._remote_factor

    def choose(
        self, *, job: Job, step: StepRequest, workers: Iterable[WorkerView], now: float
    ) -> WorkerView | None:
        """Return the worker with the lowest cost; of equal ones, the first."""

        def get_cost(worker: WorkerView) -> float:
            return self._get_cost(job, step, worker, now)

        return min(workers, key=get_cost, default=None)

    def get_run_factor(self, step: StepRequest, worker: WorkerView) -> float:
        """Return the remote factor if the worker is not on the rack that holds the task's data."""
        is_remote = bool(step.data_rack) and step.data_rack not in worker.labels
        return self._remote_factor if is_remote else 1.0

    def _get_location_cost(self, job: Job, step: StepRequest, worker: WorkerView) -> float:
        """Return the cost of a worker's location, as a share of the run time."""
        return 0.0 if worker.is_same_data_centre else self._far_penalty

    def _get_cost(self, job: Job, step: StepRequest, worker: WorkerView, now: float) -> float:
        cost = worker.get_slowness(now) * self.get_run_factor(step, worker)
        cost += self._get_location_cost(job, step, worker)
        if worker.name in job.workers:
            cost -= SAME_JOB_BONUS
        return cost + UTILIZATION_WEIGHT * worker.used_share
