"""Detection of infeasible jobs: those with a task that no known worker could ever run."""

from __future__ import annotations

from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import JobRequest, Resources, StepRequest

__all__ = ["KnownWorkerKinds"]

INFEASIBLE_AFTER_S = 8.0
"""Time after its start in which an owner calls no job infeasible, in seconds. Until then some
workers may not have reported yet."""


class KnownWorkerKinds:
    """The kinds of worker, by capacity and labels, that an owner has known, by service."""

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._kinds: dict[str, set[tuple[Resources, frozenset[str]]]] = {}

    def add(self, view: WorkerView) -> None:
        """Add the capacity and labels of a worker; they are kept after it is lost or shrinks.

        Nothing is added if a worker of the same labels and at least this capacity is known, so
        that frequent changes of a capacity don't use up memory.
        """
        kinds = self._kinds.setdefault(view.service, set())
        same_labels = {kind for kind in kinds if kind[1] == view.labels}
        if any(view.capacity.fits(capacity) for capacity, _ in same_labels):
            return
        kinds -= {kind for kind in same_labels if kind[0].fits(view.capacity)}
        kinds.add((view.capacity, view.labels))

    def is_infeasible(self, request: JobRequest, *, now: float) -> bool:
        """Return whether the job has a task that no known worker could ever run."""
        if now - self._started_at < INFEASIBLE_AFTER_S:
            return False
        kinds = self._kinds.get(request.queue.service)
        if not kinds:
            return False
        return not all(_can_run(step, kinds) for step in request.steps)


def _can_run(step: StepRequest, kinds: set[tuple[Resources, frozenset[str]]]) -> bool:
    return any(
        step.resources.fits(capacity) and (not step.label or step.label in labels)
        for capacity, labels in kinds
    )
