"""The owner's queue of jobs: fair between accounts, first in first out within an account."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.dispatch.jobs import Job
from dalemast.core.fairness import FairQueue

__all__ = ["Backlog"]


class _Usage:
    __slots__ = ("queued_bytes", "queued_tasks", "running")

    def __init__(self) -> None:
        self.queued_tasks = 0
        self.queued_bytes = 0
        self.running = 0


class Backlog:
    """The queue of jobs with waiting tasks, and the tasks and bytes of each account."""

    def __init__(self) -> None:
        self._queue: FairQueue[Job] = FairQueue()
        self._usages: dict[str, _Usage] = {}

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def active_weight(self) -> float:
        """The sum of the weights of the accounts that have queued jobs."""
        return self._queue.active_weight

    def get_usage(self, account: str) -> _Usage:
        """Return the queued tasks, queued bytes and running tasks of an account."""
        return self._usages.setdefault(account, _Usage())

    def get_running(self) -> int:
        """Return how many tasks of all accounts are at workers."""
        return sum(usage.running for usage in self._usages.values())

    def add(self, job: Job, *, weight: float, is_first: bool = False) -> None:
        """Queue a job that has waiting tasks; ``is_first`` puts it before its account's others."""
        if job.is_queued or not job.waiting:
            return
        job.is_queued = True
        self._queue.push(account=job.request.account, item=job, weight=weight, is_first=is_first)
        usage = self.get_usage(job.request.account)
        usage.queued_tasks += len(job.waiting)
        usage.queued_bytes += job.request.size_bytes

    def remove(self, job: Job) -> None:
        """Remove a job; call this before its waiting tasks change, or the counts go wrong."""
        if not job.is_queued:
            return
        job.is_queued = False
        self._queue.remove(account=job.request.account, item=job)
        usage = self.get_usage(job.request.account)
        usage.queued_tasks -= len(job.waiting)
        usage.queued_bytes -= job.request.size_bytes

    def record_taken(self, job: Job, count: int) -> None:
        """Record that ``count`` waiting tasks of a queued job were sent."""
        self.get_usage(job.request.account).queued_tasks -= count
        if not job.waiting:
            self.remove(job)

    def get_next_account(self, *, excluding: Collection[str]) -> str | None:
        """Return the account to serve next, or None."""
        return self._queue.get_next_account(excluding=excluding)

    def get_head(self, account: str, limit: int) -> list[Job]:
        """Return the first jobs of an account, at most ``limit``."""
        items = self._queue.get_items(account)
        return [items[position] for position in range(min(limit, len(items)))]

    def charge(self, account: str, slot_seconds: float) -> None:
        """Add used slot time to an account's virtual time."""
        self._queue.charge(account=account, slot_seconds=slot_seconds)
