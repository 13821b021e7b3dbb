"""The size that the design is made for, and what follows from it and the measured slopes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from dalemast.bench.fit import Slope

__all__ = ["Model", "Row"]

WORKERS = 7700
STARTS_S = 310_000
TASKS_PER_JOB = 110
ACCOUNTS = 100
CHANGES_PER_DAY = 2800
DAY_S = 86_400
IN_FORCE_LIMIT_S = 15.0
CONTROL_CPU = 0.011
CONTROL_MEMORY = 256e6
CONTROL_BYTES_S = 2000.0
TABLE_READS_S = 2000.0
TABLE_WRITES_S = 500.0
WORKER_CONNECTIONS = 64
LINK_LIMIT = 48
ENTRY_UTILISATION = 0.6
TICKET_LIFE_S = 600.0
POLL_S = 1.0
PAYLOAD_BYTES = 24.0
RESTARTS_PER_DAY = 2000
SLOTS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One line of a role's table. ``limit`` is None where nothing bounds the figure."""

    what: str
    value: float
    unit: str
    arithmetic: str
    limit: float | None
    mechanism: str
    remedy: str = ""

    @property
    def verdict(self) -> str:
        """Say whether the figure fits, and by how much it does not."""
        if self.limit is None:
            return "no limit"
        if self.value <= self.limit:
            return "fits"
        return f"does not fit yet, {self.value / self.limit:.1f} times over: {self.remedy}"


class Model:
    """The arithmetic from slopes to the target."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._slopes = {slope.name: slope for slope in slopes}

    def get(self, name: str) -> Slope:
        """Return a slope by name."""
        return self._slopes[name]

    @property
    def jobs_s(self) -> float:
        """Jobs a second at the peak."""
        return STARTS_S / TASKS_PER_JOB

    @property
    def entry_job_s(self) -> float:
        """Processor seconds of an entry for one job of the largest size."""
        return self.get("entry.job").at(TASKS_PER_JOB) / 1000.0

    @property
    def entries(self) -> float:
        """Entry processes, one core each, at the utilisation that leaves room for bursts."""
        return self.jobs_s * self.entry_job_s / ENTRY_UTILISATION

    @property
    def links(self) -> float:
        """Links that a worker holds."""
        return min(self.entries, float(LINK_LIMIT))

    @property
    def view(self) -> float:
        """Workers that one entry is linked to."""
        return WORKERS * self.links / self.entries

    @property
    def starts_per_agent(self) -> float:
        """Starts a second at one agent."""
        return STARTS_S / WORKERS

    @property
    def config_bytes(self) -> float:
        """The bytes of the whole configuration."""
        return self.get("configuration.bytes").at(WORKERS)
