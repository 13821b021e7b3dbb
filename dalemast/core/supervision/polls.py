"""How an agent looks at its worker: how long a look waits for an end, and what no answer says.

Two load patterns are told apart. A worker that has fallen silent, or resets every connection,
answers no look: what it ran can run elsewhere once its lease is over, so nothing may put that off.
A worker whose answers get lost now and then answers the next look at once: there each lost one
hides the ends of runs for as long as it was waited for.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LEASE_EXPIRY_SLACK_S", "MAX_POLL_PAUSE_S", "POLL_WAIT_S", "PollPlan", "PollSchedule"]

POLL_WAIT_S = 0.15
"""Longest wait of one look. The lease outlasts one look that stays unanswered and three that ask
for an answer at once after it."""
LOOK_SLACK_S = 0.1
"""How much longer than it may wait a look may take: a worker on the same host answers within some
milliseconds, and this process may be slowed."""
LOSSY_WAIT_S = 0.04
"""The same wait while answers get lost. With 4 % of them lost, and an end each 55 ms, ends were
seen 16 ms late in the mean, and are seen 4 ms late so (the replay in the tests). A job waits for
the latest of its tasks: under high load jobs of eight tasks of 0.13 s were seen to run 0.20 s, and
a tenth of them were late."""
LOSSY_SLACK_S = 0.05
"""The same slack while answers get lost."""
LOSSY_S = 3.0
"""How long after a lost answer more are expected: at 4 % one in 25 looks, hence one a second."""
LOOK_PAUSE_S = 0.02
"""Pause after a look that failed at once."""
MAX_POLL_PAUSE_S = 0.16
"""The pause doubles with each further one up to this: a worker that resets every connection was
looked at 500 times a second, and each new connection to a worker is priced. Less than half of what
a lease leaves, so that a worker that answers again in time loses nothing."""
LEASE_EXPIRY_SLACK_S = 0.001
"""How long after the lease's end a silent worker is given up, since timers may fire early."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPlan:
    """One look. ``wait_s`` is how long its answer may wait for an end, ``slack_s`` how much longer
    it may take; ``renews`` tells whether it renews the lease. Times are seconds."""

    wait_s: float
    slack_s: float
    renews: bool


class PollSchedule:
    """The looks at one life of a worker. Times are the agent's steady clock, in seconds."""

    def __init__(self) -> None:
        self._unanswered = 0
        self._lossy_until = float("-inf")

    @property
    def unanswered(self) -> int:
        """How many looks in a row stayed unanswered."""
        return self._unanswered

    def begin_incarnation(self) -> None:
        """Start over with another life of the worker."""
        self._unanswered = 0

    def plan(self, *, has_runs: bool, now: float) -> PollPlan:
        """Return the next look.

        Each renewal that may have arrived puts off the moment from which what runs there has surely
        ended. So a worker that did not answer is asked for an answer at once, and leased to no
        further until it gives one.
        """
        if self._unanswered:
            return PollPlan(wait_s=0.0, slack_s=LOOK_SLACK_S, renews=False)
        if not has_runs:
            return PollPlan(wait_s=0.0, slack_s=LOOK_SLACK_S, renews=True)
        if now < self._lossy_until:
            return PollPlan(wait_s=LOSSY_WAIT_S, slack_s=LOSSY_SLACK_S, renews=True)
        return PollPlan(wait_s=POLL_WAIT_S, slack_s=LOOK_SLACK_S, renews=True)

    def note_unanswered(self) -> None:
        """Note that a look stayed unanswered."""
        self._unanswered += 1

    def is_newly_unresponsive(self, *, now: float) -> bool:
        """Tell whether the last unanswered look is the first that speaks of a silent worker.

        While answers get lost, one alone says nothing.
        """
        return self._unanswered == (2 if now < self._lossy_until else 1)

    def note_answer(self, *, now: float) -> None:
        """Note an answer; one right after a look without one says that answers get lost."""
        if self._unanswered == 1:
            self._lossy_until = now + LOSSY_S
        self._unanswered = 0

    def get_pause_s(self, *, lease_left_s: float) -> float:
        """Return how long to wait after an unanswered look.

        A single reset in passing costs nothing. The last pause ends with the lease, which is over
        in ``lease_left_s``.
        """
        if self._unanswered < 2:
            return 0.0
        doublings = self._unanswered - 2
        pause_s = min(float(LOOK_PAUSE_S * 2**doublings), MAX_POLL_PAUSE_S)
        return min(pause_s, lease_left_s + LEASE_EXPIRY_SLACK_S) if lease_left_s > 0 else pause_s
