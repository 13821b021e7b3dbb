"""Which workers suit a job, by its slack.

Answers uneven workers: one bound for all jobs leaves a worker at 0.6 of the usual speed unused by
all jobs or takes it for all. A job that is short, or has just come, would be on time there; a long
one, or one that has waited, would not.

An objective is a stretch of the job's own run time and a slack, so that an error in the expected
run time moves the objective and the end alike. What is left is the error in the worker's speed.
"""

from __future__ import annotations

from dalemast.core.scheduling.jobs import LATE_FACTOR, Job

__all__ = ["get_max_slowness", "get_max_slowness_late", "get_slowness_bound"]

SPEED_MARGIN = 1.05
"""How much slower a worker may be than its agent's word: the error of a full record."""
LAST_LOOK_S = 0.05
"""How long before it could no longer begin in time a job takes what is late but of use: the grain
of time-outs, at one of which it would be refused."""


def get_max_slowness(job: Job, *, now: float) -> float:
    """Return the greatest slowness at which a job that goes on now is on time."""
    return _divide(job, job.arrived_at + job.objective_s - now)


def get_max_slowness_late(job: Job, *, now: float) -> float:
    """Return the greatest slowness at which a job that goes on now is late, but of some use."""
    return _divide(job, job.arrived_at + LATE_FACTOR * job.objective_s - now)


def get_slowness_bound(job: Job, *, quickest: float, now: float) -> float:
    """Return up to which slowness workers suit a job now; ``quickest`` is the least in reach.

    While some worker would make it on time, with room or without, slower ones are left out: room
    comes free until the job must have begun. Then, or without any such worker, late is better than
    never.
    """
    bound = get_max_slowness(job, now=now)
    is_hopeful = quickest <= bound and now < job.latest_start - LAST_LOOK_S
    return bound if is_hopeful else max(bound, get_max_slowness_late(job, now=now))


def _divide(job: Job, left_s: float) -> float:
    return left_s / (SPEED_MARGIN * job.get_left_chain_s())
