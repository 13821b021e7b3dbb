"""Orders of service."""

from __future__ import annotations

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.jobs import Job

__all__ = ["LeastSlackOrder", "PriorityOrder"]


class LeastSlackOrder(BaseOrder):
    """Jobs that have begun first, then the one that must begin soonest to be on time.

    Those that can only be late go last, in either order.
    """

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the job's standing, its latest start, and its priority."""
        return (_get_standing(job, now), job.latest_start, job.request.queue.priority)


class PriorityOrder(BaseOrder):
    """Jobs that have begun first, then by the operators' priority, then as by least slack.

    Under overload it earned 5 % more than least slack alone: docs/MEASUREMENTS.md, simulation.
    """

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the job's standing, its priority, and its latest start."""
        return (_get_standing(job, now), job.request.queue.priority, job.latest_start)


def _get_standing(job: Job, now: float) -> float:
    """Return 0 for a job that has begun, 1 for one that can be on time, 2 for one that can't."""
    if job.has_begun:
        return 0.0
    return 1.0 if now <= job.latest_start else 2.0
