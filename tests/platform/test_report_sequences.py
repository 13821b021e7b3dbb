"""Which of several writers under one id is believed to be the worker."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.workloads import Resources
from dalemast.platform.foreign import Fault, ForeignInput
from dalemast.platform.report_sequences import MAX_LINES, Account, ReportLine, ReportLines

PAUSE_S = 1.5
"""Pause between a worker's reports; from the platform."""
FOREIGN = st.tuples(st.integers(1, 3), st.integers(0, 2**53))
"""A foreign account and number."""


def make_account(number: int = 0) -> Account:
    capacity = Resources(cpu=1000 + number, memory_mb=1000)
    return Account(service="floor", capacity=capacity, labels=frozenset({"a"}))


def make_line(*, number: int = 1, account: int = 0) -> ReportLine:
    return ReportLine(account=make_account(account), number=number, now=0.0)


class ReportLineTests(testtools.TestCase):
    def get_fault(self, line: ReportLine, number: int, *, account: int = 0, now: float) -> Fault:
        error = self.assertRaises(ForeignInput, line.take, make_account(account), number, now=now)
        return error.fault

    def test_numbers_go_on_also_after_a_silence(self) -> None:
        line = make_line()
        self.assertTrue(line.take(make_account(), 2, now=1.5))
        self.assertTrue(line.take(make_account(), 100, now=60.0))

    def test_a_number_far_ahead_is_foreign(self) -> None:
        line = make_line()
        self.assertEqual(Fault.NUMBER_JUMPED, self.get_fault(line, 10**6, now=1.5))
        self.assertTrue(line.take(make_account(), 2, now=1.5))

    def test_another_account_is_foreign(self) -> None:
        line = make_line()
        self.assertEqual(Fault.OTHER_ACCOUNT, self.get_fault(line, 2, account=1, now=1.5))

    def play_after_goodbye(self, *, is_leaving: bool, pause_s: float) -> list[bool]:
        """Return after which reports the goodbye is taken for another writer's."""
        line = make_line()
        line.note_state(is_leaving=True, now=0.0)
        line.note_end()
        replaced = []
        for turn in range(1, 6):
            now = turn * pause_s
            line.take(make_account(), turn + 1, now=now)
            line.note_state(is_leaving=is_leaving, now=now)
            replaced.append(line.is_replaced)
        return replaced

    def test_a_goodbye_is_foreign_once_reports_go_on_and_say_that_the_life_stays(self) -> None:
        replaced = self.play_after_goodbye(is_leaving=False, pause_s=PAUSE_S)
        self.assertEqual([False, False, True, False, False], replaced)

    def test_a_goodbye_holds_against_late_reports_that_arrive_together(self) -> None:
        self.assertFalse(any(self.play_after_goodbye(is_leaving=False, pause_s=0.1)))

    def test_a_goodbye_holds_against_reports_that_the_life_leaves(self) -> None:
        self.assertFalse(any(self.play_after_goodbye(is_leaving=True, pause_s=PAUSE_S)))

    def test_a_capacity_that_changes_is_believed_once_it_is_said_again(self) -> None:
        """A room that has shrunk counts within a few seconds; a foreign one is contradicted."""
        line = make_line()
        self.assertEqual(Fault.OTHER_ACCOUNT, self.get_fault(line, 2, account=1, now=1.5))
        self.assertTrue(line.take(make_account(1), 3, now=3.0))
        self.assertFalse(line.is_replaced)
        self.assertTrue(line.take(make_account(1), 4, now=4.5))

    def test_a_capacity_that_changes_with_each_report_is_followed(self) -> None:
        line = make_line()
        taken = []
        for turn in range(1, 7):
            try:
                taken.append(line.take(make_account(turn), turn + 1, now=turn * PAUSE_S))
            except ForeignInput:
                taken.append(False)
        self.assertEqual([False, True] * 3, taken)

    def test_a_capacity_said_again_at_once_is_not_believed_yet(self) -> None:
        line = make_line()
        for number in (2, 3, 4):
            now = 1.5 + 0.1 * number
            self.assertEqual(Fault.OTHER_ACCOUNT, self.get_fault(line, number, account=1, now=now))

    def test_a_foreign_capacity_between_reports_is_never_believed(self) -> None:
        line = make_line()
        for turn in range(6):
            now = (turn + 1) * PAUSE_S
            fault = self.get_fault(line, 2 * turn + 2, account=1, now=now - 0.7)
            self.assertEqual(Fault.OTHER_ACCOUNT, fault)
            self.assertTrue(line.take(make_account(), 2 * turn + 3, now=now))

    def test_the_reason_names_what_differs(self) -> None:
        line = make_line()
        error = self.assertRaises(ForeignInput, line.take, make_account(1), 2, now=1.5)
        self.assertIn("capacity", error.detail)
        self.assertNotIn("service", error.detail)

    def test_a_worker_whose_id_another_writer_used_first_is_believed_in_the_end(self) -> None:
        line = make_line(number=10**9, account=1)
        taken = []
        for number in range(1, 5):
            try:
                taken.append(line.take(make_account(), number, now=number * PAUSE_S))
            except ForeignInput:
                taken.append(False)
        self.assertEqual([False, False, True, True], taken)

    def test_late_reports_that_arrive_together_are_no_other_line(self) -> None:
        line = make_line(number=9)
        late = [line.take(make_account(), number, now=0.1 * number) for number in (4, 5, 6, 7)]
        self.assertEqual([False] * 4, late)

    @given(st.lists(st.lists(FOREIGN, max_size=2), min_size=3, max_size=12))
    def test_foreign_reports_change_nothing_for_the_worker(
        self, between: list[list[tuple[int, int]]]
    ) -> None:
        """Up to two foreign reports between each two of the worker's, with any number."""
        line = make_line()
        for turn, foreign in enumerate(between):
            now = (turn + 1) * PAUSE_S
            for account, number in foreign:
                fault = self.get_fault(line, number, account=account, now=now - 0.1)
                self.assertEqual(Fault.OTHER_ACCOUNT, fault)
            self.assertTrue(line.take(make_account(), turn + 2, now=now))

    @given(st.lists(FOREIGN, min_size=1, max_size=6), st.lists(FOREIGN, max_size=6))
    def test_the_worker_is_believed_once_it_reports_alone(
        self, first: list[tuple[int, int]], later: list[tuple[int, int]]
    ) -> None:
        account, number = first[0]
        line = make_line(number=number, account=account)
        for turn, (account, number) in enumerate([*first[1:], *later]):
            try:
                line.take(make_account(account), number, now=turn * PAUSE_S)
            except ForeignInput:
                continue
        taken = []
        for number in range(1, 6):
            try:
                taken.append(line.take(make_account(), number, now=100.0 + number * PAUSE_S))
            except ForeignInput:
                taken.append(False)
        self.assertEqual([True] * 3, taken[2:])


