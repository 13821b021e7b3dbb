"""Which incarnation of a worker is running, where reports may arrive late or out of order.

A delayed report may name an earlier incarnation than the one now running at the same address. If it
were trusted, all runs of the current incarnation would count as ended: they would be placed again
while they still run, and the worker's capacity would be used twice.
"""

from __future__ import annotations

from dalemast.core.supervision.base import WorkerIncarnation

__all__ = ["WorkerIncarnations"]

MAX_ENDED = 256
"""Maximum number of ended incarnations remembered. Bounds the memory used if another process
reports under ever new ids."""


class WorkerIncarnations:
    """The current incarnation, one that claims its place, and those that have ended.

    Only an answer from the worker decides between two incarnations: a call addressed to one is
    answered by that one alone. Times are readings of the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._current: WorkerIncarnation | None = None
        self._claimant: WorkerIncarnation | None = None
        self._claimed_at = 0.0
        self._ended: dict[str, bool] = {}
        """By id of an ended incarnation, in order of ending, whether the worker's answers confirm
        the end. Otherwise the end was only reported."""
        self._unconfirmed: set[str] = set()
        """Ids of earlier incarnations, which have ended once the current one answers a call."""

    @property
    def current(self) -> WorkerIncarnation | None:
        """The incarnation that calls are addressed to."""
        return self._current

    @property
    def claimant(self) -> WorkerIncarnation | None:
        """Another incarnation that has reported, until an answer shows which one is running."""
        return self._claimant

    def register(self, incarnation: WorkerIncarnation, *, now: float) -> bool:
        """Apply a report; return whether it is from the incarnation that is now current."""
        if incarnation.id in self._ended:
            return False
        if self._current is None or self._current.id == incarnation.id:
            self._current = incarnation
            return True
        if self._claimant is None or self._claimant.id != incarnation.id:
            self._claimed_at = now
        self._claimant = incarnation
        return False

    def confirm(self, *, asked_at: float) -> None:
        """Record that the current incarnation answered a call that was sent at ``asked_at``."""
        if self._current is None:
            return
        self._unconfirmed.discard(self._current.id)
        for incarnation_id in self._unconfirmed:
            self._record_ended(incarnation_id, is_confirmed=True)
        self._unconfirmed.clear()
        if self._claimant is not None and asked_at > self._claimed_at:
            self._record_ended(self._claimant.id, is_confirmed=True)
            self._claimant = None

    def lose(self, *, is_over: bool, has_deregistered: bool = False) -> WorkerIncarnation | None:
        """Give up the current incarnation; return the claimant that takes its place, if any.

        ``is_over`` tells that an answer has confirmed its end, ``has_deregistered`` that its end
        was only reported.
        """
        if self._current is not None:
            if is_over or has_deregistered:
                self._record_ended(self._current.id, is_confirmed=is_over)
            else:
                self._unconfirmed.add(self._current.id)
        self._current = self._claimant
        self._claimant = None
        return self._current

    def mark_ended(self, incarnation_id: str) -> None:
        """Record the reported end of an incarnation that is not the current one."""
        self._record_ended(incarnation_id, is_confirmed=False)
        if self._claimant is not None and self._claimant.id == incarnation_id:
            self._claimant = None

    def restore(self, incarnation_id: str) -> bool:
        """Undo the end of an incarnation if it was only reported; return whether it was."""
        if self._ended.get(incarnation_id, True):
            return False
        del self._ended[incarnation_id]
        return True

    def _record_ended(self, incarnation_id: str, *, is_confirmed: bool) -> None:
        self._ended[incarnation_id] = is_confirmed or self._ended.get(incarnation_id, False)
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
