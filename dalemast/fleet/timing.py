"""Timeouts that keep a task from running twice at the same time.

A caller that lost its connection resubmits its job after a while, to any entry. All runs that the
first entry started must have ended by then, even if that entry or an agent has crashed, is paused
or is disconnected. The worst case is the sum of the agent's owner timeout, counted from when the
owner's last message was sent, and the lease that the agent obtained at the end of that timeout.
It does not depend on any message being delivered; see docs/decisions/0011-bounds.md.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "MONOTONIC_CLOCK_DRIFT",
    "WORKER_CLOCK_ERROR",
    "WORKER_CLOCK_STRETCH",
    "FleetTimes",
]

MONOTONIC_CLOCK_DRIFT = 0.001
"""Maximum relative drift between the monotonic clocks of two hosts: each is slewed by at most half
of this to follow the time of day."""
WORKER_CLOCK_ERROR = 0.02
"""Maximum relative error of a worker's clock, as the platform states it."""
WORKER_CLOCK_STRETCH = 1.0 / (1.0 - WORKER_CLOCK_ERROR)
"""Factor by which a lease may last longer on the slowest worker clock."""

RESEND_SLACK_S = 0.05
"""Margin between the end of the last run and the earliest resubmission."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetTimes:
    """Timeouts and intervals in seconds.

    ``stop_s`` is the platform's limit on how long a stop takes.
    """

    owner_timeout_s: float = 0.45
    """An agent stops the runs of an owner that sent nothing for this long."""
    lease_s: float = 0.6
    """A worker stops its runs this long after the last renewal by its agent. Long enough that two
    unanswered polls in a row do not end the runs."""
    heartbeat_interval_s: float = 0.12
    """Maximum interval between messages on a link whose entry has runs on the worker."""
    idle_heartbeat_interval_s: float = 5.0
    """Maximum interval between messages on any other link. It is long to save processor time: at
    70 workers and 12 entries, a heartbeat a second on each link took most of a core. TCP keep-alive
    probes (dalemast/fleet/links) detect a lost peer in the meantime."""
    link_timeout_s: float = 0.45
    """A link whose entry has runs on the worker is reset after this time without a message."""
    idle_link_timeout_s: float = 12.0
    """Any other link is reset after this time without a message."""
    stop_s: float = 0.05
    margin_s: float = 0.06
    """Margin for timer delays and messages in flight."""

    @property
    def lost_run_s(self) -> float:
        """The longest time that a run may go on after its owner's last message."""
        lease_s = self.lease_s * WORKER_CLOCK_STRETCH
        return self.owner_timeout_s + lease_s + self.stop_s + self.margin_s

    @classmethod
    def fit(cls, *, resend_s: float, lease_max_s: float, stop_s: float) -> FleetTimes:
        """Return times such that lost runs end before a caller may resubmit."""
        defaults = cls(stop_s=stop_s)
        scaled_s = defaults.lost_run_s - defaults.stop_s - defaults.margin_s
        budget_s = resend_s - stop_s - defaults.margin_s - RESEND_SLACK_S
        share = min(1.0, budget_s / scaled_s)
        return cls(
            owner_timeout_s=defaults.owner_timeout_s * share,
            lease_s=min(defaults.lease_s * share, lease_max_s),
            link_timeout_s=defaults.link_timeout_s * share,
            heartbeat_interval_s=defaults.heartbeat_interval_s * share,
            stop_s=stop_s,
        )
