"""Backends of the modelled processes: store, ingress and registration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from dalemast.core.workloads import Queue
from dalemast.fleet.base import (
    BaseIngress,
    BaseMemberStore,
    BaseRegistration,
    Configuration,
    DeclarationObserver,
    Member,
)
from dalemast.observability import Metrics
from tests.histories.worker import SERVICE

__all__ = ["QUEUES", "ModelIngress", "ModelRegistration", "ModelStore"]

QUEUES = tuple(
    Queue(
        name=name,
        host=f"{name}.example",
        prefix="/",
        service=SERVICE,
        priority=priority,
        attempts=2,
        stretch=1.6,
        slack_s=0.5,
    )
    for priority, name in enumerate(("draws", "less-urgent"))
)
"""The queues, indexed by priority."""


class ModelStore(BaseMemberStore):
    """A store with one configuration and no members: all entries are configured as seeds."""

    def __init__(self, *, settings: Any, metrics: Metrics) -> None:
        del metrics
        self._settings = settings

    async def announce(self, member: Member) -> None:
        """Do nothing."""

    async def list_members(self) -> list[Member]:
        """Return nothing."""
        return []

    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Report the configuration."""
        observer.handle_configuration(Configuration(version=1, queues=QUEUES))
        await asyncio.get_running_loop().create_future()

    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Report nothing."""
        await asyncio.get_running_loop().create_future()


class ModelIngress(BaseIngress):
    """An ingress without listeners: modelled callers call the process directly."""

    def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    @property
    def open_connections(self) -> int:
        """Always 0, since there are no connections."""
        return 0

    def close_idle(self) -> int:
        """Close nothing."""
        return 0


class ModelRegistration(BaseRegistration):
    """Makes its observer available to the reports of the modelled worker."""

    observers: dict[str, Any] = {}
    """Observers of reports by agent name, each of the latest incarnation."""

    def __init__(self, *, settings: Any, observer: Any, metrics: Metrics) -> None:
        super().__init__(settings=settings, observer=observer, metrics=metrics)
        self.observers[settings.name] = observer

    def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""
