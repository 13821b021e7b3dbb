"""The platform's store, callers and reports as the modelled processes see them."""

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
"""By priority."""


class ModelStore(BaseMemberStore):
    """One configuration, and no list of entries: all are among the seeds."""

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
    """Callers speak to the process itself."""

    def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    @property
    def open_connections(self) -> int:
        """No connection is kept."""
        return 0

    def close_idle(self) -> int:
        """Close nothing."""
        return 0


class ModelRegistration(BaseRegistration):
    """Leaves its observer where the worker's reports find it."""

    observers: dict[str, Any] = {}
    """Who takes reports, by the agent's name; of the newest life."""

    def __init__(self, *, settings: Any, observer: Any, metrics: Metrics) -> None:
        super().__init__(settings=settings, observer=observer, metrics=metrics)
        self.observers[settings.name] = observer

    def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""
