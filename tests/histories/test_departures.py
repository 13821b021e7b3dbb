"""Workers that leave with notice and whose runs are moved, beside other faults: no task may run
twice at the same time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.histories.base import CallEffect, CallFault, Fault, History, JobPlan, Kill, Leave
from tests.histories.draw import draw_departure_history, play

DRAWN = 120
MIN_MOVES = 20
"""Minimum number of runs moved in all drawn histories."""
LEAVE_AT_S = 0.3
MOVED = "run:moved cause=leaving"
JOB = JobPlan(at_s=0.0, run_s=(4.0, 4.0))


def make_history(*faults: Fault, seed: int = 0, **leave: float) -> History:
    """Return a history in which one of two workers leaves with 2 s of notice under two tasks."""
    notice = Leave(worker="worker-0", at_s=LEAVE_AT_S, **{"notice_s": 2.0, **leave})
    return History(
        seed=seed,
        jobs=(JOB,),
        faults=(notice, *faults),
        entries=2,
        duration_s=14.0,
        plans_departures=True,
    )


class DepartureTests(unittest.TestCase):
    def check(self, history: History) -> str:
        """Check that no guarantee is violated and return the trace."""
        outcome = play(history)
        trace = "\n".join(outcome.trace)
        self.assertEqual([], outcome.broken, trace)
        return trace

    def test_runs_that_the_worker_cannot_complete_are_moved_and_complete_sooner(self) -> None:
        history = make_history()
        self.assertIn(MOVED, self.check(history))
        outcome = play(replace(history, duration_s=4.7))
        self.assertEqual({0: "succeeded"}, outcome.states)
        outcome = play(replace(history, duration_s=4.7, plans_departures=False))
        self.assertEqual({}, outcome.states)

    def test_an_owner_killed_between_the_stop_and_the_second_start(self) -> None:
        """The caller resubmits the job while its runs are being stopped or started."""
        moved = 0
        for step in range(0, 100, 4):
            kill = Kill(process="entry-0", at_s=LEAVE_AT_S + step / 1000, for_s=1.0)
            trace = self.check(make_history(kill, seed=step))
            moved += MOVED in trace
        self.assertGreater(moved, 0)

    def test_an_agent_killed_after_it_reported_the_notice(self) -> None:
        for step in range(0, 100, 4):
            kill = Kill(process="agent-0", at_s=LEAVE_AT_S + step / 1000, for_s=0.5)
            self.check(make_history(kill, seed=step))

    def test_stops_that_get_lost(self) -> None:
        for effect in (CallEffect.LOST, CallEffect.DONE_LATE, CallEffect.ANSWERED_LATE):
            late_s = 0.0 if effect is CallEffect.LOST else 0.8
            stops = CallFault(
                worker="worker-0", kind="stop", effect=effect, at_s=0.0, for_s=1.5, delay_s=late_s
            )
            self.check(make_history(stops))

    def test_a_notice_that_is_shorter_than_a_stop(self) -> None:
        for notice_s in (0.0, 0.01, 0.03, 0.06):
            self.check(make_history(notice_s=notice_s))

    def test_drawn_histories(self) -> None:
        moves = 0
        for seed in range(DRAWN):
            moves += self.check(draw_departure_history(seed)).count(MOVED)
        self.assertGreater(moves, MIN_MOVES)
