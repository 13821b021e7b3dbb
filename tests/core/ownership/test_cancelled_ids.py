"""Ids of cancelled jobs: for how long they are kept, and which one is displaced by others."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.ownership import CancelledIds

MAX_IDS = 4
KEPT_S = 60.0
QUEUES = st.sampled_from(["q1", "q2", "q3"])
IDS = st.integers(0, 9).map(str)


class CancelledIdsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ids = CancelledIds(max_ids=MAX_IDS)

    def add(self, queue: str, *job_ids: str) -> None:
        for job_id in job_ids:
            self.ids.add(queue, job_id, until=KEPT_S)

    def test_an_id_is_cancelled_in_its_queue_alone(self) -> None:
        self.add("q1", "a")
        self.assertTrue(self.ids.contains("q1", "a", now=0.0))
        self.assertFalse(self.ids.contains("q2", "a", now=0.0))

    def test_an_id_is_forgotten_once_its_time_is_over(self) -> None:
        self.add("q1", "a")
        self.assertFalse(self.ids.contains("q1", "a", now=KEPT_S))
        self.ids.sweep(now=KEPT_S)
        self.assertEqual(([], 0), (list(self.ids), len(self.ids)))

    def test_an_older_announcement_does_not_shorten_the_time(self) -> None:
        self.add("q1", "a")
        self.ids.add("q1", "a", until=1.0)
        self.assertTrue(self.ids.contains("q1", "a", now=2.0))

    def test_a_queue_with_many_ids_does_not_displace_those_of_others(self) -> None:
        """Guards against a client account whose requests make others' cancelled jobs run."""
        self.add("q1", "a")
        self.add("q2", *(str(number) for number in range(100)))
        self.assertTrue(self.ids.contains("q1", "a", now=0.0))
        self.assertEqual(["97", "98", "99"], [kept.job_id for kept in self.ids][1:])

    @given(st.lists(st.tuples(QUEUES, IDS, st.floats(0.0, 10.0)), max_size=60))
    def test_the_count_matches_and_is_bounded(self, added: list[tuple[str, str, float]]) -> None:
        ids = CancelledIds(max_ids=MAX_IDS)
        for queue, job_id, until in added:
            ids.add(queue, job_id, until=until)
            self.assertEqual(len(list(ids)), len(ids))
            self.assertLessEqual(len(ids), MAX_IDS)
        ids.sweep(now=5.0)
        self.assertEqual(len(list(ids)), len(ids))
        self.assertTrue(all(kept.until > 5.0 for kept in ids))
