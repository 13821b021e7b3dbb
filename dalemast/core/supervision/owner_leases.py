"""Until when the owners of runs keep them alive."""

from __future__ import annotations

from collections.abc import Iterable

from dalemast.core.supervision.runs import Run

__all__ = ["OwnerLeases"]


class OwnerLeases:
    """The expiry of each owner's runs, renewed by its messages.

    A message keeps an owner's runs alive for ``timeout_s`` from the time at which it was sent.
    Times are readings of the agent's steady clock, in seconds.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._expires_at: dict[str, float] = {}

    def renew(self, owner: str, *, sent_at: float) -> None:
        """Extend the expiry of an owner's runs, except for runs that were told to stop."""
        expires_at = sent_at + self._timeout_s
        self._expires_at[owner] = max(expires_at, self._expires_at.get(owner, expires_at))

    def is_expired(self, sent_at: float, *, now: float) -> bool:
        """Return whether a message sent at ``sent_at`` no longer keeps runs alive."""
        return now - sent_at > self._timeout_s

    def get_expiry(self, run: Run) -> float:
        """Return until when the run is kept alive."""
        if run.kept_alive_until is not None:
            return run.kept_alive_until
        return self._expires_at.get(run.request.owner, float("-inf"))

    def get_first_expiry(self, runs: Iterable[Run]) -> float:
        """Return the earliest expiry of these runs; infinity without any."""
        return min(map(self.get_expiry, runs), default=float("inf"))
