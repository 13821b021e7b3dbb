"""The choice of the entries that an agent is linked to."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase

from dalemast.core.ownership import KnownEntry, LinkBounds, choose_owners

BOUNDS = LinkBounds(same_data_centre=12, other_data_centres=4)
TOTAL = BOUNDS.total


def make_entries(*, local: int, remote: int) -> list[KnownEntry]:
    return [KnownEntry(name=f"near-{n}", is_same_data_centre=True) for n in range(local)] + [
        KnownEntry(name=f"far-{n}", is_same_data_centre=False) for n in range(remote)
    ]


class ChooseOwnersTests(TestCase):
    def test_in_a_small_system_all_entries_are_chosen(self) -> None:
        entries = make_entries(local=4, remote=TOTAL - 4)
        self.assertEqual(
            {entry.name for entry in entries}, choose_owners("agent", entries, bounds=BOUNDS)
        )

    def test_in_a_large_system_the_number_is_bounded_and_mostly_local(self) -> None:
        chosen = choose_owners("agent", make_entries(local=20, remote=40), bounds=BOUNDS)
        self.assertEqual(TOTAL, len(chosen))
        self.assertEqual(BOUNDS.same_data_centre, sum(name.startswith("near") for name in chosen))

    def test_few_local_entries_are_supplemented_by_remote_ones(self) -> None:
        chosen = choose_owners("agent", make_entries(local=2, remote=40), bounds=BOUNDS)
        self.assertEqual(TOTAL, len(chosen))
        self.assertEqual(2, sum(name.startswith("near") for name in chosen))

    def test_few_remote_entries_are_supplemented_by_local_ones(self) -> None:
        chosen = choose_owners("agent", make_entries(local=40, remote=1), bounds=BOUNDS)
        self.assertEqual(TOTAL, len(chosen))
        self.assertIn("far-0", chosen)

    def test_agents_are_spread_evenly_over_the_entries(self) -> None:
        entries = make_entries(local=24, remote=48)
        counts = Counter(
            name for n in range(400) for name in choose_owners(f"agent-{n}", entries, bounds=BOUNDS)
        )
        local = [counts[f"near-{n}"] for n in range(24)]
        self.assertGreater(min(local), 0.7 * 400 * BOUNDS.same_data_centre / 24)

    def test_a_lost_entry_changes_one_link_at_most(self) -> None:
        entries = make_entries(local=24, remote=48)
        for n in range(50):
            before = choose_owners(f"agent-{n}", entries, bounds=BOUNDS)
            after = choose_owners(f"agent-{n}", entries[1:], bounds=BOUNDS)
            self.assertLessEqual(len(after - before), 1)
            self.assertEqual(TOTAL, len(after))
