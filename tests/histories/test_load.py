"""All decisions under load together, preemptions and moves in the same history, must violate no
guarantee."""

from __future__ import annotations

import unittest

from tests.histories.draw import draw_load_history, play

DRAWN = 40
MIN_PREEMPTIONS, MIN_MOVES, MIN_DONE = 30, 3, 80
"""Minimum numbers of preempted runs, moved runs and completed jobs in all drawn histories."""


class DrawnTests(unittest.TestCase):
    def test_no_guarantee_is_violated(self) -> None:
        outcomes = [play(draw_load_history(seed)) for seed in range(DRAWN)]
        broken = [(seed, o.broken[0]) for seed, o in enumerate(outcomes) if o.broken]
        self.assertEqual([], broken)
        self.assertGreater(sum(o.preemptions for o in outcomes), MIN_PREEMPTIONS)
        self.assertGreater(sum(o.moves for o in outcomes), MIN_MOVES)
        done = sum(o.answers.count("JobDone") for o in outcomes)
        self.assertGreater(done, MIN_DONE)
