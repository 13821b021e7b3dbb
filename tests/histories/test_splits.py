"""The network is divided into two groups of entries and agents that share no process.

At most one group may run a job, and the one that may not must refuse at once.
"""

from __future__ import annotations

import unittest

from tests.histories.base import Cut, Freeze, History, JobPlan, Outcome
from tests.histories.draw import draw_split_history, play

SPLITS = 160
STARTS_WITHIN = (20147, 21653, 21685, 22179, 22209, 23567)
"""Seeds in which an entry that started within the split granted ids before it had found out."""
UNKNOWN_AGENT = (23402, 50736)
"""Seeds in which such an entry took a lost entry as gone since it did not know of an agent."""
SPLIT_S = 8.0
SPLIT_AT_S = -0.5
JOBS = 24
FIRST_GROUP = ("entry-0", "entry-1", "agent-0")
SECOND_GROUP = ("entry-2", "agent-1")


def divide(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[Cut, ...]:
    """Return the cuts between all hosts of two groups."""
    return tuple(
        Cut(sender=one, receiver=other, at_s=SPLIT_AT_S, for_s=SPLIT_S)
        for one in first
        for other in second
    )


def make_jobs(entry: int, *, at_s: float) -> tuple[JobPlan, ...]:
    return tuple(
        JobPlan(at_s=at_s + 0.05 * number, run_s=(0.1,), entry=entry) for number in range(JOBS)
    )


class HistoryTestCase(unittest.TestCase):
    def play_jobs(self, jobs: tuple[JobPlan, ...], *faults: Cut | Freeze) -> Outcome:
        outcome = play(History(seed=5, jobs=jobs, faults=faults, entries=3, duration_s=4.5))
        self.assertEqual([], outcome.broken, "\n".join(outcome.trace))
        return outcome


class SplitTests(HistoryTestCase):
    def test_no_drawn_split_runs_a_task_twice(self) -> None:
        broken, done = [], 0
        for seed in range(SPLITS):
            outcome = play(draw_split_history(seed))
            done += outcome.answers.count("JobDone")
            if outcome.broken:
                broken.append(f"seed {seed}: {outcome.broken[0]}")
        self.assertEqual([], broken)
        self.assertGreater(done, SPLITS // 4)

    def test_an_entry_that_starts_within_a_split_grants_nothing_before_it_knows_of_it(self) -> None:
        for seed in STARTS_WITHIN + UNKNOWN_AGENT:
            outcome = play(draw_split_history(seed))
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace))

    def test_the_larger_group_serves_all_jobs_once_the_others_runs_have_ended(self) -> None:
        split = divide(FIRST_GROUP, SECOND_GROUP)
        outcome = self.play_jobs(make_jobs(0, at_s=3.0), *split)
        self.assertEqual(["JobDone"] * JOBS, outcome.answers)

    def test_the_smaller_group_refuses_all_jobs_at_once(self) -> None:
        split = divide(FIRST_GROUP, SECOND_GROUP)
        outcome = self.play_jobs(make_jobs(2, at_s=1.5), *split)
        self.assertEqual(["JobRejected"] * JOBS, outcome.answers)
        self.assertEqual(0, outcome.starts)

    def test_both_groups_serve_again_after_the_split(self) -> None:
        split = tuple(
            Cut(sender=cut.sender, receiver=cut.receiver, at_s=cut.at_s, for_s=1.5)
            for cut in divide(FIRST_GROUP, SECOND_GROUP)
        )
        for entry in (0, 2):
            outcome = self.play_jobs(make_jobs(entry, at_s=2.5), *split)
            self.assertEqual(["JobDone"] * JOBS, outcome.answers)


class SingleHostTests(HistoryTestCase):
    """The loss of hosts that are no part of a split must not keep the others from serving."""

    def test_an_entry_whose_two_peers_are_frozen_serves_all_jobs(self) -> None:
        frozen = [Freeze(process=f"entry-{n}", at_s=SPLIT_AT_S, for_s=SPLIT_S) for n in (0, 1)]
        outcome = self.play_jobs(make_jobs(2, at_s=0.5), *frozen)
        self.assertEqual(["JobDone"] * JOBS, outcome.answers)

    def test_entries_serve_all_jobs_while_an_agent_is_frozen(self) -> None:
        frozen = Freeze(process="agent-1", at_s=SPLIT_AT_S, for_s=SPLIT_S)
        outcome = self.play_jobs(make_jobs(2, at_s=0.5), frozen)
        self.assertEqual(["JobDone"] * JOBS, outcome.answers)
