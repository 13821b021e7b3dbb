"""Short soak runs of fixed seeds; ``make fleet-soak SEEDS=50`` runs many fresh seeds."""

from __future__ import annotations

import shutil
from pathlib import Path

from tests.base import AsyncTestCase
from tests.soak.run import Soak

SEEDS = (1, 877342)
"""Regressions.

1: an agent did not redial an entry whose connection had ended during the handshake.
877342: an owner took runs missing from a restarted agent's first list for ended ones.
"""
CRASHES_SEED = 35
SECONDS = 6.0
LOGS = Path(__file__).parents[2] / "build" / "soak" / "ci"
"""Folder for the logs of failed seeds. Fault timing depends on the real clock, so a failure may not
recur when its seed is run again."""


class SoakTests(AsyncTestCase):
    def test_no_guarantee_is_violated_under_faults_in_series(self) -> None:
        for seed in SEEDS:
            self.play(seed, workers=2, crashes=False)

    def test_none_is_broken_beside_tasks_that_crash_workers_which_keep_their_ids(self) -> None:
        self.play(CRASHES_SEED, workers=4, crashes=True)

    def play(self, seed: int, *, workers: int, crashes: bool) -> None:
        folder = LOGS / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        soak = Soak(seed=seed, folder=folder, entries=2, workers=workers, crashes=crashes)
        report = self.run_async(soak.play(seconds=SECONDS))
        self.assertEqual([], report.broken, f"{report}, logs in {folder}")
        self.assertGreater(report.succeeded, 0)
        shutil.rmtree(folder)
