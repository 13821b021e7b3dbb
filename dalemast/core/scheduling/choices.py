"""The choice of a worker for a task, among those that have room."""

from __future__ import annotations

from collections.abc import Mapping

from dalemast.core.scheduling.base import BasePlacement
from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.workers import WorkerView

__all__ = ["WorkerChoice"]

TOO_SLOW = 2.0
"""How many times slower than the best a worker may be before it gets no tasks: most would be late
there, since objectives are 1.6 times the usual run time and a little more."""


class WorkerChoice:
    """Leaves out workers that don't suit a task and lets the placement pick one of the rest.

    ``workers`` are the workers in reach, by id; the scheduler adds to them and takes away.
    """

    def __init__(self, *, placement: BasePlacement, workers: Mapping[str, WorkerView]) -> None:
        self._placement = placement
        self._workers = workers

    def choose(self, job: Job, task: Task, *, now: float) -> WorkerView | None:
        """Return the worker to start a task on, or None if it should wait."""
        fitting = [view for view in self._workers.values() if _can_take(job, task, view)]
        workers = self._pick_quick(fitting, now)
        if task.avoided and self._has_alternative(job, task):
            # A task has few attempts: it waits for another worker to have room rather than fail
            # on the same one again.
            workers = [view for view in workers if view.name not in task.avoided]
        return self._placement.choose(job=job, step=task.step, workers=workers, now=now)

    def get_most_free(self) -> dict[str, int]:
        """Return the most processors that are free on one worker, by service."""
        most: dict[str, int] = {}
        for view in self._workers.values():
            if view.is_accepting:
                most[view.service] = max(most.get(view.service, -1), view.free.cpu)
        return most

    def _has_alternative(self, job: Job, task: Task) -> bool:
        """Tell whether a worker could take a task, with room or without, that did not fail it."""
        return any(
            view.name not in task.avoided
            and _suits(job, task, view)
            and task.step.resources.fits(view.capacity)
            for view in self._workers.values()
        )

    def _pick_quick(self, fitting: list[WorkerView], now: float) -> list[WorkerView]:
        """Leave out workers on which tasks would be late, compared with the best of the service.

        Compared, since declared times that are off for all alike make all workers look slow.
        """
        if not fitting:
            return fitting
        service = fitting[0].service
        pool = (view for view in self._workers.values() if view.service == service)
        best = min(view.get_slowness(now) for view in pool)
        return [view for view in fitting if view.get_slowness(now) < TOO_SLOW * best]


def _suits(job: Job, task: Task, view: WorkerView) -> bool:
    """Tell whether a worker takes tasks of this kind, whether or not it has room."""
    if not view.is_accepting or view.service != job.request.queue.service:
        return False
    return not task.step.label or task.step.label in view.labels


def _can_take(job: Job, task: Task, view: WorkerView) -> bool:
    """Tell whether a worker has room for a task now."""
    step = task.step
    if not _suits(job, task, view) or not step.resources.fits(view.free):
        return False
    limit = step.max_per_worker
    return not limit or job.count_on(view.name, task.key.step) < limit
