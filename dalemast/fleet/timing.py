"""The times on which "one run at a time" rests, and the chain between them.

A caller that lost its connection sends its job again after a while, to any entry. Whatever the
first entry started must have ended by then, also when that entry or an agent is dead, frozen or cut
off. The longest chain: the owner's last word, as of when it was said, the agent's patience with a
silent owner, and the lease that the agent asked its worker for at the end of that patience. No link
of it rests on a message that arrives: docs/decisions/0011-bounds.md has the table.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "STEADY_CLOCK_DRIFT",
    "WORKER_CLOCK_ERROR",
    "WORKER_CLOCK_STRETCH",
    "FleetTimes",
]

STEADY_CLOCK_DRIFT = 0.001
"""Share by which the steady clocks of two hosts may go differently: systems slew each by 0.0005 at
the most to keep the time of day."""
WORKER_CLOCK_ERROR = 0.02
"""A worker's clock may be slow by this share; from the platform."""
WORKER_CLOCK_STRETCH = 1.0 / (1.0 - WORKER_CLOCK_ERROR)
"""How many times as long a lease lasts on the slowest clock."""

RESEND_SLACK_S = 0.05
"""What is left between the end of the chain and the soonest new submission."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetTimes:
    """Times in seconds. ``stop_s`` is the platform's bound on a stop."""

    owner_timeout_s: float = 0.45
    """An agent stops the runs of an owner that is silent for this long: three beats and some."""
    lease_s: float = 0.6
    """A worker drops everything this long after the last word from its agent: two unanswered
    looks in a row and a third try fit in."""
    heartbeat_interval_s: float = 0.12
    """Pause between messages on a link that carries runs."""
    idle_heartbeat_interval_s: float = 5.0
    """Pause between messages on a link that carries none. The kernel's probes watch it meanwhile
    (dalemast/fleet/links): at 70 workers and 12 entries a beat a second on each idle link took
    most of a core."""
    link_timeout_s: float = 0.45
    """A link that carries runs is given up after this silence."""
    idle_link_timeout_s: float = 12.0
    """A link that carries none is given up after this silence."""
    stop_s: float = 0.05
    margin_s: float = 0.06
    """For wake-ups and messages in flight."""

    @property
    def lost_run_s(self) -> float:
        """Return how long after its owner's last word a run may still be going."""
        lease_s = self.lease_s * WORKER_CLOCK_STRETCH
        return self.owner_timeout_s + lease_s + self.stop_s + self.margin_s

    @classmethod
    def fit(cls, *, resend_s: float, lease_max_s: float, stop_s: float) -> FleetTimes:
        """Return times whose chain ends before a caller may submit again."""
        usual = cls(stop_s=stop_s)
        chain_s = usual.lost_run_s - usual.stop_s - usual.margin_s
        budget_s = resend_s - stop_s - usual.margin_s - RESEND_SLACK_S
        share = min(1.0, budget_s / chain_s)
        return cls(
            owner_timeout_s=usual.owner_timeout_s * share,
            lease_s=min(usual.lease_s * share, lease_max_s),
            link_timeout_s=usual.link_timeout_s * share,
            heartbeat_interval_s=usual.heartbeat_interval_s * share,
            stop_s=stop_s,
        )
