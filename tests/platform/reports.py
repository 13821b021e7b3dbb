"""Helpers for tests of worker reports: a complete report, and an observer."""

from __future__ import annotations

from typing import Any

from dalemast.core.supervision import WorkerIncarnation
from dalemast.settings import (
    AddressSettings,
    FleetAgentSettings,
    ListenerSettings,
)

ADDRESS = "10.1.0.14:8165"
DATA_CENTRE = "austin"
WORKER_ID = "i-7f3a91c2"
REQUIRED = (
    "service",
    "addr",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "seq",
    "capacity",
    "labels",
)
"""Fields that every report must have."""


class Observer:
    """Records the calls of a registration, in order."""

    def __init__(self) -> None:
        self.incarnations: list[WorkerIncarnation] = []
        self.lost: list[str] = []
        self.restored: list[str] = []

    def register_incarnation(self, incarnation: WorkerIncarnation) -> None:
        """Record a report."""
        self.incarnations.append(incarnation)

    def lose_incarnation(self, incarnation_id: str) -> None:
        """Record a deregistration."""
        self.lost.append(incarnation_id)

    def restore_incarnation(self, incarnation_id: str) -> None:
        """Record that an earlier deregistration or report proved foreign."""
        self.restored.append(incarnation_id)


def make_settings(registration: str = "10.1.0.14:8166") -> FleetAgentSettings:
    """Return the settings of an agent whose worker listens at :data:`ADDRESS`."""
    return FleetAgentSettings(
        name="side-austin-1",
        data_centre=DATA_CENTRE,
        metrics=ListenerSettings(address="10.1.0.14:9100"),
        store=AddressSettings(address="10.200.1.7:8169"),
        registration=ListenerSettings(address=registration),
        worker=AddressSettings(address=ADDRESS),
    )


def make_report(**fields: Any) -> dict[str, Any]:
    """Return a complete report, in which ``fields`` replace the defaults."""
    return {
        "service": "floor",
        "addr": ADDRESS,
        "zone": DATA_CENTRE,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "seq": 4,
        **fields,
    }
