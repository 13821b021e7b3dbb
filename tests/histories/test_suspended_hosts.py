"""An entry whose host was suspended must not continue with expired claims and runs: the monotonic
clock does not count the suspension, so pauses between ticks do not show it."""

from __future__ import annotations

import unittest

from tests.histories.base import Cut, HangUp, JobPlan, Suspend
from tests.histories.draw import draw_suspended_history, play
from tests.histories.test_orders import AT_ONCE_S, LONG_S, OrdersTestCase

BROKEN_SEEDS = (555, 675, 945, 1137, 1883, 3336)
"""Regressions: a task ran twice, because the monotonic clock had not counted a suspension."""
DRAWN = 120
FOR_S = (0.3, 0.8, 1.5, 3.0)
"""Shorter than an agent's timeout, shorter than the time until lost runs count as ended, longer
than that time, and longer than the time until the caller resubmits the job."""
WAITING = (JobPlan(at_s=0.0, run_s=(0.9,) * 8), JobPlan(at_s=0.01, run_s=(LONG_S,)))
"""The second job waits for capacity while its entry is suspended."""


class SuspendedEntryTests(OrdersTestCase):
    def test_its_caller_resubmits_to_another_entry(self) -> None:
        for for_s in FOR_S:
            self.check(
                Suspend(process="entry-0", at_s=0.2, for_s=for_s),
                HangUp(job=0, at_s=0.25, is_noticed=False),
                entries=2,
            )

    def test_as_it_sends_starts(self) -> None:
        for for_s in FOR_S:
            self.check(
                Suspend(process="entry-0", at_s=AT_ONCE_S, for_s=for_s),
                HangUp(job=0, at_s=0.05, is_noticed=False),
                entries=2,
            )

    def test_a_job_waiting_there_is_resubmitted_elsewhere(self) -> None:
        for for_s in FOR_S:
            self.check(
                Suspend(process="entry-0", at_s=0.1, for_s=for_s),
                HangUp(job=1, at_s=0.15, is_noticed=False),
                jobs=WAITING,
                entries=2,
            )

    def test_twice_in_a_row(self) -> None:
        for for_s in FOR_S:
            self.check(
                Suspend(process="entry-0", at_s=0.2, for_s=for_s),
                Suspend(process="entry-0", at_s=0.21 + for_s, for_s=for_s),
                HangUp(job=0, at_s=0.25, is_noticed=False),
                entries=2,
            )


class SuspendedAgentTests(OrdersTestCase):
    def test_its_owner_starts_the_task_elsewhere(self) -> None:
        for for_s in FOR_S:
            self.check(
                *(Suspend(process=f"agent-{n}", at_s=0.2 + n, for_s=for_s) for n in range(2))
            )

    def test_as_it_orders_starts(self) -> None:
        for for_s in FOR_S:
            self.check(
                *(Suspend(process=f"agent-{n}", at_s=AT_ONCE_S, for_s=for_s) for n in range(2))
            )

    def test_its_owner_is_cut_off_as_it_returns(self) -> None:
        for for_s in FOR_S:
            self.check(
                Suspend(process="agent-0", at_s=0.2, for_s=for_s),
                Suspend(process="agent-1", at_s=0.2, for_s=for_s),
                Cut(sender="entry-0", receiver="agent-0", at_s=0.1 + for_s, for_s=1.0),
                Cut(sender="entry-0", receiver="agent-1", at_s=0.1 + for_s, for_s=1.0),
                HangUp(job=0, at_s=0.25, is_noticed=False),
                entries=2,
            )


class DrawnTests(unittest.TestCase):
    def check_seed(self, seed: int) -> None:
        outcome = play(draw_suspended_history(seed))
        self.assertEqual([], outcome.broken, "\n".join(outcome.trace))

    def test_histories_that_were_broken(self) -> None:
        for seed in BROKEN_SEEDS:
            self.check_seed(seed)

    def test_further_ones(self) -> None:
        for seed in range(DRAWN):
            self.check_seed(seed)
