"""Reports of a worker are told apart from foreign ones under the same id."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.workloads import Resources
from dalemast.platform.foreign import Fault, ForeignInput
from dalemast.platform.report_sequences import (
    MAX_SEQUENCES,
    ReportSequence,
    ReportSequences,
    WorkerProperties,
)

PAUSE_S = 1.5
"""Pause between a worker's reports, in seconds."""
FOREIGN = st.tuples(st.integers(1, 3), st.integers(0, 2**53))
"""A number that selects foreign properties (see make_properties), and a report number."""


def make_properties(number: int = 0) -> WorkerProperties:
    capacity = Resources(cpu=1000 + number, memory_mb=1000)
    return WorkerProperties(service="floor", capacity=capacity, labels=frozenset({"a"}))


def make_sequence(*, number: int = 1, account: int = 0) -> ReportSequence:
    return ReportSequence(properties=make_properties(account), number=number, now=0.0)


class ReportSequenceTests(testtools.TestCase):
    def get_fault(
        self, sequence: ReportSequence, number: int, *, account: int = 0, now: float
    ) -> Fault:
        error = self.assertRaises(
            ForeignInput, sequence.accept, make_properties(account), number, now=now
        )
        return error.fault

    def test_numbers_may_continue_after_a_pause(self) -> None:
        sequence = make_sequence()
        self.assertTrue(sequence.accept(make_properties(), 2, now=1.5))
        self.assertTrue(sequence.accept(make_properties(), 100, now=60.0))

    def test_a_number_far_ahead_is_foreign(self) -> None:
        sequence = make_sequence()
        self.assertEqual(Fault.NUMBER_JUMPED, self.get_fault(sequence, 10**6, now=1.5))
        self.assertTrue(sequence.accept(make_properties(), 2, now=1.5))

    def test_changed_properties_are_foreign(self) -> None:
        sequence = make_sequence()
        self.assertEqual(Fault.PROPERTIES_CHANGED, self.get_fault(sequence, 2, account=1, now=1.5))

    def list_restored(self, *, is_leaving: bool, pause_s: float) -> list[bool]:
        """Return for each report after a deregistration whether it restores the incarnation."""
        sequence = make_sequence()
        sequence.record_state(is_leaving=True, now=0.0)
        sequence.record_deregistration()
        restored = []
        for turn in range(1, 6):
            now = turn * pause_s
            sequence.accept(make_properties(), turn + 1, now=now)
            sequence.record_state(is_leaving=is_leaving, now=now)
            restored.append(sequence.is_restored)
        return restored

    def test_a_deregistration_is_foreign_if_reports_continue_without_leaving(self) -> None:
        restored = self.list_restored(is_leaving=False, pause_s=PAUSE_S)
        self.assertEqual([False, False, True, False, False], restored)

    def test_a_deregistration_is_not_reverted_by_a_burst_of_late_reports(self) -> None:
        self.assertFalse(any(self.list_restored(is_leaving=False, pause_s=0.1)))

    def test_a_deregistration_is_not_reverted_by_reports_of_leaving(self) -> None:
        self.assertFalse(any(self.list_restored(is_leaving=True, pause_s=PAUSE_S)))

    def test_a_changed_capacity_is_accepted_with_the_second_report(self) -> None:
        """Reduced capacity must take effect soon, or tasks would be sent to a full worker."""
        sequence = make_sequence()
        self.assertEqual(Fault.PROPERTIES_CHANGED, self.get_fault(sequence, 2, account=1, now=1.5))
        self.assertTrue(sequence.accept(make_properties(1), 3, now=3.0))
        self.assertFalse(sequence.is_restored)
        self.assertTrue(sequence.accept(make_properties(1), 4, now=4.5))

    def test_a_capacity_that_changes_with_each_report_is_accepted(self) -> None:
        sequence = make_sequence()
        accepted = []
        for turn in range(1, 7):
            try:
                accepted.append(
                    sequence.accept(make_properties(turn), turn + 1, now=turn * PAUSE_S)
                )
            except ForeignInput:
                accepted.append(False)
        self.assertEqual([False, True] * 3, accepted)

    def test_a_changed_capacity_in_a_burst_of_reports_is_rejected(self) -> None:
        sequence = make_sequence()
        for number in (2, 3, 4):
            now = 1.5 + 0.1 * number
            self.assertEqual(
                Fault.PROPERTIES_CHANGED, self.get_fault(sequence, number, account=1, now=now)
            )

    def test_a_foreign_capacity_between_reports_is_never_accepted(self) -> None:
        sequence = make_sequence()
        for turn in range(6):
            now = (turn + 1) * PAUSE_S
            fault = self.get_fault(sequence, 2 * turn + 2, account=1, now=now - 0.7)
            self.assertEqual(Fault.PROPERTIES_CHANGED, fault)
            self.assertTrue(sequence.accept(make_properties(), 2 * turn + 3, now=now))

    def test_the_reason_names_the_changed_properties(self) -> None:
        sequence = make_sequence()
        error = self.assertRaises(ForeignInput, sequence.accept, make_properties(1), 2, now=1.5)
        self.assertIn("capacity", error.detail)
        self.assertNotIn("service", error.detail)

    def test_a_worker_whose_id_was_first_used_by_foreign_reports_is_accepted_later(self) -> None:
        sequence = make_sequence(number=10**9, account=1)
        accepted = []
        for number in range(1, 5):
            try:
                accepted.append(sequence.accept(make_properties(), number, now=number * PAUSE_S))
            except ForeignInput:
                accepted.append(False)
        self.assertEqual([False, False, True, True], accepted)

    def test_a_burst_of_late_reports_does_not_replace_the_sequence(self) -> None:
        sequence = make_sequence(number=9)
        late = [
            sequence.accept(make_properties(), number, now=0.1 * number) for number in (4, 5, 6, 7)
        ]
        self.assertEqual([False] * 4, late)

    @given(st.lists(st.lists(FOREIGN, max_size=2), min_size=3, max_size=12))
    def test_foreign_reports_change_nothing_for_the_worker(
        self, between: list[list[tuple[int, int]]]
    ) -> None:
        """Up to two foreign reports between each two of the worker's, with any number."""
        line = make_sequence()
        for turn, foreign in enumerate(between):
            now = (turn + 1) * PAUSE_S
            for account, number in foreign:
                fault = self.get_fault(line, number, account=account, now=now - 0.1)
                self.assertEqual(Fault.PROPERTIES_CHANGED, fault)
            self.assertTrue(line.accept(make_properties(), turn + 2, now=now))

    def test_reports_that_differ_in_capacity_only_do_not_discard_a_candidate(self) -> None:
        """The worker's first two numbers were used by the foreign reports, so only its third report
        looks like a resize."""
        sequence = make_sequence(number=0, account=1)
        self.assertTrue(sequence.accept(make_properties(1), 2, now=0.0))
        self.assertEqual(Fault.PROPERTIES_CHANGED, self.get_fault(sequence, 1, now=100.0))
        self.assertEqual(Fault.PROPERTIES_CHANGED, self.get_fault(sequence, 2, now=101.5))
        self.assertTrue(sequence.accept(make_properties(), 3, now=103.0))
        self.assertTrue(sequence.is_restored)

    def test_a_late_report_between_does_not_delay_a_changed_capacity(self) -> None:
        sequence = make_sequence(number=5)
        self.assertEqual(Fault.PROPERTIES_CHANGED, self.get_fault(sequence, 6, account=1, now=1.5))
        self.assertFalse(sequence.accept(make_properties(), 3, now=1.6))
        self.assertTrue(sequence.accept(make_properties(1), 7, now=3.0))

    # Guards against a worker that is accepted one report late, after foreign reports under its id.
    @given(st.lists(FOREIGN, min_size=1, max_size=6), st.lists(FOREIGN, max_size=6))
    def test_the_worker_is_believed_once_it_reports_alone(
        self, first: list[tuple[int, int]], later: list[tuple[int, int]]
    ) -> None:
        account, number = first[0]
        line = make_sequence(number=number, account=account)
        for turn, (account, number) in enumerate([*first[1:], *later]):
            try:
                line.accept(make_properties(account), number, now=turn * PAUSE_S)
            except ForeignInput:
                continue
        taken = []
        for number in range(1, 6):
            try:
                taken.append(line.accept(make_properties(), number, now=100.0 + number * PAUSE_S))
            except ForeignInput:
                taken.append(False)
        self.assertEqual([True] * 3, taken[2:])


