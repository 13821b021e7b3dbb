"""Which life of a worker is there, when reports may arrive after their sender has crashed.

A report that was held up on its way may name a life that another one has followed at the same
address. Taken at its word, it would end all runs of the life that is really there: they would be
placed again while they go on, and the worker's room would be given out twice.
"""

from __future__ import annotations

from dalemast.core.supervision.base import WorkerIncarnation

__all__ = ["WorkerIncarnations"]

MAX_OVER = 256
"""Lives that are over and remembered. A worker has few within one life of its agent, but another
writer may report under ids without end."""


class WorkerIncarnations:
    """The life that is believed to be there, one that claims its place, and those that are over.

    Only the worker tells which of two lives is there: a call addressed to a life is answered by
    that life alone. Times are the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._current: WorkerIncarnation | None = None
        self._claimant: WorkerIncarnation | None = None
        self._claimed_at = 0.0
        self._over: dict[str, bool] = {}
        """Lives that never come back, the one that ended last at the end, each with whether that is
        proved by the worker itself; of the others it was only said."""
        self._unproved: set[str] = set()
        """Lives met before the current one; they are over once it has answered a call."""

    @property
    def current(self) -> WorkerIncarnation | None:
        """The life that calls are addressed to."""
        return self._current

    @property
    def claimant(self) -> WorkerIncarnation | None:
        """Another life that has reported, until the worker shows which one is there."""
        return self._claimant

    def meet(self, incarnation: WorkerIncarnation, *, now: float) -> bool:
        """Take in a report; return whether it is the current life's, or has become it."""
        if incarnation.id in self._over:
            return False
        if self._current is None or self._current.id == incarnation.id:
            self._current = incarnation
            return True
        if self._claimant is None or self._claimant.id != incarnation.id:
            self._claimed_at = now
        self._claimant = incarnation
        return False

    def confirm(self, *, asked_at: float) -> None:
        """Note that the current life answered a call that was made at ``asked_at``."""
        if self._current is None:
            return
        self._unproved.discard(self._current.id)
        for life_id in self._unproved:
            self._note_over(life_id, is_proved=True)
        self._unproved.clear()
        if self._claimant is not None and asked_at > self._claimed_at:
            self._note_over(self._claimant.id, is_proved=True)
            self._claimant = None

    def lose(self, *, is_over: bool, has_said_so: bool = False) -> WorkerIncarnation | None:
        """Give the current life up; return the claimant that has taken its place, if any.

        ``is_over`` is what the worker has shown, ``has_said_so`` what was said in its name.
        """
        if self._current is not None:
            if is_over or has_said_so:
                self._note_over(self._current.id, is_proved=is_over)
            else:
                self._unproved.add(self._current.id)
        self._current = self._claimant
        self._claimant = None
        return self._current

    def bar(self, life_id: str) -> None:
        """Note that a life has said that it is over which is not the current one."""
        self._note_over(life_id, is_proved=False)
        if self._claimant is not None and self._claimant.id == life_id:
            self._claimant = None

    def restore(self, life_id: str) -> bool:
        """Let a life come back that was only said to be over; return whether it was."""
        if self._over.get(life_id, True):
            return False
        del self._over[life_id]
        return True

    def _note_over(self, life_id: str, *, is_proved: bool) -> None:
        self._over[life_id] = is_proved or self._over.get(life_id, False)
        if len(self._over) > MAX_OVER:
            del self._over[next(iter(self._over))]
