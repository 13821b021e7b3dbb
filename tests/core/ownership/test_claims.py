"""Claims on job ids: when another owner may claim an id, and the choice of its home."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.ownership import Claims, Granted, Held, choose_home

LAPSE_S = 1.2


class ClaimsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.claims = Claims(lapse_s=LAPSE_S)

    def test_a_second_owner_receives_the_name_of_the_first(self) -> None:
        self.assertEqual(Granted(), self.claims.claim("a", "o1", now=0.0))
        self.assertEqual(Held(owner="o1", free_at=None), self.claims.claim("a", "o2", now=0.0))

    def test_an_owner_may_claim_again(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.assertEqual(Granted(), self.claims.claim("a", "o1", now=5.0))

    def test_a_release_by_another_owner_is_ignored(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.release("a", "o2")
        self.assertIsInstance(self.claims.claim("a", "o2", now=0.0), Held)
        self.claims.release("a", "o1")
        self.assertEqual(Granted(), self.claims.claim("a", "o2", now=0.0))

    def test_the_claim_of_an_unreachable_owner_lapses(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.assertEqual(
            Held(owner="o1", free_at=1.0 + LAPSE_S), self.claims.claim("a", "o2", now=1.1)
        )
        self.assertEqual(Granted(), self.claims.claim("a", "o2", now=1.0 + LAPSE_S))

    def test_an_owner_that_is_reachable_again_keeps_its_claim(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.claims.note_reachable("o1")
        self.claims.sweep(now=9.0)
        self.assertIsInstance(self.claims.claim("a", "o2", now=9.0), Held)

    def test_lapsed_claims_are_removed(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.claims.sweep(now=3.0)
        self.assertEqual(0, len(self.claims))

    def test_an_id_with_two_owners_is_free_once_both_released_it(self) -> None:
        """One was granted it here, and the other reports a grant by another entry."""
        self.claims.claim("a", "o1", now=0.0)
        self.assertTrue(self.claims.record_reported("a", "o2"))
        self.assertFalse(self.claims.record_reported("a", "o2"))
        self.assertEqual(Held(owner="o2", free_at=None), self.claims.claim("a", "o1", now=0.0))
        self.claims.release("a", "o1")
        self.assertEqual(Held(owner="o2", free_at=None), self.claims.claim("a", "o3", now=0.0))
        self.claims.release("a", "o2")
        self.assertEqual(Granted(), self.claims.claim("a", "o3", now=0.0))

    def test_of_two_owners_the_last_to_lapse_is_returned(self) -> None:
        for owner, lost_at in (("o1", 1.0), ("o2", 2.0)):
            self.claims.record_reported("a", owner)
            self.claims.note_unreachable(owner, now=lost_at)
        self.assertEqual(
            Held(owner="o2", free_at=2.0 + LAPSE_S), self.claims.claim("a", "o3", now=2.1)
        )
        self.claims.sweep(now=1.0 + LAPSE_S)
        self.assertIsInstance(self.claims.claim("a", "o3", now=1.1 + LAPSE_S), Held)
        self.assertEqual(Granted(), self.claims.claim("a", "o3", now=2.0 + LAPSE_S))


class RendezvousTests(testtools.TestCase):
    @given(st.text(min_size=1), st.sets(st.text(min_size=1), min_size=2, max_size=8))
    def test_losing_another_entry_moves_no_home(self, job_id: str, entries: set[str]) -> None:
        home = choose_home(job_id, entries)
        for other in entries - {home}:
            self.assertEqual(home, choose_home(job_id, entries - {other}))


class QueueTests(testtools.TestCase):
    """A request to cancel concerns the claims on an id for jobs of one queue."""

    def setUp(self) -> None:
        super().setUp()
        self.claims = Claims(lapse_s=LAPSE_S)
        self.claims.claim("a", "o1", now=0.0, queue="q1")

    def find(self, queue: str) -> Held | None:
        return self.claims.find_other("a", "o2", now=0.0, queue=queue)

    def test_a_claim_for_another_queue_is_left_out(self) -> None:
        held = Held(owner="o1", free_at=None)
        self.assertEqual([held, held, None], [self.find(queue) for queue in ("", "q1", "q2")])

    def test_a_claim_whose_queue_is_unknown_is_not_left_out(self) -> None:
        self.claims.record_reported("a", "o3")
        self.assertEqual(Held(owner="o3", free_at=None), self.find("q2"))

    def test_the_queue_of_a_claim_becomes_known_and_stays_so(self) -> None:
        """Greetings announce ids alone; the claims that follow name their queues."""
        for queue in ("", "q3", ""):
            self.claims.record_reported("a", "o3", queue=queue)
        self.assertIsNone(self.find("q2"))
        self.assertEqual(Held(owner="o3", free_at=None), self.find("q3"))