class ReportSequencesTests(testtools.TestCase):
    def test_the_number_of_tracked_incarnations_is_limited(self) -> None:
        sequences = ReportSequences()
        for number in range(1000):
            sequences.accept(
                "i-live", make_properties(), number, is_leaving=False, now=float(number)
            )
            sequences.accept(
                f"i-{number}", make_properties(1), 1, is_leaving=False, now=float(number)
            )
        self.assertEqual(MAX_SEQUENCES, len(sequences))
        self.assertFalse(
            sequences.accept("i-live", make_properties(), 999, is_leaving=False, now=1000.0),
            "the worker's own sequence was dropped",
        )


class SharedIdTests(testtools.TestCase):
    """Incarnations that share a worker id are told apart by the start time of their process."""

    def accept(
        self, sequences: ReportSequences, incarnation_id: str, number: int, *, now: float, **fields
    ) -> bool:
        is_leaving = fields.get("is_leaving", False)
        return sequences.accept(
            incarnation_id, make_properties(), number, is_leaving=is_leaving, now=now
        )

    def test_numbers_restart_with_the_next_incarnation(self) -> None:
        sequences = ReportSequences()
        self.assertTrue(self.accept(sequences, "i-1 1000", 500, now=0.0))
        self.assertTrue(self.accept(sequences, "i-1 2000", 1, now=1.5))
        self.assertTrue(self.accept(sequences, "i-1 2000", 2, now=3.0))

    def test_a_deregistration_applies_to_the_leaving_incarnation(self) -> None:
        sequences = ReportSequences()
        self.accept(sequences, "i-1 1000", 500, now=0.0, is_leaving=True)
        self.accept(sequences, "i-1 2000", 1, now=1.5)
        self.assertEqual("i-1 1000", sequences.find_leaving_incarnation("i-1"))
        self.accept(sequences, "i-1 2000", 2, now=3.0, is_leaving=True)
        self.assertEqual("i-1 2000", sequences.find_leaving_incarnation("i-1"))

    def test_a_deregistration_is_foreign_if_no_incarnation_is_leaving(self) -> None:
        sequences = ReportSequences()
        self.accept(sequences, "i-1 1000", 500, now=0.0)
        error = self.assertRaises(ForeignInput, sequences.find_leaving_incarnation, "i-1")
        self.assertEqual(Fault.UNANNOUNCED, error.fault)

    def test_a_report_without_a_start_time_is_foreign_if_others_have_one(self) -> None:
        sequences = ReportSequences()
        self.accept(sequences, "i-1 1000", 1, now=0.0)
        with self.assertRaises(ForeignInput) as raised:
            self.accept(sequences, "i-1", 2, now=1.5)
        self.assertEqual(Fault.FIELD_MISSING, raised.exception.fault)

    def test_a_worker_without_a_start_time_is_accepted_later(self) -> None:
        """Foreign reports with a start time may have used the worker's id first."""
        sequences = ReportSequences()
        self.accept(sequences, "i-1 1000", 1, now=0.0)
        accepted = []
        for number in range(1, 5):
            try:
                accepted.append(self.accept(sequences, "i-1", number, now=number * PAUSE_S))
            except ForeignInput:
                accepted.append(False)
        self.assertEqual([False, False, True, True], accepted)
