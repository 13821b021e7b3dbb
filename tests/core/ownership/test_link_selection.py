"""The entries that an agent is linked to."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase

from dalemast.core.ownership import KnownEntry, LinkBounds, choose_owners

BOUNDS = LinkBounds(same_data_centre=12, other_data_centres=4)
MOST = BOUNDS.total


def make_entries(*, near: int, far: int) -> list[KnownEntry]:
    return [KnownEntry(name=f"near-{n}", is_same_data_centre=True) for n in range(near)] + [
        KnownEntry(name=f"far-{n}", is_same_data_centre=False) for n in range(far)
    ]


class ChooseOwnersTests(TestCase):
    def test_a_small_system_is_linked_in_full(self) -> None:
        entries = make_entries(near=4, far=MOST - 4)
        self.assertEqual(
            {entry.name for entry in entries}, choose_owners("agent", entries, bounds=BOUNDS)
        )

    def test_a_large_system_is_bounded_and_mostly_near(self) -> None:
        chosen = choose_owners("agent", make_entries(near=20, far=40), bounds=BOUNDS)
        self.assertEqual(MOST, len(chosen))
        self.assertEqual(BOUNDS.same_data_centre, sum(name.startswith("near") for name in chosen))

    def test_few_near_entries_are_made_up_for_from_elsewhere(self) -> None:
        chosen = choose_owners("agent", make_entries(near=2, far=40), bounds=BOUNDS)
        self.assertEqual(MOST, len(chosen))
        self.assertEqual(2, sum(name.startswith("near") for name in chosen))

    def test_few_entries_elsewhere_are_made_up_for_by_near_ones(self) -> None:
        chosen = choose_owners("agent", make_entries(near=40, far=1), bounds=BOUNDS)
        self.assertEqual(MOST, len(chosen))
        self.assertIn("far-0", chosen)

    def test_agents_spread_over_the_entries(self) -> None:
        entries = make_entries(near=24, far=48)
        counts = Counter(
            name for n in range(400) for name in choose_owners(f"agent-{n}", entries, bounds=BOUNDS)
        )
        near = [counts[f"near-{n}"] for n in range(24)]
        self.assertGreater(min(near), 0.7 * 400 * BOUNDS.same_data_centre / 24)

    def test_a_lost_entry_changes_one_link_at_most(self) -> None:
        entries = make_entries(near=24, far=48)
        for n in range(50):
            before = choose_owners(f"agent-{n}", entries, bounds=BOUNDS)
            after = choose_owners(f"agent-{n}", entries[1:], bounds=BOUNDS)
            self.assertLessEqual(len(after - before), 1)
            self.assertEqual(MOST, len(after))
