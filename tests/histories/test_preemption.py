"""A preempted task may start again only once its first run has ended, whichever process fails
between the stop and the second start."""

from __future__ import annotations

import unittest

from tests.histories.base import (
    CallEffect,
    CallFault,
    Cut,
    Drop,
    Fault,
    Freeze,
    History,
    JobPlan,
    Kill,
    Outcome,
)
from tests.histories.draw import draw_preemption_history, play

LONG_JOB, URGENT_JOB = 1, 2
DRAWN = 60
MIN_PREEMPTIONS = 100
MIN_DONE = 200
URGENT_AT_S = 1.0
REQUEST_DELAY_S = 0.12
"""Time from the arrival of an urgent job to its request for capacity: a fifth of its slack and one
turn of the event loop."""
STOPPING_AT_S = URGENT_AT_S + REQUEST_DELAY_S + 0.08
"""Between the stop and the second start, while stops are executed late."""


class FailureTests(unittest.TestCase):
    """One failure while a run is being preempted must not let its task run twice."""

    def play(self, *faults: Fault, entries: int = 1) -> Outcome:
        """Play a short job, long jobs that fill the workers, and an urgent job that preempts them.

        The short job completes work first, which preemption requires before it may stop runs.
        """
        late_stops = tuple(
            CallFault(
                worker=f"worker-{number}",
                kind="stop",
                effect=CallEffect.DONE_LATE,
                at_s=0.0,
                for_s=1.5,
                delay_s=0.3,
            )
            for number in range(2)
        )
        history = History(
            seed=1,
            jobs=(
                JobPlan(at_s=0.0, run_s=(0.05,) * 8),
                JobPlan(at_s=0.5, run_s=(3.0,) * 8, priority=1),
                JobPlan(at_s=URGENT_AT_S, run_s=(0.12,)),
            ),
            faults=(*late_stops, *faults),
            entries=entries,
            preempts=True,
            duration_s=12.0,
        )
        outcome = play(history)
        trace = "\n".join(outcome.trace)
        self.assertEqual([], outcome.broken, trace)
        self.assertGreaterEqual(outcome.preemptions, 1, trace)
        self.assertEqual("succeeded", outcome.states[LONG_JOB], trace)
        # It may be rejected before it runs if all agents or workers are unreachable.
        self.assertIn(outcome.states[URGENT_JOB], ("succeeded", "refused"), trace)
        return outcome

    def test_none(self) -> None:
        outcome = self.play()
        self.assertEqual("succeeded", outcome.states[URGENT_JOB])
        self.assertTrue(any("reason=preempted" in line for line in outcome.trace))

    def test_the_owner_is_killed(self) -> None:
        self.play(Kill(process="entry-0", at_s=STOPPING_AT_S, for_s=0.3), entries=2)

    def test_the_owner_is_paused(self) -> None:
        self.play(Freeze(process="entry-0", at_s=STOPPING_AT_S, for_s=1.0), entries=2)

    def test_the_agents_are_killed(self) -> None:
        self.play(*(Kill(process=f"agent-{n}", at_s=STOPPING_AT_S, for_s=0.2) for n in range(2)))

    def test_the_links_are_reset(self) -> None:
        self.play(
            *(Drop(first="entry-0", second=f"agent-{n}", at_s=STOPPING_AT_S) for n in range(2))
        )

    def test_the_links_are_cut(self) -> None:
        self.play(
            *(
                Cut(sender=f"agent-{n}", receiver="entry-0", at_s=STOPPING_AT_S, for_s=0.8)
                for n in range(2)
            )
        )

    def test_the_workers_crash(self) -> None:
        self.play(*(Kill(process=f"worker-{n}", at_s=STOPPING_AT_S, for_s=0.3) for n in range(2)))


class DrawnTests(unittest.TestCase):
    def test_no_guarantee_is_violated(self) -> None:
        outcomes = [play(draw_preemption_history(seed)) for seed in range(DRAWN)]
        broken = [(seed, o.broken[0]) for seed, o in enumerate(outcomes) if o.broken]
        self.assertEqual([], broken)
        self.assertGreater(sum(o.preemptions for o in outcomes), MIN_PREEMPTIONS)
        done = sum(o.answers.count("JobDone") for o in outcomes)
        self.assertGreater(done, MIN_DONE)
