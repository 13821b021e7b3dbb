"""When refused callers should retry: each at a different time, as capacity becomes free for them.

Guards against retries that arrive as one burst, after an outage or a peak, and are refused again.
"""

from __future__ import annotations

import zlib

from dalemast.core.scheduling.jobs import Job

__all__ = ["RETRY_AFTER_S", "RetryTimes"]

RETRY_AFTER_S = (0.2, 5.0)
"""Minimum and maximum retry time of a refused caller, in seconds."""
JITTER_SHARE = 0.25
"""Maximum share of its waiting time by which a caller may retry earlier. Guards against entries
that assign the same retry times, since they don't know of each other's refusals."""


class RetryTimes:
    """Assigns retry times to refused callers, by service and priority.

    Times are in seconds, on the monotonic clock.
    """

    def __init__(self) -> None:
        self._reserved_until: dict[tuple[str, int], float] = {}
        """Until when capacity is reserved for callers that were refused before."""

    def plan(self, job: Job, *, begin_s: float, core_s: float, cores: float, now: float) -> float:
        """Return after how many seconds a refused caller should retry.

        ``begin_s`` is the earliest start of its job, in seconds from now, ``core_s`` its work and
        ``cores`` the capacity that refused jobs of this owner may get.
        """
        lowest_s, highest_s = RETRY_AFTER_S
        queue = job.request.queue
        work_s = core_s / cores if cores else 0.0
        earliest = now + max(lowest_s, begin_s)
        earliest = max(earliest, self._get_reserved_until(queue.service, queue.priority - 1))
        reserved_until = self._get_reserved_until(queue.service, queue.priority)
        retry_at = max(earliest, reserved_until) + work_s
        share = _get_hash_share(job.request.id)
        if not retry_at < now + highest_s:
            # Retries at the maximum would form a burst, so they are spread over the second half of
            # the range. A job whose work is NaN is not scheduled either.
            return highest_s * (1.0 - share / 2)
        self._reserve(queue.service, queue.priority, retry_at, work_s)
        return max(retry_at - now - JITTER_SHARE * (retry_at - earliest) * share, lowest_s)

    def _get_reserved_until(self, service: str, priority: int) -> float:
        """Return until when capacity is reserved for callers that are at least as urgent."""
        return max(
            (
                until
                for (other, urgency), until in self._reserved_until.items()
                if other == service and urgency <= priority
            ),
            default=0.0,
        )

    def _reserve(self, service: str, priority: int, retry_at: float, work_s: float) -> None:
        """Reserve capacity for a retry, and delay less urgent callers that are refused later."""
        self._reserved_until[service, priority] = retry_at
        for other, urgency in self._reserved_until:
            if other == service and urgency > priority:
                self._reserved_until[other, urgency] += work_s


def _get_hash_share(job_id: str) -> float:
    """Return a number from 0 to 1, evenly distributed and always the same for a job."""
    return zlib.crc32(job_id.encode()) / 0xFFFFFFFF
