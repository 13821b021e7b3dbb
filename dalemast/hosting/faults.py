"""Faults that can be injected into the platform stand-in."""

from __future__ import annotations

import msgspec

__all__ = ["FaultControls"]


class FaultControls(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults and rate limits of the stand-in; a rate of 0 means no limit.

    ``is_down`` refuses every request. ``delay_s`` delays every response. ``is_losing_answers``
    performs writes but sends no response. ``host_lag_s`` is the age of the host list returned.
    """

    is_down: bool = False
    delay_s: float = 0.0
    is_losing_answers: bool = False
    host_lag_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
