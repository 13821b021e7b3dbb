"""Claims: one owner at a time, and when another may follow."""

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

    def test_the_second_owner_is_told_of_the_first(self) -> None:
        self.assertEqual(Granted(), self.claims.claim("a", "o1", now=0.0))
        self.assertEqual(Held(owner="o1", free_at=None), self.claims.claim("a", "o2", now=0.0))

    def test_an_owner_may_claim_again(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.assertEqual(Granted(), self.claims.claim("a", "o1", now=5.0))

    def test_a_release_by_another_changes_nothing(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.release("a", "o2")
        self.assertIsInstance(self.claims.claim("a", "o2", now=0.0), Held)
        self.claims.release("a", "o1")
        self.assertEqual(Granted(), self.claims.claim("a", "o2", now=0.0))

    def test_the_claim_of_a_lost_owner_lapses_when_its_runs_have_ended(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.assertEqual(
            Held(owner="o1", free_at=1.0 + LAPSE_S), self.claims.claim("a", "o2", now=1.1)
        )
        self.assertEqual(Granted(), self.claims.claim("a", "o2", now=1.0 + LAPSE_S))

    def test_an_owner_that_is_back_keeps_its_claim(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.claims.note_reachable("o1")
        self.claims.sweep(now=9.0)
        self.assertIsInstance(self.claims.claim("a", "o2", now=9.0), Held)

    def test_claims_of_owners_that_are_gone_are_forgotten(self) -> None:
        self.claims.claim("a", "o1", now=0.0)
        self.claims.note_unreachable("o1", now=1.0)
        self.claims.sweep(now=3.0)
        self.assertEqual(0, len(self.claims))

    def test_an_id_that_two_owners_have_is_free_once_both_released_it(self) -> None:
        """One was granted it here, and the other tells that it has it by another entry's grant."""
        self.claims.claim("a", "o1", now=0.0)
        self.assertTrue(self.claims.record_reported("a", "o2"))
        self.assertFalse(self.claims.record_reported("a", "o2"))
        self.assertEqual(Held(owner="o2", free_at=None), self.claims.claim("a", "o1", now=0.0))
        self.claims.release("a", "o1")
        self.assertEqual(Held(owner="o2", free_at=None), self.claims.claim("a", "o3", now=0.0))
        self.claims.release("a", "o2")
        self.assertEqual(Granted(), self.claims.claim("a", "o3", now=0.0))

    def test_of_two_owners_the_one_that_lapses_last_is_named(self) -> None:
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
