"""Preemption at the owner: which waiting job may take room from less urgent work that has begun.

It answers a burst of long, less urgent tasks that fill all workers while short urgent jobs arrive.
A job asks for room to be made only while that still makes it on time, and once it has waited for a
moment: most room comes free by itself. How far a task may give way in its turn is told with its
start; its agent has the last word.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.orders import BEGUN, ON_TIME

__all__ = ["MAX_PREEMPTING_PRIORITY", "Preemption", "PreemptingOrder"]

DELAYED = BEGUN - 1.0
"""Standing of a job that has begun and has an objective's time left to be of use."""
MAX_PREEMPTING_PRIORITY = 0
"""Greatest priority number that may preempt others, by the configuration's own rule. Let all but
the least urgent do so, and the middle ones, which are many, take most of what is taken."""
WAIT_SHARE = 0.2
"""Share of its slack for which a job waits for room to come free by itself, so that most of it is
left for the stop and the start that follow."""
WAYS_S = 0.01
"""What a takeover takes beside the stop: the question, the end, the word of the room and the start
are four messages within a region, each with a turn of its receiver."""


class PreemptingOrder(BaseOrder):
    """Another order in which jobs that may preempt and can be on time count as begun.

    So room that comes free goes to them before the further tasks of less urgent jobs that have
    begun, and few runs need to be stopped for them. Before those are too late to be of use they go
    first, however long the urgent ones ask for more than there is.
    """

    def __init__(self, *, order: BaseOrder) -> None:
        self._order = order

    def get_key(self, job: Job, *, now: float) -> tuple[float, ...]:
        """Return the other order's key, with the standing of a job that has begun, or before it."""
        standing, *others = self._order.get_key(job, now=now)
        if standing == ON_TIME and job.request.queue.priority <= MAX_PREEMPTING_PRIORITY:
            standing = BEGUN
        elif standing == BEGUN and now > job.latest_late_start - job.objective_s:
            standing = DELAYED
        return (standing, *others)


class Preemption:
    """The rules of one owner. ``stop_s`` is the longest time that a stop takes, in seconds."""

    def __init__(self, *, is_asked: bool, stop_s: float) -> None:
        self._is_asked = is_asked
        self._preemption_delay_s = stop_s + WAYS_S

    @property
    def preemption_delay_s(self) -> float:
        """How long after a question for room the job that asked begins, in seconds."""
        return self._preemption_delay_s

    def get_restart_slack_s(self, job: Job, task: Task, *, now: float) -> float | None:
        """Return for how long a task that starts now may give way, or None if it must not.

        A job gives way only once: after that it is as late as one that was never preempted would
        be if it had to wait, and it would lose again to the next burst.
        """
        if not self._is_asked or job.has_given_way or task.has_given_way:
            return None
        restart_slack_s = job.latest_start - self._preemption_delay_s - now
        return restart_slack_s if 0.0 < restart_slack_s < math.inf else None

    def select_requesting_jobs(self, waiting: Iterable[Job], *, now: float) -> list[Job]:
        """Return the jobs for which room should be made now; they ask again only after a while."""
        if not self._is_asked:
            return []
        askers = [job for job in waiting if job.waiting and self._may_ask(job, now)]
        for job in askers:
            job.asked_room_until = now + self._preemption_delay_s
        return askers

    def _may_ask(self, job: Job, now: float) -> bool:
        if now <= job.asked_room_until or job.request.queue.priority > MAX_PREEMPTING_PRIORITY:
            return False
        slack_s = job.latest_start - job.arrived_at
        if now - job.arrived_at < WAIT_SHARE * slack_s:
            return False
        return now + self._preemption_delay_s <= job.latest_start
