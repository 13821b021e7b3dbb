"""How slow a worker may be for a job, depending on the slack of the job.

With one bound for all jobs, a slow worker would be used for all of them or for none. A short job,
or one that has just arrived, may be on time there when a long job, or one that has waited, is not.

An error in a job's expected run time shifts its objective as well as its end, so the bound allows
only for an error in the worker's measured speed.
"""

from __future__ import annotations

from dalemast.core.scheduling.jobs import LATE_FACTOR, Job

__all__ = ["get_max_slowness", "get_max_slowness_late", "get_slowness_bound"]

SPEED_MARGIN = 1.05
"""Factor by which a worker may be slower than reported."""
LAST_CHANCE_S = 0.05
"""Time before its latest start at which a job also accepts workers on which it would be late, in
seconds. Otherwise it would be refused at its next timeout."""


def get_max_slowness(job: Job, *, now: float) -> float:
    """Return the maximum slowness at which a job that continues now ends on time."""
    return _to_slowness(job, job.arrived_at + job.objective_s - now)


def get_max_slowness_late(job: Job, *, now: float) -> float:
    """Return the maximum slowness at which a job that continues now ends within its late limit."""
    return _to_slowness(job, job.arrived_at + LATE_FACTOR * job.objective_s - now)


def get_slowness_bound(job: Job, *, quickest: float, now: float) -> float:
    """Return the maximum slowness of a worker for a job now.

    ``quickest`` is the minimum slowness of the reachable workers. While one of them, free or not,
    would finish the job on time, slower ones are excluded, since it may still become free. After
    that, or if there is no such worker, a late answer is better than none.
    """
    bound = get_max_slowness(job, now=now)
    can_wait = quickest <= bound and now < job.latest_start - LAST_CHANCE_S
    return bound if can_wait else max(bound, get_max_slowness_late(job, now=now))


def _to_slowness(job: Job, left_s: float) -> float:
    return left_s / (SPEED_MARGIN * job.get_left_chain_s())
