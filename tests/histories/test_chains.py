"""Entries that can't reach each other have a common neighbour, so that both have a quorum.

The claim on an id must then go by its home, although one of the two can't reach it.
"""

from __future__ import annotations

import unittest

from dalemast.core.ownership import choose_home
from tests.histories.base import Cut, HangUp, History, JobPlan
from tests.histories.draw import play

ENTRIES = 5
OWNER, CUT_OFF = 1, 2
PLAYS = 12
CUTS = (
    ("entry-2", "entry-0"),
    ("entry-2", "entry-1"),
    ("entry-2", "agent-0"),
    ("entry-0", "agent-1"),
    ("entry-1", "agent-1"),
)
"""Entries 3 and 4 and their links stay as they are."""
JOBS = 12
SUBMITTED_AT_S = 5.0
"""When the entry that is cut off has waited long enough to grant ids of lost entries."""


class ChainTests(unittest.TestCase):
    def test_an_id_is_granted_once_though_its_home_is_beyond_the_cut(self) -> None:
        cuts = tuple(Cut(sender=one, receiver=other, at_s=0.0, for_s=20.0) for one, other in CUTS)
        entries = [f"entry-{number}" for number in range(ENTRIES)]
        jobs = tuple(
            JobPlan(at_s=SUBMITTED_AT_S, run_s=(9.0,), entry=OWNER, cpu=100) for _ in range(JOBS)
        )
        hang_ups = tuple(
            HangUp(job=number, at_s=SUBMITTED_AT_S + 0.3, is_noticed=False)
            for number in range(JOBS)
        )
        homes = [choose_home(f"{number:016x}", entries) for number in range(1, JOBS + 1)]
        self.assertIn("entry-0", homes, "no job has its home beyond the cut")
        for seed in range(PLAYS):
            history = History(
                seed=seed,
                jobs=jobs,
                faults=(*cuts, *hang_ups),
                entries=ENTRIES,
                duration_s=10.0,
            )
            outcome = play(history)
            self.assertEqual([], outcome.broken, "\n".join(outcome.trace))
