"""Tasks that crash their workers unnoticed, as their owners and agents are lost: the number of
starts must stay bounded, and no other job may fail for it."""

from __future__ import annotations

import unittest

from tests.histories.base import History, JobPlan, Kill
from tests.histories.draw import draw_crash_history, play

USED_NUMBER_SEEDS = (108, 368)
"""A start that the worker ignored counted as a run that may have crashed it."""
RUNS_ON_ONE_INCARNATION_SEEDS = (592,)
"""A run that was stopped and one that crashed the same incarnation counted as one end."""
LOST_OWNERS_SEEDS = (718, 2306)
"""A sound job failed for runs that its lost owners had announced, and that were only stopped."""
UNCONFIRMED_STOP_SEEDS = (414, 595)
"""A run whose caller hung up, and whose stop nobody confirmed, counted as nothing."""
ABANDONED_SEEDS = (20,)
"""An end was dropped again, as the worker of a run that its owner had given up answered."""
EARLY_CLAIM_SEEDS = (221,)
"""An entry that had just started was granted an id before it was told of the ends."""
LOST_TOGETHER_SEEDS = (22, 51, 294, 375, 412, 578)
"""All processes that knew of one end were killed."""
LOST_AFTER_OBSERVED_SEEDS = (7, 25, 28, 34)
"""Seeds of :func:`make_lost_owner_history` in which the first crash is observed, later ones not."""
SECOND_CRASH_S = 0.9
WORKERS = 6
CRASH_S = 0.4


def make_lost_owner_history(seed: int, *, killed_at_s: float, hidden_share: float) -> History:
    """Return a history of one crashing task, whose owner and all agents are killed together."""
    agents = [f"agent-{number}" for number in range(WORKERS)]
    return History(
        seed=seed,
        jobs=(JobPlan(at_s=0.0, run_s=(1.0,), crash_s=(CRASH_S,)),),
        faults=(
            *(Kill(process=agent, at_s=killed_at_s, for_s=0.3) for agent in agents),
            Kill(process="entry-0", at_s=killed_at_s, for_s=1.0),
        ),
        entries=2,
        clock_rates=(1.0,) * WORKERS,
        duration_s=14.0,
        keeps_ids=True,
        crash_downtime_s=0.5,
        hidden_crash_share=hidden_share,
    )


class HiddenCrashTests(unittest.TestCase):
    def check(self, seeds: tuple[int, ...]) -> None:
        for seed in seeds:
            self.check_history(draw_crash_history(seed))

    def check_history(self, history: History) -> None:
        with self.subTest(seed=history.seed):
            outcome = play(history)
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace[-400:]))
            self.assertGreater(outcome.crashes, 2)

    def test_starts_with_a_used_run_number_do_not_count(self) -> None:
        self.check(USED_NUMBER_SEEDS)

    def test_each_run_on_an_incarnation_counts(self) -> None:
        self.check(RUNS_ON_ONE_INCARNATION_SEEDS)

    def test_an_end_after_an_observed_crash_may_be_lost(self) -> None:
        """It was known to its owner and its agent only."""
        for seed in LOST_AFTER_OBSERVED_SEEDS:
            self.check_history(
                make_lost_owner_history(seed, killed_at_s=SECOND_CRASH_S, hidden_share=0.8)
            )

    def test_stopped_runs_of_lost_owners_do_not_count(self) -> None:
        self.check(LOST_OWNERS_SEEDS)

    def test_a_stop_that_nobody_confirms_counts(self) -> None:
        self.check(UNCONFIRMED_STOP_SEEDS)

    def test_an_abandoned_run_of_a_suspect_counts(self) -> None:
        self.check(ABANDONED_SEEDS)

    def test_a_peer_tells_of_ends_before_it_grants_an_id(self) -> None:
        self.check(EARLY_CLAIM_SEEDS)

    def test_one_end_may_be_lost_with_all_who_knew_it(self) -> None:
        self.check(LOST_TOGETHER_SEEDS)

    def test_the_owner_and_the_agent_are_killed_with_the_first_worker(self) -> None:
        """Only they knew of the run, and the next owner began to count anew."""
        for seed in range(4):
            self.check_history(
                make_lost_owner_history(seed, killed_at_s=CRASH_S + 0.05, hidden_share=1.0)
            )