class ReportLinesTests(testtools.TestCase):
    def test_ids_without_end_are_not_all_remembered(self) -> None:
        lines = ReportLines()
        for number in range(1000):
            lines.take("i-live", make_account(), number, is_leaving=False, now=float(number))
            lines.take(f"i-{number}", make_account(1), 1, is_leaving=False, now=float(number))
        self.assertEqual(MAX_LINES, len(lines))
        self.assertFalse(
            lines.take("i-live", make_account(), 999, is_leaving=False, now=1000.0),
            "the worker's own line was forgotten",
        )


class BirthTests(testtools.TestCase):
    """Lives that share an id are told apart by when they were born."""

    def take(self, lines: ReportLines, life_id: str, number: int, *, now: float, **fields) -> bool:
        is_leaving = fields.get("is_leaving", False)
        return lines.take(life_id, make_account(), number, is_leaving=is_leaving, now=now)

    def test_the_next_life_counts_anew(self) -> None:
        lines = ReportLines()
        self.assertTrue(self.take(lines, "i-1 1000", 500, now=0.0))
        self.assertTrue(self.take(lines, "i-1 2000", 1, now=1.5))
        self.assertTrue(self.take(lines, "i-1 2000", 2, now=3.0))

    def test_a_goodbye_is_that_of_the_life_that_leaves(self) -> None:
        lines = ReportLines()
        self.take(lines, "i-1 1000", 500, now=0.0, is_leaving=True)
        self.take(lines, "i-1 2000", 1, now=1.5)
        self.assertEqual("i-1 1000", lines.find_leaving("i-1"))
        self.take(lines, "i-1 2000", 2, now=3.0, is_leaving=True)
        self.assertEqual("i-1 2000", lines.find_leaving("i-1"))

    def test_a_goodbye_under_an_id_of_which_no_life_leaves_is_foreign(self) -> None:
        lines = ReportLines()
        self.take(lines, "i-1 1000", 500, now=0.0)
        error = self.assertRaises(ForeignInput, lines.find_leaving, "i-1")
        self.assertEqual(Fault.NOT_ANNOUNCED, error.fault)

    def test_a_report_that_does_not_say_it_is_foreign_where_others_do(self) -> None:
        lines = ReportLines()
        self.take(lines, "i-1 1000", 1, now=0.0)
        with self.assertRaises(ForeignInput) as raised:
            self.take(lines, "i-1", 2, now=1.5)
        self.assertEqual(Fault.FIELD_MISSING, raised.exception.fault)

    def test_a_worker_that_never_says_it_is_believed_in_the_end(self) -> None:
        """Another writer may have claimed its id first, with a birth."""
        lines = ReportLines()
        self.take(lines, "i-1 1000", 1, now=0.0)
        taken = []
        for number in range(1, 5):
            try:
                taken.append(self.take(lines, "i-1", number, now=number * PAUSE_S))
            except ForeignInput:
                taken.append(False)
        self.assertEqual([False, False, True, True], taken)
