"""Repeats a claim on a job's id while another entry holds the id, or can't be asked."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from dalemast import clock
from dalemast.core.ownership import Cancelled, Granted, Held, Withheld

__all__ = ["THIS_ENTRY", "ClaimResult", "ClaimRetries"]

THIS_ENTRY = "this entry"
"""Stands in logs for the entry itself as the owner of an id."""

ClaimResult = Granted | Held | Withheld | Cancelled


class ClaimRetries:
    """Repeats claims of one entry.

    ``check_pause`` detects a pause of this process, starts the recovery from it, and returns
    whether there was one.
    """

    def __init__(self, *, check_pause: Callable[[], bool]) -> None:
        self._check_pause = check_pause
        self._pause_count = 0

    def note_pause(self) -> None:
        """Record a pause of this process, after which the responses in flight are outdated."""
        self._pause_count += 1

    async def repeat(
        self,
        claim: Callable[[], Awaitable[ClaimResult]],
        *,
        pauses_s: Iterator[float],
        deadline: float,
        is_blocked: Callable[[], bool] = lambda: False,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> ClaimResult:
        """Claim until this is decided, the deadline has passed, or it is no longer wanted.

        Return the last result. While ``is_blocked`` is true, a job of this entry holds the id, and
        nothing is claimed.
        """
        result: ClaimResult = Held(owner=THIS_ENTRY, free_at=None)
        while True:
            if not is_blocked():
                pause_count = self._pause_count
                result = await claim()
                if self._check_pause() or pause_count != self._pause_count:
                    # The claim may have lapsed during the pause, so the grant may be outdated.
                    continue
                if is_decided(result, deadline):
                    return result
            if clock.monotonic() > deadline or not is_wanted():
                return result
            await asyncio.sleep(next(pauses_s))


def is_decided(result: ClaimResult, deadline: float) -> bool:
    """Return whether the result of a claim can't change before its deadline."""
    match result:
        case Granted() | Cancelled():
            return True
        case Withheld():
            return result.until is None or result.until > deadline
        case _:
            return False
