"""Evacuations by reports that are lost, out of order, or follow a dropped history."""

from __future__ import annotations

from itertools import pairwise

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.evacuations import (
    EvacuationChanges,
    EvacuationRecord,
    Evacuations,
    EvacuationView,
)

DATA_CENTRES = ("austin", "waco", "temple")
ENTRIES = 3


def report(version: int, *data_centres: str) -> Evacuations:
    return Evacuations(version=version, data_centres=frozenset(data_centres))


class ModelStore:
    """The evacuated data centres as of each version."""

    def __init__(self) -> None:
        self.history: list[frozenset[str]] = [frozenset()]

    @property
    def version(self) -> int:
        return len(self.history) - 1

    def toggle(self, data_centre: str) -> None:
        self.history.append(self.history[-1] ^ {data_centre})

    def read(self) -> EvacuationChanges:
        return EvacuationChanges(version=self.version, begun=self.history[-1], is_whole=True)

    def follow(self, since: int) -> EvacuationChanges:
        """Return the changes since a version, as a feed of rows does."""
        later = self.history[since:]
        changed = frozenset().union(*(one ^ two for one, two in pairwise(later)))
        return EvacuationChanges(
            version=self.version,
            begun=changed & self.history[-1],
            ended=changed - self.history[-1],
        )


class ModelEntry:
    """What one entry has received, from the store and from others."""

    def __init__(self) -> None:
        self.record = EvacuationRecord()
        self.view = EvacuationView()
        self.followed: int | None = None

    def read(self, store: ModelStore) -> None:
        self._apply(store.read())

    def follow(self, store: ModelStore) -> None:
        self._apply(store.read() if self.followed is None else store.follow(self.followed))

    def _apply(self, changes: EvacuationChanges) -> None:
        self.followed = changes.version
        self.view.offer(self.record.apply(changes))


STEPS = st.one_of(
    st.tuples(st.just("toggle"), st.sampled_from(DATA_CENTRES)),
    st.tuples(st.just("read"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("follow"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("restart"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("tell"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("deliver"), st.integers(0, 99), st.integers(0, ENTRIES - 1)),
)


class EvacuationReportsTests(testtools.TestCase):
    @given(st.lists(STEPS, max_size=60))
    def test_every_belief_was_true_and_none_goes_back(self, steps: list[tuple]) -> None:
        """Whatever an entry hears from whom, it believes what was true as of a rising version."""
        store = ModelStore()
        entries = [ModelEntry() for _ in range(ENTRIES)]
        sent: list[Evacuations] = []
        newest = [-1] * ENTRIES
        for kind, what, *more in steps:
            if kind == "toggle":
                store.toggle(what)
            elif kind == "read":
                entries[what].read(store)
            elif kind == "follow":
                entries[what].follow(store)
            elif kind == "restart":
                entries[what], newest[what] = ModelEntry(), -1
            elif kind == "tell" and entries[what].view.current is not None:
                sent.append(entries[what].view.current)
            elif kind == "deliver" and sent:
                entries[more[0]].view.offer(sent[what % len(sent)])
            for number, entry in enumerate(entries):
                current = entry.view.current
                if current is not None:
                    self.assertEqual(store.history[current.version], current.data_centres)
                    self.assertGreaterEqual(current.version, newest[number])
                    newest[number] = current.version


class EvacuationRecordTests(testtools.TestCase):
    def test_a_whole_answer_ends_evacuations_that_it_does_not_contain(self) -> None:
        record = EvacuationRecord()
        record.apply(EvacuationChanges(version=3, begun=frozenset({"waco"})))
        whole = EvacuationChanges(version=9, begun=frozenset({"austin"}), is_whole=True)
        self.assertEqual(report(9, "austin"), record.apply(whole))

    def test_an_answer_without_changes_updates_the_version(self) -> None:
        record = EvacuationRecord()
        record.apply(EvacuationChanges(version=3, begun=frozenset({"waco"})))
        self.assertEqual(
            report(8, "waco"), record.apply(EvacuationChanges(version=8, begun=frozenset()))
        )


class EvacuationViewTests(testtools.TestCase):
    def test_the_first_report_is_a_change_even_if_nothing_is_evacuated(self) -> None:
        """Agents may still apply an evacuation reported before all entries were restarted."""
        self.assertTrue(EvacuationView().offer(report(5)))

    def test_a_newer_version_without_a_change_updates_the_version(self) -> None:
        view = EvacuationView()
        view.offer(report(5, "waco"))
        self.assertFalse(view.offer(report(9, "waco")))
        self.assertFalse(view.offer(report(7)))
        self.assertEqual(frozenset({"waco"}), view.data_centres)

    def test_an_old_report_contradicts_only_if_it_differs(self) -> None:
        view = EvacuationView()
        view.offer(report(5, "waco"))
        self.assertTrue(view.contradicts(report(4)))
        self.assertFalse(view.contradicts(report(4, "waco")))
        self.assertFalse(view.contradicts(report(6)))
