"""A short soak run in which urgent jobs preempt others must not run a task twice."""

from __future__ import annotations

import shutil

from tests.base import AsyncTestCase
from tests.soak.run import Soak
from tests.soak.test_soak import LOGS, SECONDS

SEED = 4


class PreemptionSoakTests(AsyncTestCase):
    def test_no_task_runs_twice_beside_urgent_jobs_that_preempt_others(self) -> None:
        folder = LOGS / f"preemption-{SEED}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        soak = Soak(seed=SEED, folder=folder, entries=2, workers=2, preempts=True)
        report = self.run_async(soak.play(seconds=SECONDS))
        self.assertEqual([], report.broken, f"{report}, logs in {folder}")
        self.assertGreater(report.succeeded, 0)
        shutil.rmtree(folder)
