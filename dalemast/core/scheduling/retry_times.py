"""When refused callers come back: each at a time of its own, as room comes free for them.

It answers the return of all callers at once, after an outage or a burst: told the same time, they
come back as the same burst, find the same room and are refused once more.
"""

from __future__ import annotations

import zlib

from dalemast.core.scheduling.jobs import Job

__all__ = ["RETRY_AFTER_S", "RetryTimes"]

RETRY_AFTER_S = (0.2, 5.0)
"""Bounds on when a refused caller is told to come back."""
SPREAD = 0.25
"""Share of the time that refused work takes over which the next caller may come sooner than its
turn: entries that don't know of each other's refusals must not name the same moments."""


class RetryTimes:
    """Gives refused callers their turns, by service and priority. Times are the steady clock."""

    def __init__(self) -> None:
        self._taken_until: dict[tuple[str, int], float] = {}
        """When the room is free again that callers who were refused before come back for."""

    def plan(self, job: Job, *, begin_s: float, core_s: float, cores: float, now: float) -> float:
        """Return in how many seconds a refused caller should come back.

        ``begin_s`` is when its job may begin at the soonest, ``core_s`` is its work and ``cores``
        the room that the work refused here may get.
        """
        lowest_s, highest_s = RETRY_AFTER_S
        queue = job.request.queue
        work_s = core_s / cores if cores else 0.0
        begin = now + max(lowest_s, begin_s)
        begin = max(begin, self._get_taken_until(queue.service, queue.priority - 1))
        taken_until = self._get_taken_until(queue.service, queue.priority)
        turn = max(begin, taken_until) + work_s
        share = _get_share(job.request.id)
        if not turn < now + highest_s:
            # Turns would pile up at the latest time, so they are spread over the half before it.
            # Work that a caller declares to be no number has no turn either.
            return highest_s * (1.0 - share / 2)
        self._take(queue.service, queue.priority, turn, work_s)
        return max(turn - now - SPREAD * (turn - begin) * share, lowest_s)

    def _get_taken_until(self, service: str, priority: int) -> float:
        """Return until when callers come back that are at least as urgent."""
        return max(
            (
                until
                for (other, urgency), until in self._taken_until.items()
                if other == service and urgency <= priority
            ),
            default=0.0,
        )

    def _take(self, service: str, priority: int, turn: float, work_s: float) -> None:
        """Note a turn; the less urgent callers that are refused from now on come later by it."""
        self._taken_until[service, priority] = turn
        for other, urgency in self._taken_until:
            if other == service and urgency > priority:
                self._taken_until[other, urgency] += work_s


def _get_share(job_id: str) -> float:
    """Return a number from 0 to 1 that is always the same for a job, and spreads evenly."""
    return zlib.crc32(job_id.encode()) / 0xFFFFFFFF
