"""Callers cancel their jobs at drawn entries and times, beside all other faults.

Once a cancellation is acknowledged, nothing of the job may start or run on beyond the platform's
bounds, whatever submission of it arrives later and wherever.
"""

from __future__ import annotations

import unittest

from tests.histories.base import Cancel, HangUp, History, JobPlan, Kill, Outcome
from tests.histories.draw import LONG_RUN_S, play
from tests.histories.draw_cancellations import draw_cancel_history

HISTORIES = 100
ENTRIES = 3
DURATION_S = 9.0


class DrawnCancellationTests(unittest.TestCase):
    def test_no_cancelled_job_runs_on(self) -> None:
        broken, cancelled, unacknowledged = [], 0, 0
        for seed in range(HISTORIES):
            outcome = play(draw_cancel_history(seed))
            cancelled += list(outcome.states.values()).count("cancelled")
            unacknowledged += outcome.unacknowledged
            if outcome.broken:
                broken.append(f"seed {seed}: {outcome.broken[0]}")
        self.assertEqual([], broken)
        self.assertEqual(0, unacknowledged)
        self.assertGreater(cancelled, HISTORIES // 4)


class SingleCancellationTests(unittest.TestCase):
    """One job of long tasks is cancelled, at each entry in turn."""

    def play_at_each_entry(self, *faults: HangUp | Kill, at_s: float = 0.5) -> list[Outcome]:
        outcomes = []
        for entry in range(ENTRIES):
            job = JobPlan(at_s=0.0, run_s=(LONG_RUN_S,) * 3)
            cancel = Cancel(job=0, at_s=at_s, entry=entry, resubmits=True)
            outcome = play(
                History(
                    seed=entry,
                    jobs=(job,),
                    faults=(cancel, *faults),
                    entries=ENTRIES,
                    duration_s=DURATION_S,
                )
            )
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace))
            self.assertEqual(0, outcome.unacknowledged, "\n".join(outcome.trace))
            outcomes.append(outcome)
        return outcomes

    def test_the_submission_is_answered_as_cancelled(self) -> None:
        for outcome in self.play_at_each_entry():
            self.assertEqual({0: "cancelled"}, outcome.states)
            self.assertEqual(3, outcome.starts)

    def test_a_submission_after_the_acknowledgement_starts_nothing(self) -> None:
        """Guards against a cancelled job that runs anew for a caller that had lost its answer."""
        lost = HangUp(job=0, at_s=0.45, is_noticed=False)
        for outcome in self.play_at_each_entry(lost):
            self.assertEqual({0: "cancelled"}, outcome.states)
            self.assertEqual(3, outcome.starts)

    def test_the_job_of_an_entry_that_is_killed_does_not_run_anew(self) -> None:
        killed = Kill(process="entry-0", at_s=0.6, for_s=0.5)
        for outcome in self.play_at_each_entry(killed):
            self.assertEqual({0: "cancelled"}, outcome.states)
            self.assertEqual(3, outcome.starts)
