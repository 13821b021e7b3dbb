"""Placement: the choice of an endpoint for each task."""

from dalemast.core.placement.base import Allotment, BasePlacement
from dalemast.core.placement.choices import (
    PackingPlacement,
    RandomPlacement,
    RoundRobinPlacement,
    SpreadingPlacement,
    StaleShortestQueuePlacement,
    get_placement,
)
from dalemast.core.placement.health import (
    AccountHealth,
    HealthMonitor,
    ServiceObservations,
    WorkerStanding,
)
from dalemast.core.placement.workers import WorkerPool, WorkerView

__all__ = [
    "AccountHealth",
    "Allotment",
    "BasePlacement",
    "HealthMonitor",
    "PackingPlacement",
    "RandomPlacement",
    "RoundRobinPlacement",
    "ServiceObservations",
    "SpreadingPlacement",
    "StaleShortestQueuePlacement",
    "WorkerPool",
    "WorkerStanding",
    "WorkerView",
    "get_placement",
]
