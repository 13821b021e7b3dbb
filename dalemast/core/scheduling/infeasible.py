"""The judgement of hopeless jobs: those of which no known worker could hold some task."""

from __future__ import annotations

from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import JobRequest, Resources, StepRequest

__all__ = ["KnownWorkerKinds"]

INFEASIBLE_AFTER_S = 8.0
"""How long an owner listens to workers before it calls a job hopeless: heartbeats come every
1.5 s and agents find a new owner within about a second."""


class KnownWorkerKinds:
    """The kinds of worker that an owner has ever seen, by service."""

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._kinds: dict[str, set[tuple[Resources, frozenset[str]]]] = {}

    def add(self, view: WorkerView) -> None:
        """Take in a worker's capacity and labels; they stay when it has gone, or has shrunk.

        Less than what was seen before with these labels is nothing new: a capacity may change all
        the time.
        """
        kinds = self._kinds.setdefault(view.service, set())
        alike = {kind for kind in kinds if kind[1] == view.labels}
        if any(view.capacity.fits(capacity) for capacity, _ in alike):
            return
        kinds -= {kind for kind in alike if kind[0].fits(view.capacity)}
        kinds.add((view.capacity, view.labels))

    def is_infeasible(self, request: JobRequest, *, now: float) -> bool:
        """Tell whether no worker that was ever seen could hold one of the job's tasks."""
        if now - self._started_at < INFEASIBLE_AFTER_S:
            return False
        kinds = self._kinds.get(request.queue.service)
        if not kinds:
            return False
        return not all(_can_be_held(step, kinds) for step in request.steps)


def _can_be_held(step: StepRequest, kinds: set[tuple[Resources, frozenset[str]]]) -> bool:
    return any(
        step.resources.fits(capacity) and (not step.label or step.label in labels)
        for capacity, labels in kinds
    )
