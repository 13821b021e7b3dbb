"""Tasks that crash their workers unnoticed, as their owners and agents are lost: the number of
starts must stay bounded, and no other job may fail for it."""

from __future__ import annotations

import unittest

from tests.histories.draw import draw_crash_history, play

USED_NUMBER_SEEDS = (108,)
"""A start that the worker ignored counted as a run that may have crashed it."""
RUNS_ON_ONE_INCARNATION_SEEDS = (592,)
"""A run that was stopped and one that crashed the same incarnation counted as one end."""


class HiddenCrashTests(unittest.TestCase):
    def check(self, seeds: tuple[int, ...]) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                outcome = play(draw_crash_history(seed))
                self.assertEqual([], outcome.broken, "\n".join(outcome.trace[-400:]))

    def test_starts_with_a_used_run_number_do_not_count(self) -> None:
        self.check(USED_NUMBER_SEEDS)

    def test_each_run_on_an_incarnation_counts(self) -> None:
        self.check(RUNS_ON_ONE_INCARNATION_SEEDS)
