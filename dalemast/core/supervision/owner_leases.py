"""Until when the owners of runs keep them alive, by their words."""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.supervision.runs import Run

__all__ = ["OwnerLeases"]


class OwnerLeases:
    """The latest word of each owner. Times are the agent's steady clock, in seconds.

    ``timeout_s`` is for how long a word counts from when it was said.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._kept_until: dict[str, float] = {}

    def renew(self, owner: str, *, sent_at: float) -> None:
        """Note that an owner keeps its runs alive, but for those that were told to stop."""
        kept_until = sent_at + self._timeout_s
        self._kept_until[owner] = max(kept_until, self._kept_until.get(owner, kept_until))

    def is_expired(self, sent_at: float, *, now: float) -> bool:
        """Tell whether a word that was said then counts no longer."""
        return now - sent_at > self._timeout_s

    def get_expiry(self, run: Run) -> float:
        """Return until when a run's owner keeps it alive."""
        if run.kept_until is not None:
            return run.kept_until
        return self._kept_until.get(run.request.owner, float("-inf"))

    def get_first_expiry(self, runs: Iterable[Run]) -> float:
        """Return until when the owners of all these runs keep them alive."""
        return min(map(self.get_expiry, runs), default=float("inf"))
