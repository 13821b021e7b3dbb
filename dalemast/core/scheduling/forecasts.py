"""The forecast of a job's begin as it arrives and finds no room: the soonest that it can.

It answers overload: more is asked than can be done, and a job that waits in vain takes its caller's
time and is refused all the same. What it takes in: room that comes free, by agents' words and this
owner's own runs, and the work at least as urgent that goes ahead, here and at other entries. It is
the soonest begin, not the likely one: by a wrong forecast a job is rather kept than refused.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.capacity import (
    CapacityStep,
    CapacityTimeline,
    OwnRun,
    WorkerAvailability,
    bound_run_s,
    get_worker_availability,
)
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import LATE_FACTOR, Job, TaskPhase
from dalemast.core.scheduling.preemption import MAY_PREEMPT
from dalemast.core.scheduling.workers import WorkerView
from dalemast.core.workloads import Queue

__all__ = ["DemandElsewhere", "Forecast", "Forecasts"]

MARGIN = 0.5
"""Share of a forecast by which a job may begin sooner. Declared run times are off by 40 %, and with
them the room that is told; and a needless refusal costs a caller more than a short wait in vain."""

LEAST_KNOWN = 0.25
"""Share of the room in use of which an end must be known: a sample from a quarter of it."""
LOOK_SHARE = 0.1
"""Share of a job's objective for which one look at the room serves: less than the margin."""
MAX_REUSE_S = 1.5
"""How long it serves at the most: by then each agent has reported anew."""
MOST_LOOKS = 256
"""Looks that are kept, one for each queue and label; they are cheap to take again."""


class DemandElsewhere(Protocol):
    """What other entries have waiting."""

    def get_core_s_ahead(self, service: str, priority: int, now: float) -> float:
        """Return the core-seconds that wait elsewhere for a service and are at least as urgent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """The soonest that a job can begin.

    ``begin_s`` is in seconds from now and may be infinite; ``here_core_s`` and ``elsewhere_core_s``
    is the work that goes ahead of it, in core-seconds, and ``cores`` is the room of the workers
    that suit it, in use or not.
    """

    begin_s: float
    here_core_s: float
    elsewhere_core_s: float
    cores: float

    def is_later_than(self, limit_s: float) -> bool:
        """Tell whether the job surely begins later than in so many seconds."""
        return (1.0 - MARGIN) * self.begin_s > limit_s


@dataclass(frozen=True, kw_only=True, slots=True)
class _Ahead:
    """What goes ahead here: its cores, its core-seconds, and its mean run time by work."""

    cores: float
    core_s: float
    run_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Look:
    """The room for a queue's jobs at a moment, or None if no worker suited them."""

    at: float
    rooms: CapacityTimeline | None


