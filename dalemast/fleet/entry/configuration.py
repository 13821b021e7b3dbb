"""The configuration in force at an entry. Its version never decreases within an incarnation."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.workloads import QueuesUnknown, QueueTable
from dalemast.fleet.base import Configuration
from dalemast.observability import log_event

__all__ = ["ConfigurationInForce"]


class ConfigurationInForce:
    """Holds the newest configuration, whatever its source."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._table: QueueTable | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The newest configuration, or None before the first one."""
        return self._current

    @property
    def table(self) -> QueueTable:
        """The queue table. Raises :class:`QueuesUnknown` before the first configuration."""
        if self._table is None:
            raise QueuesUnknown("no configuration has reached this entry yet", retry_after_s=0.5)
        return self._table

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        """Register a function to be called with each new configuration."""
        self._listeners.append(listener)

    def offer(self, configuration: Configuration, *, source: str) -> None:
        """Put a configuration in force if it is newer than the current one."""
        known = -1 if self._current is None else self._current.version
        if configuration.version <= known:
            return
        self._current = configuration
        self._table = QueueTable(version=configuration.version, queues=configuration.queues)
        log_event(
            "configuration:in-force",
            version=configuration.version,
            before=known,
            source=source,
            queues=len(configuration.queues),
        )
        for listener in self._listeners:
            listener(configuration)
