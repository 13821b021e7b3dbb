"""Placing waiting tasks: in the order of service, on workers that suit them, while there is room.

Most calls come under overload, with all workers full, and start nothing; so what can be known to
find no room is not looked at.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping

from dalemast.core.scheduling.actions import Action, StartTask
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.capacity_requests import CapacityRequests
from dalemast.core.scheduling.choices import ChoiceRound, WorkerChoice
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.jobs import Job, Task
from dalemast.core.scheduling.preemption import Preemption
from dalemast.core.scheduling.workers import WorkerView

__all__ = ["Dispatcher"]


class Dispatcher:
    """Starts what waits and says what room is lacked. ``jobs`` are the scheduler's, by id."""

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        order: BaseOrder,
        placement: BasePlacement,
        choice: WorkerChoice,
        run_times: RunTimes,
        wants: CapacityRequests,
        preemption: Preemption,
    ) -> None:
        self._jobs = jobs
        self._order = order
        self._placement = placement
        self._choice = choice
        self._run_times = run_times
        self._wants = wants
        self._preemption = preemption
        self._least_waiting_cpu = 0
        self._numbers = itertools.count(1)
        """Of starts, for all workers together: an agent tells one start that comes twice from two
        by it, also after its worker was out of reach."""

    @property
    def min_waiting_cpu(self) -> int:
        """What the smallest waiting task takes; news of less room changes nothing."""
        return self._least_waiting_cpu

    def dispatch(self, *, now: float) -> list[Action]:
        """Place waiting tasks while there is room."""
        waiting = [job for job in self._jobs.values() if job.waiting]
        self._least_waiting_cpu = 0
        if not waiting:
            self._wants.clear()
            return []
        choices = self._choice.begin(now=now)
        waiting.sort(key=lambda job: self._order.get_key(job, now=now))
        starts = [start for job in waiting for start in self._start_tasks(job, choices, now)]
        left = (task.step.resources.cpu for job in waiting for task in job.waiting)
        self._least_waiting_cpu = min(left, default=0)
        asked = self._wants.update(
            _get_first_waiting(waiting),
            choices.get_accepting,
            started={start.worker for start in starts},
            now=now,
        )
        return [*starts, *asked, *self._ask_to_preempt(waiting, choices, now)]

    def start_last_resort(self, jobs: Iterable[Job], *, now: float) -> list[StartTask]:
        """Start what is refused otherwise wherever it can still be of use."""
        choices = self._choice.begin(now=now)
        most_free = self._choice.get_most_free()
        urgent_first = sorted(jobs, key=lambda job: self._order.get_key(job, now=now))
        starts: list[StartTask] = []
        for job in urgent_first:
            starts += self._start_job_at_last(job, choices, most_free, now)
        return starts

    def _ask_to_preempt(
        self, waiting: Iterable[Job], choices: ChoiceRound, now: float
    ) -> list[Action]:
        """Ask for room to be made where the jobs that may preempt can use it."""
        begins_at = now + self._preemption.preemption_delay_s
        askers = self._preemption.select_requesting_jobs(waiting, now=now)
        return self._wants.request_preemption(
            askers, lambda job: choices.find_preemptible(job, begins_at=begins_at), now=now
        )

    def _start_job_at_last(
        self, job: Job, choices: ChoiceRound, most_free: Mapping[str, int], now: float
    ) -> list[StartTask]:
        starts = []
        room = most_free.get(job.request.queue.service, -1)
        full: set[int] = set()
        for task in list(job.waiting):
            step = task.key.step
            if step in full or task.step.resources.cpu > room or job.holds_back(task):
                continue
            view = choices.choose_last_resort(job, task)
            if view is None:
                full.add(step)
            else:
                starts.append(self._start(job, task, view, now))
        return starts

    def _start_tasks(self, job: Job, choices: ChoiceRound, now: float) -> list[StartTask]:
        service = job.request.queue.service
        starts = []
        is_planned = False
        full: set[int] = set()
        for task in list(job.waiting):
            if task.step.resources.cpu > choices.get_most_free(service):
                break
            if task.key.step in full or job.holds_back(task):
                continue
            suiting = choices.find_eligible(job, task)
            if not suiting:
                if not task.is_choosy:
                    # Others of its step find no more than this one.
                    full.add(task.key.step)
                continue
            if not is_planned:
                is_planned = True
                workers = choices.get_accepting(service)
                self._placement.plan(job, workers, self._run_times, now=now)
            view = choices.pick(job, task, suiting)
            if view is not None:
                starts.append(self._start(job, task, view, now))
                choices.note_start(service)
        return starts

    def _start(self, job: Job, task: Task, view: WorkerView, now: float) -> StartTask:
        queue = job.request.queue
        expected_s = self._run_times.expect(queue=queue.name, declared_s=task.step.estimate_s)
        run_factor = self._placement.get_run_factor(task.step, view)
        number = next(self._numbers)
        view.reserve(task.step.resources, number=number)
        job.set_placed(
            task, worker=view.name, now=now, expected_s=expected_s, run_factor=run_factor
        )
        return StartTask(
            worker=view.name,
            job=job.request,
            task=task.key,
            run=task.run,
            expected_s=expected_s * run_factor,
            number=number,
            restart_slack_s=self._preemption.get_restart_slack_s(job, task, now=now),
        )


def _get_first_waiting(jobs: list[Job]) -> dict[str, Job]:
    """Return the first job of each service that still waits; ``jobs`` are in order of service."""
    firsts: dict[str, Job] = {}
    for job in jobs:
        if job.waiting:
            firsts.setdefault(job.request.queue.service, job)
    return firsts
