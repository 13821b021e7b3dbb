"""Preemption rules of an owner: which waiting jobs may preempt less urgent runs.

Preemption keeps short urgent jobs on time when long, less urgent tasks occupy all workers. A job
requests it only after a short wait, since most capacity becomes free without it, and only while the
job can still be on time. Each start tells the agent how long the run may be preempted in its turn;
the agent decides.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.orders import BEGUN, ON_TIME

__all__ = ["MAX_PREEMPTING_PRIORITY", "Preemption", "PreemptingOrder"]

NEAR_LATE_LIMIT = BEGUN - 1.0
"""Standing of a started job that has less than one objective left before its late limit."""
MAX_PREEMPTING_PRIORITY = 0
"""Highest priority number that may preempt others; 0 is the most urgent. If less urgent jobs could
preempt too, these would take most of the capacity, since there are more of them."""
MIN_WAIT_SHARE = 0.2
"""Share of its slack that a job waits for capacity to become free before it requests preemption.
The rest is left for the stop and the start."""
MESSAGE_OVERHEAD_S = 0.01
"""Time that a preemption takes in addition to the stop, for four messages within a region: request,
end of the run, capacity report and start."""


class PreemptingOrder(BaseOrder):
    """Wrap another order so that jobs that may preempt rank with started jobs.

    They get capacity that becomes free before the remaining tasks of less urgent started jobs, so
    fewer runs have to be preempted. Started jobs that approach their late limit rank before both,
    so that a steady load of urgent jobs does not starve them.
    """

    def __init__(self, *, order: BaseOrder) -> None:
        self._order = order

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the key of the wrapped order with an adjusted standing."""
        standing, *others = self._order.get_key(job, now=now)
        if standing == ON_TIME and job.request.queue.priority <= MAX_PREEMPTING_PRIORITY:
            standing = BEGUN
        elif standing == BEGUN and now > job.latest_late_start - job.objective_s:
            standing = NEAR_LATE_LIMIT
        return (standing, *others)


class Preemption:
    """Decides which jobs request preemption, and which of their runs may be preempted.

    ``stop_s`` is the maximum time that a worker needs to stop a run, in seconds.
    """

    def __init__(self, *, is_enabled: bool, stop_s: float) -> None:
        self._is_enabled = is_enabled
        self._preemption_delay_s = stop_s + MESSAGE_OVERHEAD_S

    @property
    def preemption_delay_s(self) -> float:
        """Time from a preemption request to the start of the requesting job, in seconds."""
        return self._preemption_delay_s

    def get_restart_slack_s(self, job: Job, task: Task, *, now: float) -> float | None:
        """Return how long a task that starts now may be preempted, or None if it must not be.

        A job is preempted at most once. Otherwise each burst of urgent jobs could preempt it again,
        until it is too late.
        """
        if not self._is_enabled or job.has_given_way or task.has_given_way:
            return None
        restart_slack_s = job.latest_start - self._preemption_delay_s - now
        return restart_slack_s if 0.0 < restart_slack_s < math.inf else None

    def select_requesting_jobs(self, waiting: Iterable[Job], *, now: float) -> list[Job]:
        """Return the jobs that should request preemption now.

        A job is not returned again before its request can have had an effect.
        """
        if not self._is_enabled:
            return []
        requesting = [job for job in waiting if job.waiting and self._may_request(job, now)]
        for job in requesting:
            job.asked_room_until = now + self._preemption_delay_s
        return requesting

    def _may_request(self, job: Job, now: float) -> bool:
        if now <= job.asked_room_until or job.request.queue.priority > MAX_PREEMPTING_PRIORITY:
            return False
        slack_s = job.latest_start - job.arrived_at
        if now - job.arrived_at < MIN_WAIT_SHARE * slack_s:
            return False
        return now + self._preemption_delay_s <= job.latest_start
