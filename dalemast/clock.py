"""A monotonic clock that includes the time during which the host is suspended."""

from __future__ import annotations

import time

__all__ = ["monotonic"]


def monotonic() -> float:
    """Return the clock in seconds; only differences between two values are meaningful.

    :func:`time.monotonic` stops while a host is suspended. Leases, claims and timeouts of other
    processes expire meanwhile, and a resumed process has to notice that.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
