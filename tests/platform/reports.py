"""What tests of a worker's reports share: a full report, and who hears of it."""

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
LIFE = "i-7f3a91c2"
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
"""Fields that the platform's pages give every worker."""


class Observer:
    """Notes what a registration tells, in order."""

    def __init__(self) -> None:
        self.lives: list[WorkerIncarnation] = []
        self.lost: list[str] = []
        self.restored: list[str] = []

    def register_incarnation(self, life: WorkerIncarnation) -> None:
        """Note an account."""
        self.lives.append(life)

    def lose_incarnation(self, life_id: str) -> None:
        """Note an end."""
        self.lost.append(life_id)

    def restore_incarnation(self, life_id: str) -> None:
        """Note that a life was another writer's to end."""
        self.restored.append(life_id)


def make_settings(registration: str = "10.1.0.14:8166") -> FleetAgentSettings:
    """Return the settings of an agent whose worker takes calls at :data:`ADDRESS`."""
    return FleetAgentSettings(
        name="side-austin-1",
        data_centre=DATA_CENTRE,
        metrics=ListenerSettings(address="10.1.0.14:9100"),
        store=AddressSettings(address="10.200.1.7:8169"),
        registration=ListenerSettings(address=registration),
        worker=AddressSettings(address=ADDRESS),
    )


def make_report(**fields: Any) -> dict[str, Any]:
    """Return a report with every field that a worker sends, some of which may be given."""
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
