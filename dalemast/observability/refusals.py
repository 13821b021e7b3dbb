"""Counts what is not used, with a bounded number of lines in the log."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from dalemast.observability.logs import log_error
from dalemast.observability.metrics import Metrics

__all__ = ["RefusalLog"]

REPEAT_S = 300.0
"""Pause between two lines on one writer and reason: a dashboard's five minutes."""
LINES_PER_MINUTE = 20
"""Lines on all writers together; a writer may take another name each time."""
MAX_WRITERS = 256
"""Writers with a reason that are remembered."""
MAX_TEXT = 200
"""Characters of a text that somebody else wrote."""


class RefusalLog:
    """One line for each writer and reason, and a counter for each reason."""

    def __init__(
        self, *, event: str, metrics: Metrics, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._event = event
        self._metrics = metrics
        self._clock = clock
        self._logged_at: dict[tuple[str, str], float] = {}
        self._since: dict[tuple[str, str], int] = {}
        """How often each was noted since its last line."""
        self._recent: deque[float] = deque()
        self._unlogged = 0

    def note(self, *, writer: str, reason: str, detail: str, **fields: object) -> None:
        """Count a refusal, and log it unless its writer and reason were logged lately."""
        self._metrics.count(f"{self._event}.{reason}".replace(":", "."))
        now = self._clock()
        key = (writer[:MAX_TEXT], reason)
        last = self._logged_at.get(key)
        if last is not None and now - last < REPEAT_S:
            self._since[key] = self._since.get(key, 0) + 1
            return
        if not self._may_log(now):
            self._unlogged += 1
            return
        log_error(
            self._event,
            writer=key[0],
            reason=reason,
            detail=detail[:MAX_TEXT],
            repeats=self._since.pop(key, 0),
            unlogged=self._unlogged,
            **fields,
        )
        self._unlogged = 0
        self._remember(key, now)

    def _may_log(self, now: float) -> bool:
        while self._recent and now - self._recent[0] >= 60.0:
            self._recent.popleft()
        return len(self._recent) < LINES_PER_MINUTE

    def _remember(self, key: tuple[str, str], now: float) -> None:
        self._recent.append(now)
        self._logged_at.pop(key, None)
        if len(self._logged_at) >= MAX_WRITERS:
            oldest = next(iter(self._logged_at))
            del self._logged_at[oldest]
            self._since.pop(oldest, None)
        self._logged_at[key] = now
