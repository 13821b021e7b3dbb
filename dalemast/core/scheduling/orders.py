"""Orders of service."""

from __future__ import annotations

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.jobs import Job

__all__ = ["BEGUN", "LATE", "ON_TIME", "LeastSlackOrder", "PriorityOrder"]

BEGUN, ON_TIME, LATE = 0.0, 1.0, 2.0
"""Standing of a job, the first part of every key: started, can be on time, will be late."""


class LeastSlackOrder(BaseOrder):
    """Serve started jobs first, then jobs by the latest start at which they are still on time.

    Jobs that will be late go last.
    """

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the job's standing, the time until its latest start, and its priority."""
        return (_get_standing(job, now), job.latest_start - now, job.request.queue.priority)


class PriorityOrder(BaseOrder):
    """Serve started jobs first, then jobs by configured priority, then by latest start.

    Jobs that will be late go last.
    """

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the job's standing, its priority, and the time until its latest start."""
        return (_get_standing(job, now), job.request.queue.priority, job.latest_start - now)


def _get_standing(job: Job, now: float) -> float:
    """Return :data:`BEGUN`, :data:`ON_TIME` or :data:`LATE`."""
    if job.has_begun:
        return BEGUN
    return ON_TIME if now <= job.latest_start else LATE
