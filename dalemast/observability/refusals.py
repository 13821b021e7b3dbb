"""Count rejected input and log it at a limited rate."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from dalemast.observability.logs import log_error
from dalemast.observability.metrics import Metrics

__all__ = ["RefusalLog"]

REPEAT_INTERVAL_S = 300.0
"""Minimum time between two lines for the same writer and reason."""
LINES_PER_MINUTE = 20
"""Limit for all writers together, since a writer may use a new name each time."""
MAX_WRITERS = 256
"""Pairs of writer and reason that are kept in memory."""
MAX_TEXT_LENGTH = 200
"""Characters logged of a text from another process."""


class RefusalLog:
    """Logs refusals once per writer and reason, and counts them per reason."""

    def __init__(
        self, *, event: str, metrics: Metrics, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._event = event
        self._metrics = metrics
        self._clock = clock
        self._logged_at: dict[tuple[str, str], float] = {}
        self._repeats: dict[tuple[str, str], int] = {}
        """Refusals since the last line, per writer and reason."""
        self._recent: deque[float] = deque()
        self._unlogged = 0

    def note(self, *, writer: str, reason: str, detail: str, **fields: object) -> None:
        """Count a refusal, and log it unless its writer and reason were logged recently."""
        self._metrics.count(f"{self._event}.{reason}".replace(":", "."))
        now = self._clock()
        key = (writer[:MAX_TEXT_LENGTH], reason)
        last = self._logged_at.get(key)
        if last is not None and now - last < REPEAT_INTERVAL_S:
            self._repeats[key] = self._repeats.get(key, 0) + 1
            return
        if not self._is_below_line_limit(now):
            self._unlogged += 1
            return
        log_error(
            self._event,
            writer=key[0],
            reason=reason,
            detail=detail[:MAX_TEXT_LENGTH],
            repeats=self._repeats.pop(key, 0),
            unlogged=self._unlogged,
            **fields,
        )
        self._unlogged = 0
        self._record_line(key, now)

    def _is_below_line_limit(self, now: float) -> bool:
        while self._recent and now - self._recent[0] >= 60.0:
            self._recent.popleft()
        return len(self._recent) < LINES_PER_MINUTE

    def _record_line(self, key: tuple[str, str], now: float) -> None:
        self._recent.append(now)
        self._logged_at.pop(key, None)
        if len(self._logged_at) >= MAX_WRITERS:
            oldest = next(iter(self._logged_at))
            del self._logged_at[oldest]
            self._repeats.pop(oldest, None)
        self._logged_at[key] = now
