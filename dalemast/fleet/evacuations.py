"""The evacuations in force at one process of the fleet, as it hears of them and passes them on."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.evacuations import Evacuations, EvacuationView
from dalemast.fleet.frames import EvacuationUpdate
from dalemast.observability import Metrics, log_event

__all__ = ["EVACUATION_CHANGES", "EvacuationsInForce"]

EVACUATION_CHANGES = "evacuations.changed"
"""Counter of the times that the data centres to be spared changed here."""

Listener = Callable[[Evacuations], None]


class EvacuationsInForce:
    """Holds the newest report, whoever brought it, and tells listeners of changes."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._view = EvacuationView()
        self._listeners: list[Listener] = []

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres that are evacuated."""
        return self._view.data_centres

    def on_change(self, listener: Listener) -> None:
        """Call a function with each report that changes what is evacuated, in order of adding."""
        self._listeners.append(listener)

    def offer(self, offered: Evacuations, *, source: str) -> None:
        """Take a report if it is newer than what is known."""
        before = self._view.current
        if not self._view.offer(offered):
            return
        self._metrics.count(EVACUATION_CHANGES)
        log_event(
            "evacuations:in-force",
            version=offered.version,
            data_centres=sorted(offered.data_centres),
            before=None if before is None else before.version,
            source=source,
        )
        for listener in self._listeners:
            listener(offered)

    def handle_update(self, news: EvacuationUpdate, *, source: str) -> EvacuationUpdate | None:
        """Take in another process's report; return what it should hear if that is out of date."""
        offered = Evacuations(version=news.version, data_centres=frozenset(news.data_centres))
        if self._view.contradicts(offered):
            return self.make_update()
        self.offer(offered, source=source)
        return None

    def make_update(self) -> EvacuationUpdate | None:
        """Return what another process should hear, or None while nothing is known."""
        current = self._view.current
        if current is None:
            return None
        return EvacuationUpdate(
            version=current.version, data_centres=tuple(sorted(current.data_centres))
        )
