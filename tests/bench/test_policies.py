"""The simulation's runner: the same figures for the same arguments."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from dalemast.bench.policies import Play, make_simulation, play
from dalemast.core.scheduling import LoadPolicy
from dalemast.core.scheduling.demand_reports import REPORTS_PER_S

ORDER = "dalemast.core.scheduling.PriorityOrder"


class PlayTests(TestCase):
    def test_a_light_load_is_served_on_time_and_repeats(self) -> None:
        asked = Play(owners=2, workers=6, load=0.4, seconds=13.0, seed=5, order=ORDER)
        outcome, reports = play(asked)
        self.assertGreater(outcome.worth, 0.95)
        self.assertGreater(reports, 0)
        self.assertEqual((outcome, reports), play(asked))

    def test_an_overload_and_its_bound_are_played(self) -> None:
        asked = Play(owners=4, workers=4, load=2.0, seconds=13.0, seed=5, order=ORDER, user="tyres")
        outcome, _ = play(asked)
        bound, _ = play(replace(asked, sees_at_once=True))
        self.assertLess(outcome.worth, 1.0)
        self.assertGreater(outcome.worth, 0.5)
        self.assertGreater(bound.worth, 0.5)

    def test_shared_demand_is_told_within_its_bounds_and_only_if_asked_for(self) -> None:
        asked = Play(owners=4, workers=4, load=2.0, seconds=13.0, seed=5, order=ORDER, user="tyres")
        sharing = make_simulation(replace(asked, policy=LoadPolicy(shares_demand=True)))
        outcome = sharing.run(until_s=25.0)
        self.assertGreater(sharing.words, 0)
        self.assertLessEqual(sharing.words, 4 * REPORTS_PER_S * 25.0)
        self.assertGreater(outcome.worth, 0.5)
        alone = make_simulation(asked)
        alone.run(until_s=25.0)
        self.assertEqual(0, alone.words)


class UnevenTests(TestCase):
    """Workers of speeds 0.6, 1 and 1.6, and run times with a tail."""

    def test_fewer_jobs_are_late_once_agents_tell_speeds(self) -> None:
        asked = Play(
            owners=4, workers=16, load=1.5, seconds=16.0, seed=1, order=ORDER, user="uneven"
        )
        before, _ = play(asked)
        after, _ = play(replace(asked, policy=LoadPolicy(learns_speeds=True)))
        self.assertLess(sum(after.late.values()), sum(before.late.values()))
        self.assertGreaterEqual(after.worth, before.worth)
