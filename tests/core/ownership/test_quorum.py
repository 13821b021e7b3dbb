"""Tests of the quorum of entries in a divided network."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.ownership import has_quorum

ADDRESSES = [f"10.0.0.{number}:1" for number in range(1, 8)]


class QuorumTests(testtools.TestCase):
    @given(st.lists(st.booleans(), min_size=2, max_size=7))
    def test_exactly_one_of_two_groups_has_a_quorum(self, sides: list[bool]) -> None:
        """Otherwise both would grant the same ids, or none would serve anybody."""
        known = ADDRESSES[: len(sides)]
        groups = [
            [address for address, side in zip(known, sides, strict=True) if side is chosen]
            for chosen in (False, True)
        ]
        verdicts = [
            has_quorum(group[0], group[1:], other)
            for group, other in (groups, reversed(groups))
            if group
        ]
        self.assertEqual(1, sum(verdicts))

    def test_an_entry_that_knows_no_other_has_a_quorum(self) -> None:
        self.assertTrue(has_quorum("10.0.0.1:1", [], []))

    def test_of_two_entries_the_one_with_the_smaller_address_has_a_quorum(self) -> None:
        self.assertTrue(has_quorum("10.0.0.1:1", [], ["10.0.0.2:1"]))
        self.assertFalse(has_quorum("10.0.0.2:1", [], ["10.0.0.1:1"]))
