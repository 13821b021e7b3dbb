"""The report of a soak run."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Report:
    """Counts and findings of a run. ``broken`` has a line for each violated guarantee."""

    seed: int
    jobs: int = 0
    succeeded: int = 0
    refused: int = 0
    hung_up: int = 0
    cancelled: int = 0
    """Number of jobs whose cancellation was acknowledged."""
    crashes: int = 0
    """Number of workers that were crashed by a task."""
    preempted: int = 0
    """Number of preempted runs."""
    refused_jobs: set[str] = field(default_factory=set)
    """Jobs that must never run, since every attempt of their caller was refused."""
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        head = f"seed {self.seed}: {self.jobs} jobs, {self.succeeded} succeeded, "
        head += f"{self.refused} refused, {self.hung_up} left, {len(self.faults)} faults"
        head += f", {self.cancelled} cancelled" if self.cancelled else ""
        head += f", {self.crashes} crashes" if self.crashes else ""
        head += f", {self.preempted} preempted" if self.preempted else ""
        return "\n".join([head, *(f"  BROKEN {line}" for line in self.broken)])
