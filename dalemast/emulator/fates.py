"""What becomes of calls to an emulated worker: done or not, at once or late, answered or not."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

__all__ = ["ALL_SERVED", "CallFates", "CallKind", "CallRecord", "Fate"]


class CallKind(enum.Enum):
    """What a call asks for."""

    START = "start"
    STOP = "stop"
    LOOK = "look"


class Fate(enum.Enum):
    """What becomes of one call."""

    SERVED = "served"
    """Done and answered at once."""
    ANSWERED_LATE = "answered-late"
    """Done at once, answered late."""
    UNANSWERED = "unanswered"
    """Done at once, never answered."""
    DONE_LATE = "done-late"
    """Done late, perhaps after newer calls, and never answered."""
    LOST = "lost"
    """Neither done nor answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFates:
    """The share of calls that meets each fate; what is left of 1 is served."""

    answered_late: float = 0.0
    unanswered: float = 0.0
    done_late: float = 0.0
    lost: float = 0.0

    def draw(self, rng: random.Random) -> Fate:
        """Draw the fate of one call."""
        shares = {
            Fate.ANSWERED_LATE: self.answered_late,
            Fate.UNANSWERED: self.unanswered,
            Fate.DONE_LATE: self.done_late,
            Fate.LOST: self.lost,
        }
        drawn = rng.random()
        for fate, share in shares.items():
            drawn -= share
            if drawn < 0:
                return fate
        return Fate.SERVED


ALL_SERVED = CallFates()
"""Every call is done and answered at once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRecord:
    """One call, when it arrives and again when it was carried out.

    ``reason`` is None on arrival; then it is why the worker did not do what it was told, or empty.
    """

    kind: CallKind
    task: str = ""
    run: int = 0
    fate: Fate = Fate.SERVED
    reason: str | None = None
