"""Workers that restart under the same id: calls, ends of runs, leases and lists of runs of an
earlier incarnation must not be applied to a later one."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.histories.base import CallEffect, CallFault, Drop, Fault, Freeze, History, JobPlan, Kill
from tests.histories.draw import play

PLAYS = 6
DOWNTIMES_S = (0.004, 0.03, 0.4)
"""Downtimes of a worker: shorter than a poll, two refused polls, and its report interval."""
LONG_S = 3.0
SHORT_S = 0.3
LASTS_S = 9.0
WORKERS = ("worker-0", "worker-1")
JOBS = (
    JobPlan(at_s=0.0, run_s=(LONG_S, LONG_S, SHORT_S)),
    *(JobPlan(at_s=0.1 * number, run_s=(SHORT_S,), entry=number % 2) for number in range(1, 25)),
)
"""The short jobs keep starts and ends of runs coming throughout the history."""


class RestartTests(unittest.TestCase):
    def check(self, *faults: Fault, is_scarce: bool = False) -> None:
        """Check that no guarantee is violated and that every job succeeds.

        With ``is_scarce``, all workers are down repeatedly: a job may then be refused for lack of
        capacity, or fail once two workers have ended while running it, as the model checks.
        """
        jobs = JOBS
        for downtime_s in DOWNTIMES_S:
            drawn = History(
                seed=0,
                jobs=jobs,
                faults=tuple(_set_downtime(fault, downtime_s) for fault in faults),
                entries=2,
                duration_s=LASTS_S,
                keeps_ids=True,
                crash_downtime_s=downtime_s,
            )
            for seed in range(PLAYS):
                outcome = play(replace(drawn, seed=seed))
                self.assertEqual([], outcome.broken, "\n".join(outcome.trace[-300:]))
                states = [outcome.states.get(number) for number in range(len(jobs))]
                if is_scarce:
                    self.assertLessEqual(set(states), {"succeeded", "refused", "failed"})
                    continue
                self.assertEqual(["succeeded"] * len(jobs), states)

    def test_a_worker_restarts(self) -> None:
        self.check(Kill(process="worker-0", at_s=0.8, for_s=0.0))

    def test_both_restart_twice_in_a_row(self) -> None:
        self.check(
            *(
                Kill(process=worker, at_s=at_s + 0.013 * number, for_s=0.0)
                for number, worker in enumerate(WORKERS)
                for at_s in (0.7, 1.9, 2.05)
            ),
            is_scarce=True,
        )

    def test_it_restarts_while_its_agent_is_paused(self) -> None:
        self.check(
            Freeze(process="agent-0", at_s=0.7, for_s=0.9),
            Kill(process="worker-0", at_s=0.9, for_s=0.0),
        )

    def test_it_restarts_while_its_agent_restarts(self) -> None:
        self.check(
            Kill(process="agent-0", at_s=0.7, for_s=0.3),
            Kill(process="worker-0", at_s=0.8, for_s=0.0),
        )

    def test_it_restarts_as_its_connections_are_reset(self) -> None:
        drops = (Drop(first="agent-0", second="worker-0", at_s=0.9 + 0.02 * n) for n in range(5))
        self.check(Kill(process="worker-0", at_s=0.9, for_s=0.0), *drops)

    def test_answers_come_late_around_it(self) -> None:
        late = (
            CallFault(
                worker="worker-0",
                kind=kind,
                effect=CallEffect.ANSWERED_LATE,
                at_s=0.7,
                for_s=0.4,
                delay_s=0.2,
            )
            for kind in ("start", "hold")
        )
        self.check(Kill(process="worker-0", at_s=0.9, for_s=0.0), *late)


def _set_downtime(fault: Fault, downtime_s: float) -> Fault:
    """Return the fault, with the downtime replaced if it kills a worker."""
    if isinstance(fault, Kill) and fault.process in WORKERS:
        return replace(fault, for_s=downtime_s)
    return fault
