"""Requests for capacity, so that agents serve the most urgent work of all owners first.

Without them the owner of an ended run would reuse the capacity before other owners know that it is
free. Each owner would then keep its share of the workers however urgent its work is, and an owner
that has lost its share, for example with a data centre, would not get it back.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from dalemast.core.scheduling.actions import Action, CapacityRequest, RequestCapacity, StartTask
from dalemast.core.scheduling.base import BaseOrder
from dalemast.core.scheduling.jobs import Job
from dalemast.core.scheduling.orders import ON_TIME
from dalemast.core.scheduling.workers import WorkerView

__all__ = ["CapacityRequests"]

MAX_WORKERS_ASKED = 12
"""Maximum number of workers that receive one request, since each of them costs a message."""


class CapacityRequests:
    """The capacity requests of this owner by service, and the workers that may hold one."""

    def __init__(self, *, order: BaseOrder) -> None:
        self._order = order
        self._requests: dict[str, CapacityRequest] = {}
        self._asked: set[str] = set()
        """Workers whose agents may hold a request of this owner."""
        self._offset = 0

    def get(self, service: str) -> CapacityRequest | None:
        """Return the request for a service, which is also sent with each start."""
        return self._requests.get(service)

    def clear(self) -> None:
        """Drop all requests. Agents are informed when they next offer capacity."""
        self._requests.clear()

    def update(
        self,
        firsts: Mapping[str, Job],
        get_workers: Callable[[str], Iterable[WorkerView]],
        *,
        started: Collection[str],
        now: float,
    ) -> list[Action]:
        """Request capacity for the first waiting job of each service.

        A request is sent only if it is more urgent than the one before. ``get_workers`` returns
        the workers to choose from. ``started`` are workers that are being sent a task, and the
        request with it.
        """
        before = self._requests
        self._requests = {service: self._make_request(job, now) for service, job in firsts.items()}
        self._asked.update(started)
        actions: list[Action] = []
        for service, request in self._requests.items():
            if not _is_more_urgent(request, before.get(service)):
                continue
            names = self._choose(
                view.name
                for view in get_workers(service)
                if view.name not in started and view.capacity.cpu >= request.cpu
            )
            if names:
                self._asked.update(names)
                actions.append(RequestCapacity(workers=names, request=request))
        return actions

    def request_preemption(
        self,
        jobs: Iterable[Job],
        get_workers: Callable[[Job], Iterable[WorkerView]],
        *,
        now: float,
    ) -> list[Action]:
        """Request that less urgent runs be stopped, on one worker for each waiting task.

        ``get_workers`` returns the workers that are eligible for a job.
        """
        actions: list[Action] = []
        for job in jobs:
            priority = job.request.queue.priority
            request = replace(self._make_request(job, now), preempts_from=priority + 1)
            names = self._choose(view.name for view in get_workers(job))[: len(job.waiting)]
            if names:
                self._asked.update(names)
                actions.append(RequestCapacity(workers=names, request=request))
        return actions

    def decline_unneeded_offer(self, view: WorkerView, actions: list[Action]) -> list[Action]:
        """Withdraw the request to an agent that offers capacity which no waiting job needs."""
        if view.name not in self._asked or view.service in self._requests:
            return []
        if any(isinstance(action, StartTask) and action.worker == view.name for action in actions):
            return []
        self._asked.discard(view.name)
        return [RequestCapacity(workers=(view.name,), request=None)]

    def forget(self, worker: str) -> None:
        """Drop a worker that has become unreachable."""
        self._asked.discard(worker)

    def _make_request(self, job: Job, now: float) -> CapacityRequest:
        cpu = min(task.step.resources.cpu for task in job.waiting)
        return CapacityRequest(rank=self._order.get_key(job, now=now), cpu=cpu)

    def _choose(self, workers: Iterable[str]) -> tuple[str, ...]:
        """Return the workers to send a request to, in rotation if there are too many."""
        names = list(workers)
        if len(names) <= MAX_WORKERS_ASKED:
            return tuple(names)
        self._offset = (self._offset + MAX_WORKERS_ASKED) % len(names)
        return tuple((names * 2)[self._offset : self._offset + MAX_WORKERS_ASKED])


def _is_more_urgent(request: CapacityRequest, before: CapacityRequest | None) -> bool:
    """Return whether a request is of a more urgent class than the one before.

    Other changes are sent with the next start or when capacity is offered. Sending each change of
    the class at once took twice as many messages by simulation, and gained nothing.
    """
    return before is None or _get_class(request) < _get_class(before)


def _get_class(request: CapacityRequest) -> tuple[float, ...]:
    """Return the rank without its time.

    Jobs that have started and jobs that can still be on time are of the same class.
    """
    standing, *others = request.rank[:-1]
    return (max(standing, ON_TIME), *others)
