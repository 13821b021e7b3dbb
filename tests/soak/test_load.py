"""A short soak run with all decisions under load, workers of unequal speeds and departures must
violate no guarantee."""

from __future__ import annotations

import shutil

from tests.base import AsyncTestCase
from tests.soak.run import Soak
from tests.soak.test_soak import LOGS

SEED = 7
SECONDS = 5.0


class LoadSoakTests(AsyncTestCase):
    def test_no_guarantee_is_violated_beside_notices_and_jobs_that_compete_for_capacity(
        self,
    ) -> None:
        folder = LOGS / f"load-{SEED}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        soak = Soak(seed=SEED, folder=folder, entries=2, workers=3, load=True)
        report = self.run_async(soak.play(seconds=SECONDS))
        self.assertEqual([], report.broken, f"{report}, logs in {folder}")
        self.assertGreater(report.succeeded, 0)
        self.assertIn("_give_notice", report.faults)
        shutil.rmtree(folder)
