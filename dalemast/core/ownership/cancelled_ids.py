"""The ids of cancelled jobs, of which no task may be started any more.

A submission may arrive after the cancellation of its job was acknowledged, since it was delayed or
sent again. So each cancelled id is kept for a while. The number of ids is bounded, and the queue
with the most of them loses its oldest one first, so that one client account can't displace the ids
of others.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["CancelledId", "CancelledIds"]


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelledId:
    """A cancelled id, which is kept until the time ``until``."""

    queue: str
    job_id: str
    until: float


class CancelledIds:
    """Cancelled ids by the names of their queues, at most ``max_ids`` of them.

    Times are readings of a steady clock, in seconds.
    """

    def __init__(self, *, max_ids: int) -> None:
        self._max_ids = max_ids
        self._queues: dict[str, dict[str, float]] = {}
        """For each queue, its ids with the times until which they are kept, oldest first."""
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[CancelledId]:
        for queue, ids in self._queues.items():
            for job_id, until in ids.items():
                yield CancelledId(queue=queue, job_id=job_id, until=until)

    def add(self, queue: str, job_id: str, *, until: float) -> None:
        """Keep an id. One that is kept already is kept until the later of both times."""
        ids = self._queues.setdefault(queue, {})
        known_until = ids.get(job_id)
        if known_until is not None:
            ids[job_id] = max(known_until, until)
            return
        ids[job_id] = until
        self._count += 1
        if self._count > self._max_ids:
            self._remove_oldest()

    def contains(self, queue: str, job_id: str, *, now: float) -> bool:
        """Return whether an id of a queue is cancelled."""
        until = self._queues.get(queue, {}).get(job_id)
        return until is not None and now < until

    def sweep(self, *, now: float) -> None:
        """Remove the ids whose time is over."""
        left = {
            queue: {job_id: until for job_id, until in ids.items() if now < until}
            for queue, ids in self._queues.items()
        }
        self._queues = {queue: ids for queue, ids in left.items() if ids}
        self._count = sum(len(ids) for ids in self._queues.values())

    def _remove_oldest(self) -> None:
        largest = max(self._queues.values(), key=len)
        del largest[next(iter(largest))]
        self._count -= 1
