"""Assign waiting tasks to workers: choose the account, then the job, then the workers."""

from __future__ import annotations

import random
from collections.abc import Callable

from dalemast.core.configuration import ConfigurationHolder
from dalemast.core.dispatch.backlog import Backlog
from dalemast.core.dispatch.jobs import Job
from dalemast.core.dispatch.link_registry import LinkRegistry
from dalemast.core.placement import AccountHealth, Allotment, BasePlacement, WorkerPool
from dalemast.core.verdicts import TaskState

__all__ = ["Dispatcher"]

JOBS_SCANNED_PER_ACCOUNT = 8
"""Maximum number of an account's jobs tried in one turn. A job that fits no worker must not block
all jobs behind it."""


class Dispatcher:
    """Place queued tasks. ``on_infeasible`` is called with a job that cannot meet its deadline."""

    def __init__(
        self,
        *,
        backlog: Backlog,
        pool: WorkerPool,
        links: LinkRegistry,
        health: AccountHealth,
        placement: BasePlacement,
        configuration: ConfigurationHolder,
        rng: random.Random,
        on_infeasible: Callable[[Job], None],
    ) -> None:
        self._backlog = backlog
        self._pool = pool
        self._links = links
        self._health = health
        self._placement = placement
        self._configuration = configuration
        self._rng = rng
        self._on_infeasible = on_infeasible

    def dispatch(self, *, now: float, entries: int) -> None:
        """Place tasks until no queued job fits on a worker.

        ``entries`` is the number of live entries, which share each account's limits equally.
        """
        blocked: set[int] = set()
        stalled: set[str] = set()
        while True:
            account = self._backlog.get_next_account(excluding=stalled)
            if account is None:
                return
            allowance = self._get_allowance(account, entries)
            if allowance <= 0 or not self._place_one_job(account, allowance, now, blocked):
                stalled.add(account)

    def _place_one_job(self, account: str, allowance: int, now: float, blocked: set[int]) -> bool:
        """Place tasks of the first job of an account that fits on a worker.

        Return whether a job was placed, or failed as infeasible.
        """
        for job in self._backlog.get_head(account, JOBS_SCANNED_PER_ACCOUNT):
            candidates = self._pool.get_candidates(
                service=job.request.service, selectors=job.selectors
            )
            if id(candidates) in blocked:
                continue
            if self._is_infeasible(job, now):
                self._on_infeasible(job)
                return True
            allotments = self._placement.choose(
                count=min(len(job.waiting), allowance),
                candidates=candidates,
                health=self._health.get(account),
                now=now,
                rng=self._rng,
            )
            if allotments:
                self._send(job, allotments, now)
                return True
            blocked.add(id(candidates))
        return False

    def _get_allowance(self, account: str, entries: int) -> int:
        declared = self._configuration.accounts.get(account)
        if declared is None:
            return 1
        limit = -(-declared.limits.running_tasks // entries)
        return limit - self._backlog.get_usage(account).running

    def _is_infeasible(self, job: Job, now: float) -> bool:
        """Return whether no task of a job has started and it can no longer meet its deadline."""
        if job.has_started_work:
            return False
        health = self._health.get(job.request.account)
        run = health.get_service(job.request.service).run_times.get(0.25, 0.0)
        return now + run > job.deadline_at

    def _send(self, job: Job, allotments: list[Allotment], now: float) -> None:
        usage = self._backlog.get_usage(job.request.account)
        health = self._health.get(job.request.account)
        expected = health.get_expected_run_s(job.request.service)
        for allotment in allotments:
            link = self._links.get(allotment.worker.name)
            assert link is not None
            indexes = job.take_waiting(allotment.count)
            trial = health.note_sent(allotment.worker.name, len(indexes))
            for index in indexes:
                job.set_state(index, TaskState.SENT)
                link.add_start(job, index, trial=trial, now=now)
            usage.running += len(indexes)
            self._backlog.charge(job.request.account, expected * len(indexes))
            self._backlog.record_taken(job, len(indexes))
