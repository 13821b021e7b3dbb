"""The evacuations in force at one process of the fleet."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.evacuations import Evacuations, EvacuationView
from dalemast.fleet.frames import EvacuationUpdate
from dalemast.observability import Metrics, log_event

__all__ = ["EVACUATION_CHANGES", "EvacuationsInForce"]

EVACUATION_CHANGES = "evacuations.changed"
"""Counter of changes of the set of evacuated data centres."""

Listener = Callable[[Evacuations], None]


class EvacuationsInForce:
    """Holds the newest report from any source and notifies listeners of changes."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._view = EvacuationView()
        self._listeners: list[Listener] = []

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._view.data_centres

    def on_change(self, listener: Listener) -> None:
        """Call the listener, in order of registration, with each report that changes the set."""
        self._listeners.append(listener)

    def offer(self, offered: Evacuations, *, source: str) -> None:
        """Apply a report if it is newer than the current one."""
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

    def handle_update(self, update: EvacuationUpdate, *, source: str) -> EvacuationUpdate | None:
        """Apply an update of another process; return the update to send it if its is outdated."""
        offered = Evacuations(version=update.version, data_centres=frozenset(update.data_centres))
        if self._view.contradicts(offered):
            return self.make_update()
        self.offer(offered, source=source)
        return None

    def make_update(self) -> EvacuationUpdate | None:
        """Return the current state as a message, or None while it is unknown."""
        current = self._view.current
        if current is None:
            return None
        return EvacuationUpdate(
            version=current.version, data_centres=tuple(sorted(current.data_centres))
        )
