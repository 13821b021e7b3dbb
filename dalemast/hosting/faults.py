"""Faults that the stand-in can be told to show."""

from __future__ import annotations

import msgspec

__all__ = ["FaultControls"]


class FaultControls(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the stand-in does wrong now. Times are seconds, rates a second; 0 sets no limit.

    ``is_down`` refuses everything. ``delay_s`` delays each answer. ``is_losing_answers`` performs
    writes and then gives no answer. ``host_lag_s`` shows the host list as it was that long ago.
    """

    is_down: bool = False
    delay_s: float = 0.0
    is_losing_answers: bool = False
    host_lag_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
