"""One entry's view of the workers and their load."""

from __future__ import annotations

import math
from collections.abc import Iterable

from dalemast.core.configuration import Endpoint, EndpointState
from dalemast.core.selectors import LabelIndex, Requirement, Selector
from dalemast.core.selectors.base import Operator
from dalemast.core.wire import Load

__all__ = ["WorkerPool", "WorkerView"]

OTHERS_HALF_LIFE_S = 0.25
"""Half-life of the weight of a load report, in seconds; the average gains what it loses."""

AVERAGE_HALF_LIFE_S = 0.5
"""Half-life of the average load without new reports, in seconds."""

AVERAGE_STEP = 0.05
"""Weight of one report in the average load of other entries."""

SLOT_COUNT_MAX_AGE_S = 0.25
"""Maximum age of a cached count of usable slots, in seconds."""

SERVICE_LABEL = "dalemast/service."


class OtherEntriesAverage:
    """The average number of tasks that other entries have on a worker, over recent reports.

    The average decays without reports; otherwise a worker once believed full would get no task,
    and so would send no report.
    """

    def __init__(self) -> None:
        self._value = 0.0
        self._at = -math.inf

    def add(self, others: int, now: float) -> None:
        """Add the number of tasks in a report."""
        current = self.get(now)
        self._value = current + AVERAGE_STEP * (others - current)
        self._at = now

    def get(self, now: float) -> float:
        """Return the decayed average."""
        if not self._value:
            return 0.0
        return float(self._value * 0.5 ** ((now - self._at) / AVERAGE_HALF_LIFE_S))


class WorkerView:
    """The state of one endpoint as known to this entry.

    The entry's own tasks are counted exactly. The load of other entries is taken from the last
    frame and moves towards their average as the frame ages. After a refusal the worker gets no
    more tasks until the agent reports free capacity, so that a wrong estimate costs one refusal.
    """

    def __init__(self, *, endpoint: Endpoint, average: OtherEntriesAverage | None = None) -> None:
        self.endpoint = endpoint
        self._average = average or OtherEntriesAverage()
        self.session = ""
        self.is_linked = False
        self.is_draining = False
        self.is_host_leaving = False
        self.slots = endpoint.slots
        self.own = 0
        self.overdue = 0
        self._is_awaiting_capacity = False
        self._others = 0
        self._reported_total = 0
        self._reported_at = -math.inf

    @property
    def name(self) -> str:
        """The name of the endpoint."""
        return self.endpoint.name

    @property
    def reported_total(self) -> int:
        """The number of tasks at the worker in its last report, however old."""
        return self._reported_total

    @property
    def is_usable(self) -> bool:
        """Whether the worker accepts new tasks at all."""
        if not self.is_linked or self.is_draining or self.is_host_leaving:
            return False
        return self.endpoint.state is EndpointState.LIVE

    def handle_report(self, *, load: Load, now: float) -> None:
        """Apply a load report of the agent."""
        self._reported_total = load.running + load.queued
        self._others = max(0, self._reported_total - load.yours)
        self._reported_at = now
        self._average.add(self._others, now)
        self.is_draining = load.draining
        if self._reported_total < self.slots:
            self._is_awaiting_capacity = False

    def open_session(self, *, session: str, slots: int) -> None:
        """Start or resume a session.

        Stop waiting for free capacity, since the agent may have lost the record of its refusal.
        """
        self.session = session
        self.slots = min(slots, self.endpoint.slots)
        self.is_linked = True
        self._is_awaiting_capacity = False

    def await_capacity(self) -> None:
        """Wait for the agent to report free capacity, after it refused a task as full."""
        self._is_awaiting_capacity = True

    def get_load(self, now: float) -> float:
        """Estimate the number of tasks at the worker, this entry's included."""
        age = now - self._reported_at
        average = self._average.get(now)
        fading: float = 0.5 ** (age / OTHERS_HALF_LIFE_S)
        return self.own + average + (self._others - average) * fading

    def get_free_capacity(self, *, now: float, queue_limit: int) -> int:
        """Return the estimated number of further tasks that the worker can accept."""
        if not self.is_usable or self._is_awaiting_capacity:
            return 0
        return math.floor(self.slots + queue_limit - self.get_load(now))


class WorkerPool:
    """The workers that this entry may use, indexed by service and labels."""

    def __init__(self) -> None:
        self._views: dict[str, WorkerView] = {}
        self._average = OtherEntriesAverage()
        self._index = LabelIndex(items=())
        self._candidates: dict[tuple[str, Selector, Selector], tuple[WorkerView, ...]] = {}
        self._slots: dict[tuple[str, Selector, Selector], tuple[float, int]] = {}

    def __iter__(self) -> Iterable[WorkerView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    def get(self, name: str) -> WorkerView | None:
        """Return the view of an endpoint by name, or None."""
        return self._views.get(name)

    def get_views(self) -> list[WorkerView]:
        """Return all views."""
        return list(self._views.values())

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Apply the endpoints of a new configuration; existing views keep their state.

        The view of an endpoint that is no longer declared stays, as leaving, while the endpoint
        holds tasks of this entry.
        """
        declared = {endpoint.name: endpoint for endpoint in endpoints}
        for name, view in list(self._views.items()):
            if name in declared:
                view.endpoint = declared[name]
                view.slots = declared[name].slots
            elif view.own:
                view.is_host_leaving = True
            else:
                del self._views[name]
        for name, endpoint in declared.items():
            if name not in self._views:
                self._views[name] = WorkerView(endpoint=endpoint, average=self._average)
        self._index = LabelIndex(
            items=((name, _get_all_labels(endpoint)) for name, endpoint in declared.items())
        )
        self._candidates.clear()
        self._slots.clear()

    def get_candidates(
        self, *, service: str, selectors: tuple[Selector, Selector]
    ) -> tuple[WorkerView, ...]:
        """Return the workers that serve a service and meet both selectors.

        The selectors are those of the service and of the caller. Results are cached until the
        configuration changes.
        """
        key = (service, *selectors)
        known = self._candidates.get(key)
        if known is None:
            serves = Requirement(key=SERVICE_LABEL + service, operator=Operator.EXISTS)
            requirements = (serves, *selectors[0].requirements, *selectors[1].requirements)
            names = self._index.get_matches(Selector(requirements=requirements))
            known = tuple(self._views[name] for name in names)
            self._candidates[key] = known
        return known

    def get_usable_slots(
        self, *, service: str, selectors: tuple[Selector, Selector], now: float
    ) -> int:
        """Return the slots of the usable candidates, from a cache that is refreshed when stale.

        Counting them for each job would be too slow with thousands of workers.
        """
        key = (service, *selectors)
        counted_at, slots = self._slots.get(key, (-math.inf, 0))
        if now - counted_at >= SLOT_COUNT_MAX_AGE_S:
            candidates = self.get_candidates(service=service, selectors=selectors)
            slots = sum(view.slots for view in candidates if view.is_usable)
            self._slots[key] = (now, slots)
        return slots


def _get_all_labels(endpoint: Endpoint) -> dict[str, str]:
    labels = dict(endpoint.labels)
    labels["worker"] = endpoint.worker
    labels["data-centre"] = endpoint.data_centre
    labels["endpoint"] = endpoint.name
    for service in endpoint.services:
        labels[SERVICE_LABEL + service] = "yes"
    return labels
