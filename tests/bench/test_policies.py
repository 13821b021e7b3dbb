"""The simulation's runner: the same figures for the same arguments."""

from __future__ import annotations

from testtools import TestCase

from dalemast.bench.policies import play

ORDER = "dalemast.core.scheduling.PriorityOrder"


class PlayTests(TestCase):
    def test_a_light_load_is_served_on_time_and_repeats(self) -> None:
        arguments = {"owners": 2, "workers": 6, "load": 0.4, "seconds": 13.0, "seed": 5}
        outcome, reports = play(**arguments, order=ORDER)
        self.assertGreater(outcome.worth, 0.95)
        self.assertGreater(reports, 0)
        self.assertEqual((outcome, reports), play(**arguments, order=ORDER))
