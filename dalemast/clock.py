"""The steady clock of this host, which also counts the time for which the host was suspended."""

from __future__ import annotations

import time

__all__ = ["monotonic"]


def monotonic() -> float:
    """Return the clock in seconds; only differences mean something.

    :func:`time.monotonic` stands still while a host is suspended. Leases, claims and the patience
    of other processes lapse meanwhile, and a process that goes on has to find that out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
