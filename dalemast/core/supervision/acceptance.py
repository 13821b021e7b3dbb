"""Why a worker that is there takes no starts, beside the failures that its health counts."""

from __future__ import annotations

from dalemast.core.supervision.base import WorkerIncarnation

__all__ = ["Acceptance"]


class Acceptance:
    """What stands against starts. None of it stops what runs."""

    def __init__(self) -> None:
        self.is_draining = False
        """Whether the agent is about to stop."""
        self.is_ending = False
        """Whether the worker has said that it ends: nothing new, and no lease, for what is left."""
        self.is_silent = False
        """Whether the worker's last look stayed unanswered: a start would be lost with it."""
        self.evacuated: frozenset[str] = frozenset()
        """Data centres in which nothing may be started. Owners know too, but one of them may not
        have heard yet."""

    def allows(self, incarnation: WorkerIncarnation) -> bool:
        """Tell whether nothing stands against starts on this life of the worker."""
        if self.is_draining or self.is_ending or self.is_silent or incarnation.is_leaving:
            return False
        return incarnation.data_centre not in self.evacuated