class Forecasts:
    """Makes forecasts. ``jobs`` and ``workers`` are the scheduler's, by id.

    With ``preempts`` all room counts as free for a job that others may give way to.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        workers: Mapping[str, WorkerView],
        order: BaseOrder,
        run_times: RunTimes,
        elsewhere: DemandElsewhere,
        preempts: bool = False,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._order = order
        self._run_times = run_times
        self._elsewhere = elsewhere
        self._preempts = preempts
        self._seen: dict[tuple[str, str, str], _Look] = {}
        """By service, queue and label, the last look at the room."""
        self._least_urgent: dict[str, int] = {}
        """By service, the least urgent priority that has arrived here."""

    def note(self, job: Job) -> None:
        """Note a job that has arrived."""
        queue = job.request.queue
        known = self._least_urgent.get(queue.service, queue.priority)
        self._least_urgent[queue.service] = max(known, queue.priority)

    def expect(self, job: Job, *, now: float, leaving: Collection[str] = ()) -> Forecast | None:
        """Return the soonest begin of a job that waits, or None if too little is known.

        ``leaving`` are ids of jobs that wait no longer.
        """
        if not job.waiting:
            return None
        rooms, age_s = self._get_rooms(job, now)
        if rooms is None or rooms.known_share < LEAST_KNOWN:
            return None
        least_cpu = min(task.step.resources.cpu for task in job.waiting)
        ahead = self._sum_up_ahead(job, leaving, now)
        elsewhere_core_s = self._get_elsewhere(job, now)
        # The mean by work: other entries tell core-seconds, and the fewest cores they may be.
        cores = ahead.cores + elsewhere_core_s / ahead.run_s
        begin_s = rooms.get_single_worker_start_s(least_cpu)
        if cores:
            shared_s = rooms.get_pooled_start_s(cores + least_cpu / 1000, run_s=ahead.run_s)
            begin_s = max(begin_s, shared_s)
        begin_s -= age_s
        return Forecast(
            begin_s=max(begin_s, 0.0),
            here_core_s=ahead.core_s,
            elsewhere_core_s=elsewhere_core_s,
            cores=rooms.cores,
        )

    def _get_rooms(self, job: Job, now: float) -> tuple[CapacityTimeline | None, float]:
        """Return the room that a job may get, None without any, and how old the look at it is.

        One look serves the jobs of a queue for a while: under overload forecasts are asked for more
        often than the room changes.
        """
        queue = job.request.queue
        label = min(task.step.label for task in job.waiting)
        key = (queue.service, queue.name, label)
        seen = self._seen.get(key)
        serves_s = min(LOOK_SHARE * job.objective_s, MAX_REUSE_S)
        if seen is not None and 0.0 <= now - seen.at <= serves_s:
            return seen.rooms, now - seen.at
        views = [view for view in self._workers.values() if self._suits(job, label, view, now)]
        rooms = CapacityTimeline(self._list_rooms(job, views, now)) if views else None
        if len(self._seen) >= MOST_LOOKS:
            self._seen.clear()
        self._seen[key] = _Look(at=now, rooms=rooms)
        return rooms, 0.0

    def _suits(self, job: Job, label: str, view: WorkerView, now: float) -> bool:
        """Tell whether a worker could take a job if it had room."""
        if view.service != job.request.queue.service or not view.is_accepting:
            return False
        if label and label not in view.labels:
            return False
        return job.is_of_use(slowness=view.get_slowness(now), now=now)

    def _list_rooms(
        self, job: Job, views: list[WorkerView], now: float
    ) -> list[WorkerAvailability]:
        queue = job.request.queue
        if self._preempts and self._has_less_urgent(queue):
            return [_get_whole_room(view) for view in views]
        runs = self._list_own_runs(now)
        max_age_s = LATE_FACTOR * job.objective_s
        return [
            get_worker_availability(view, runs.get(view.name, ()), max_age_s=max_age_s, now=now)
            for view in views
        ]

    def _has_less_urgent(self, queue: Queue) -> bool:
        """Tell whether a queue may preempt others, and less urgent ones have arrived."""
        least_urgent = self._least_urgent.get(queue.service, queue.priority)
        return queue.priority <= MAY_PREEMPT and queue.priority < least_urgent

    def _list_own_runs(self, now: float) -> dict[str, list[OwnRun]]:
        """Return this owner's runs by worker."""
        runs: dict[str, list[OwnRun]] = {}
        for job in self._jobs.values():
            if not job.has_begun:
                continue
            for task in job.tasks.values():
                view = self._workers.get(task.worker)
                if task.phase is not TaskPhase.PLACED or view is None:
                    continue
                run_s = task.expected_s * task.run_factor * view.get_slowness(now)
                left_s = max(task.placed_at + run_s - now, 0.0)
                run = OwnRun(task.step.resources.cpu, task.placed_at, left_s)
                runs.setdefault(task.worker, []).append(run)
        return runs

    def _sum_up_ahead(self, job: Job, leaving: Collection[str], now: float) -> _Ahead:
        """Return what waits here ahead of a job."""
        key = self._order.get_key(job, now=now)
        service = job.request.queue.service
        cores = core_s = 0.0
        # The job's own work counts in the mean alone, which so has a value.
        own_core_s, weighted = self._weigh(job)[1:]
        for other in self._jobs.values():
            if other is job or not other.waiting or other.request.queue.service != service:
                continue
            if other.request.id in leaving or self._order.get_key(other, now=now) > key:
                continue
            other_cores, other_core_s, other_weighted = self._weigh(other)
            cores += other_cores
            core_s += other_core_s
            weighted += other_weighted
        total = core_s + own_core_s
        return _Ahead(
            cores=cores, core_s=core_s, run_s=bound_run_s(weighted / total if total else 0.0)
        )

    def _weigh(self, job: Job) -> tuple[float, float, float]:
        """Return cores and core-seconds of what waits of a job, and the latter times run times."""
        name = job.request.queue.name
        cores = core_s = weighted = 0.0
        for task in job.waiting:
            run_s = self._run_times.expect(queue=name, declared_s=task.step.estimate_s)
            task_cores = task.step.resources.cpu / 1000
            cores += task_cores
            core_s += task_cores * run_s
            weighted += task_cores * run_s * run_s
        return cores, core_s, weighted

    def _get_elsewhere(self, job: Job, now: float) -> float:
        """Return the core-seconds ahead at other entries; a word that is no number counts as 0."""
        queue = job.request.queue
        core_s = self._elsewhere.get_core_s_ahead(queue.service, queue.priority, now)
        return max(core_s, 0.0) if math.isfinite(core_s) else 0.0


def _get_whole_room(view: WorkerView) -> WorkerAvailability:
    """Return all room of a worker, as free at once; one that has shrunk to nothing has none."""
    cpu = view.capacity.cpu
    return WorkerAvailability(0, [CapacityStep(0.0, 0.0, cpu)] if cpu > 0 else [])
