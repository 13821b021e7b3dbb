"""A short soak run in which callers cancel their jobs must violate no guarantee."""

from __future__ import annotations

import shutil

from tests.base import AsyncTestCase
from tests.soak.run import Soak
from tests.soak.test_soak import LOGS

SEED = 54
SECONDS = 6.0


class CancellationSoakTests(AsyncTestCase):
    def test_no_cancelled_job_starts_or_runs_on(self) -> None:
        folder = LOGS / f"cancels-{SEED}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        soak = Soak(seed=SEED, folder=folder, entries=3, workers=3, cancels=True)
        report = self.run_async(soak.play(seconds=SECONDS))
        self.assertEqual([], report.broken, f"{report}, logs in {folder}")
        self.assertGreater(report.succeeded, 0)
        self.assertGreater(report.cancelled, 0)
        shutil.rmtree(folder)
