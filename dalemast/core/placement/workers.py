"""What one entry knows of the workers."""

from __future__ import annotations

import math
from collections.abc import Iterable

from dalemast.core.configuration import Endpoint, EndpointState
from dalemast.core.selectors import LabelIndex, Requirement, Selector
from dalemast.core.selectors.base import Operator
from dalemast.core.wire import Load

__all__ = ["WorkerPool", "WorkerView"]

OTHERS_HALF_LIFE_S = 0.25
"""After this many seconds half of what a report said of others is taken as overtaken."""

AVERAGE_HALF_LIFE_S = 0.5
AVERAGE_STEP = 0.05
"""Weight of one report in the average of others' load."""

SLOT_COUNT_MAX_AGE_S = 0.25
"""For how long a count of usable slots is good enough for a forecast, in seconds."""

SERVICE_LABEL = "dalemast/service."


class OtherEntriesAverage:
    """How many tasks other entries have on a worker, on average over recent reports.

    Without reports the average fades: an entry that hears nothing has to try.
    """

    def __init__(self) -> None:
        self._value = 0.0
        self._at = -math.inf

    def add(self, others: int, now: float) -> None:
        """Take what one report said."""
        current = self.get(now)
        self._value = current + AVERAGE_STEP * (others - current)
        self._at = now

    def get(self, now: float) -> float:
        """Return the average."""
        if not self._value:
            return 0.0
        return float(self._value * 0.5 ** ((now - self._at) / AVERAGE_HALF_LIFE_S))


class WorkerView:
    """One endpoint as this entry sees it.

    The entry's own tasks are counted exactly. What other entries have there is known from the last
    frame, and with its age turns into what they have on average. A wrong guess costs one refusal,
    which brings a fresh report; an agent that refused a task tells when it has room, so until then
    there is no more guessing.
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
        """All tasks at the worker when it last reported, however long ago."""
        return self._reported_total

    @property
    def is_usable(self) -> bool:
        """Whether new work may go there at all."""
        if not self.is_linked or self.is_draining or self.is_host_leaving:
            return False
        return self.endpoint.state is EndpointState.LIVE

    def handle_report(self, *, load: Load, now: float) -> None:
        """Take a load report of the agent."""
        self._reported_total = load.running + load.queued
        self._others = max(0, self._reported_total - load.yours)
        self._reported_at = now
        self._average.add(self._others, now)
        self.is_draining = load.draining
        if self._reported_total < self.slots:
            self._is_awaiting_capacity = False

    def open_session(self, *, session: str, slots: int) -> None:
        """Begin with an agent that may have forgotten what it would tell."""
        self.session = session
        self.slots = min(slots, self.endpoint.slots)
        self.is_linked = True
        self._is_awaiting_capacity = False

    def await_capacity(self) -> None:
        """Note that the agent refused a task for want of room and will tell when there is some."""
        self._is_awaiting_capacity = True

    def get_load(self, now: float) -> float:
        """Estimate how many tasks are there, this entry's included."""
        age = now - self._reported_at
        average = self._average.get(now)
        fading: float = 0.5 ** (age / OTHERS_HALF_LIFE_S)
        return self.own + average + (self._others - average) * fading

    def get_free_capacity(self, *, now: float, queue_limit: int) -> int:
        """Return how many more tasks the worker is believed to take."""
        if not self.is_usable or self._is_awaiting_capacity:
            return 0
        return math.floor(self.slots + queue_limit - self.get_load(now))


class WorkerPool:
    """All workers that this entry may use, found by service and selector."""

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
        """Return a worker's view by the endpoint's name."""
        return self._views.get(name)

    def get_views(self) -> list[WorkerView]:
        """Return all views."""
        return list(self._views.values())

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Take the endpoints of a new configuration; known views keep what they know.

        A view that is no longer declared stays, as leaving, while it holds tasks of this entry.
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

        The selectors are the service's own and the caller's. The result is kept until the
        configuration changes, so a job costs one look-up.
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
        """Return the slots of the usable candidates, counted anew only now and then.

        The count serves forecasts, and walking over thousands of views for each job would cost
        more than the job.
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
