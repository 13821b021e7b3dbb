"""A list schedule by someone who knows every run time and pays nothing to dispatch.

Jobs go in the order of their arrival, the longest task of a job first, each to the slot that is
free the soonest. What dalemast takes longer than this is its own cost; what this takes longer than
the longest task is queueing that no dispatcher on the same slots would be spared.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence

from dalemast.bench.workload import Arrival

__all__ = ["get_response_times"]


def get_response_times(arrivals: Sequence[Arrival], *, slots: int) -> list[float]:
    """Return the response time of each job in seconds, in the order of the arrivals."""
    free_at = [0.0] * slots
    heapq.heapify(free_at)
    responses = []
    for arrival in arrivals:
        finish = 0.0
        for run_s in sorted(arrival.run_s, reverse=True):
            start = max(heapq.heappop(free_at), arrival.at_s)
            heapq.heappush(free_at, start + run_s)
            finish = max(finish, start + run_s)
        responses.append(finish - arrival.at_s)
    return responses
