"""How an agent polls its worker: how long polls wait, and how lost answers are handled.

Two failures are told apart. An unresponsive worker, or one that resets every connection, answers no
poll: its runs can restart elsewhere once its lease has ended, so the lease must not be extended. A
worker whose answers are lost now and then answers the next poll: each lost answer delays the ends
that it would have reported, so polls wait for a shorter time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LEASE_EXPIRY_SLACK_S", "MAX_POLL_PAUSE_S", "POLL_WAIT_S", "PollPlan", "PollSchedule"]

POLL_WAIT_S = 0.15
"""Maximum time that a poll waits for the end of a run. The lease must outlast one unanswered poll
and three further ones that don't wait."""
POLL_SLACK_S = 0.1
"""Time allowed for a poll beyond its wait, before it counts as unanswered."""
LOSSY_WAIT_S = 0.04
"""Maximum wait of a poll while answers are being lost. It is shorter because a lost answer delays
the ends it would have reported, and a job ends only with the last of its tasks."""
LOSSY_SLACK_S = 0.05
"""Time allowed for a poll beyond its wait while answers are being lost."""
LOSSY_S = 3.0
"""How long after a lost answer further losses are expected."""
MIN_POLL_PAUSE_S = 0.02
"""Pause after a second unanswered poll in a row; it doubles with each further one."""
MAX_POLL_PAUSE_S = 0.16
"""Upper bound of that pause. Without pauses, a worker that resets every connection would be polled
without end. The bound is short enough for a worker that answers again to keep its lease."""
LEASE_EXPIRY_SLACK_S = 0.001
"""Added to the end of the lease before an unresponsive worker is given up, since timers may fire
early."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPlan:
    """One poll.

    The worker may hold its answer for ``wait_s`` until a run ends, and the poll may take
    ``slack_s`` longer, both in seconds. ``renews`` tells whether the poll renews the lease.
    """

    wait_s: float
    slack_s: float
    renews: bool


class PollSchedule:
    """Plans the polls of a worker. Times are the agent's steady clock, in seconds."""

    def __init__(self) -> None:
        self._unanswered = 0
        self._lossy_until = float("-inf")

    @property
    def unanswered(self) -> int:
        """The number of consecutive unanswered polls."""
        return self._unanswered

    def begin_incarnation(self) -> None:
        """Reset the count of unanswered polls for another incarnation of the worker."""
        self._unanswered = 0

    def plan(self, *, has_runs: bool, now: float) -> PollPlan:
        """Return the plan of the next poll.

        A renewal that may have arrived delays the time from which all runs have certainly ended. So
        a worker that did not answer is polled without a wait, and its lease is not renewed until it
        answers.
        """
        if self._unanswered:
            return PollPlan(wait_s=0.0, slack_s=POLL_SLACK_S, renews=False)
        if not has_runs:
            return PollPlan(wait_s=0.0, slack_s=POLL_SLACK_S, renews=True)
        if now < self._lossy_until:
            return PollPlan(wait_s=LOSSY_WAIT_S, slack_s=LOSSY_SLACK_S, renews=True)
        return PollPlan(wait_s=POLL_WAIT_S, slack_s=POLL_SLACK_S, renews=True)

    def note_unanswered(self) -> None:
        """Record that a poll was unanswered."""
        self._unanswered += 1

    def is_newly_unresponsive(self, *, now: float) -> bool:
        """Return whether the last unanswered poll is the first to show an unresponsive worker.

        While answers are being lost, it takes two unanswered polls in a row instead of one.
        """
        return self._unanswered == (2 if now < self._lossy_until else 1)

    def note_answer(self, *, now: float) -> None:
        """Record an answer; after a single unanswered poll it shows that answers are lost."""
        if self._unanswered == 1:
            self._lossy_until = now + LOSSY_S
        self._unanswered = 0

    def get_pause_s(self, *, lease_left_s: float) -> float:
        """Return how long to pause after an unanswered poll, in seconds.

        There is none after a single unanswered poll. A pause that begins during the lease, which
        ends in ``lease_left_s``, ends with the lease at the latest.
        """
        if self._unanswered < 2:
            return 0.0
        doublings = self._unanswered - 2
        pause_s = min(float(MIN_POLL_PAUSE_S * 2**doublings), MAX_POLL_PAUSE_S)
        return min(pause_s, lease_left_s + LEASE_EXPIRY_SLACK_S) if lease_left_s > 0 else pause_s
