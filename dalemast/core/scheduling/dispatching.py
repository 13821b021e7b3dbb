"""Placement of waiting tasks on workers, in the order of service.

Under overload most calls start nothing, so tasks that can't fit on any worker are skipped early.
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
    """Starts waiting tasks and requests capacity for those that find none.

    ``jobs`` are the scheduler's open jobs, by id.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, Job],
        order: BaseOrder,
        placement: BasePlacement,
        choice: WorkerChoice,
        run_times: RunTimes,
        capacity_requests: CapacityRequests,
        preemption: Preemption,
    ) -> None:
        self._jobs = jobs
        self._order = order
        self._placement = placement
        self._choice = choice
        self._run_times = run_times
        self._capacity_requests = capacity_requests
        self._preemption = preemption
        self._min_waiting_cpu = 0
        self._numbers = itertools.count(1)
        """Numbers of starts, across all workers. They let an agent tell a duplicate start from a
        new one, even after its worker was unreachable."""

    @property
    def min_waiting_cpu(self) -> int:
        """CPU of the smallest waiting task; a worker with less free CPU can start nothing."""
        return self._min_waiting_cpu

    def dispatch(self, *, now: float) -> list[Action]:
        """Place waiting tasks while there is free capacity, and request capacity for the rest."""
        waiting = [job for job in self._jobs.values() if job.waiting]
        self._min_waiting_cpu = 0
        if not waiting:
            self._capacity_requests.clear()
            return []
        choices = self._choice.start_round(now=now)
        waiting.sort(key=lambda job: self._order.get_key(job, now=now))
        starts = [start for job in waiting for start in self._start_tasks(job, choices, now)]
        waiting_cpu = (task.step.resources.cpu for job in waiting for task in job.waiting)
        self._min_waiting_cpu = min(waiting_cpu, default=0)
        requests = self._capacity_requests.update(
            _get_first_waiting(waiting),
            choices.get_accepting,
            started={start.worker for start in starts},
            now=now,
        )
        return [*starts, *requests, *self._request_preemption(waiting, choices, now)]

    def start_last_resort(self, jobs: Iterable[Job], *, now: float) -> list[StartTask]:
        """Start jobs that would otherwise be refused on any worker where they are still useful."""
        choices = self._choice.start_round(now=now)
        max_free_cpu = self._choice.get_max_free_cpu()
        urgent_first = sorted(jobs, key=lambda job: self._order.get_key(job, now=now))
        starts: list[StartTask] = []
        for job in urgent_first:
            starts += self._start_job_last_resort(job, choices, max_free_cpu, now)
        return starts

    def _request_preemption(
        self, waiting: Iterable[Job], choices: ChoiceRound, now: float
    ) -> list[Action]:
        """Request preemption on the workers that jobs allowed to preempt could use."""
        starts_at = now + self._preemption.preemption_delay_s
        requesting = self._preemption.select_requesting_jobs(waiting, now=now)
        return self._capacity_requests.request_preemption(
            requesting,
            lambda job: choices.find_preemption_targets(job, starts_at=starts_at),
            now=now,
        )

    def _start_job_last_resort(
        self, job: Job, choices: ChoiceRound, max_free_cpu: Mapping[str, int], now: float
    ) -> list[StartTask]:
        starts = []
        max_cpu = max_free_cpu.get(job.request.queue.service, -1)
        full_steps: set[int] = set()
        for task in list(job.waiting):
            step = task.key.step
            if step in full_steps or task.step.resources.cpu > max_cpu or job.holds_back(task):
                continue
            view = choices.choose_last_resort(job, task)
            if view is None:
                full_steps.add(step)
            else:
                starts.append(self._start(job, task, view, now))
        return starts

    def _start_tasks(self, job: Job, choices: ChoiceRound, now: float) -> list[StartTask]:
        service = job.request.queue.service
        starts = []
        has_planned = False
        full_steps: set[int] = set()
        for task in list(job.waiting):
            if task.step.resources.cpu > choices.get_max_free_cpu(service):
                break
            if task.key.step in full_steps or job.holds_back(task):
                continue
            eligible = choices.find_eligible(job, task)
            if not eligible:
                if not task.is_choosy:
                    # The other tasks of the step have the same requirements.
                    full_steps.add(task.key.step)
                continue
            if not has_planned:
                has_planned = True
                workers = choices.get_accepting(service)
                self._placement.plan(job, workers, self._run_times, now=now)
            view = choices.pick(job, task, eligible)
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
            has_hidden_end=task.has_hidden_end,
        )


def _get_first_waiting(jobs: list[Job]) -> dict[str, Job]:
    """Return the first waiting job of each service; ``jobs`` are in the order of service."""
    first_jobs: dict[str, Job] = {}
    for job in jobs:
        if job.waiting:
            first_jobs.setdefault(job.request.queue.service, job)
    return first_jobs
