"""Reasons why a worker accepts no starts, besides the failures that its health counts."""

from __future__ import annotations

from dalemast.core.supervision.base import WorkerIncarnation

__all__ = ["Acceptance"]


class Acceptance:
    """The conditions that prevent new starts. None of them stops a run."""

    def __init__(self) -> None:
        self.is_draining = False
        """Whether the agent is about to stop."""
        self.is_ending = False
        """Whether the worker has deregistered: no starts and no lease renewals from then on."""
        self.is_unresponsive = False
        """Whether the worker's last poll was unanswered, so that a start would be lost too."""
        self.evacuated: frozenset[str] = frozenset()
        """Data centres in which nothing may be started. Owners check this as well, but an owner
        may not have received the latest evacuations."""

    def allows(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether starts on this incarnation of the worker are allowed."""
        if self.is_draining or self.is_ending or self.is_unresponsive or incarnation.is_leaving:
            return False
        return incarnation.data_centre not in self.evacuated
