"""How long polls wait, and what unanswered polls show."""

from __future__ import annotations

import testtools

from dalemast.core.supervision import PollSchedule
from dalemast.core.supervision.polls import (
    LOSSY_S,
    LOSSY_SLACK_S,
    LOSSY_WAIT_S,
    MAX_POLL_PAUSE_S,
    POLL_WAIT_S,
)

LOST_EVERY = 25
"""One of so many answers is lost."""
END_EVERY_S = 0.055
"""Interval between the ends of runs, in seconds."""
PROBE_S = 0.002


def replay(schedule: PollSchedule, *, learns: bool) -> float:
    """Simulate 20 s with lost answers; return the mean delay at which ends are observed."""
    now = 0.0
    seen = 0
    delays: list[float] = []
    for number in range(1, 10**6):
        plan = schedule.plan(has_runs=True, now=now)
        if number % LOST_EVERY:
            until_end_s = (seen + 1) * END_EVERY_S - now
            now += min(max(until_end_s, PROBE_S), max(plan.wait_s, PROBE_S))
            ended = int(now / END_EVERY_S + 1e-9)
            delays += [now - end * END_EVERY_S for end in range(seen + 1, ended + 1)]
            seen = ended
            schedule.note_answer(now=now) if learns else schedule.begin_incarnation()
        else:
            now += plan.wait_s + plan.slack_s
            schedule.note_unanswered()
        if now > 20.0:
            return sum(delays) / len(delays)
    raise AssertionError("the replay does not end")


class PollScheduleTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.schedule = PollSchedule()

    def get_wait_s(self, now: float) -> float:
        return self.schedule.plan(has_runs=True, now=now).wait_s

    def test_ends_are_observed_sooner_while_answers_are_lost(self) -> None:
        before_s = replay(PollSchedule(), learns=False)
        self.assertLess(replay(PollSchedule(), learns=True), 0.5 * before_s)

    def test_a_single_lost_answer_does_not_show_an_unresponsive_worker(self) -> None:
        self.schedule.note_unanswered()
        self.assertTrue(self.schedule.is_newly_unresponsive(now=1.0))
        self.schedule.note_answer(now=1.0)
        self.schedule.note_unanswered()
        self.assertFalse(self.schedule.is_newly_unresponsive(now=1.5))
        self.schedule.note_unanswered()
        self.assertTrue(self.schedule.is_newly_unresponsive(now=1.6))

    def test_polls_wait_for_a_shorter_time_while_answers_are_lost(self) -> None:
        self.schedule.note_unanswered()
        self.schedule.note_answer(now=1.0)
        plan = self.schedule.plan(has_runs=True, now=1.1)
        self.assertEqual((LOSSY_WAIT_S, LOSSY_SLACK_S), (plan.wait_s, plan.slack_s))
        self.assertTrue(plan.renews)

    def test_polls_wait_long_again_once_no_answers_are_lost(self) -> None:
        self.schedule.note_unanswered()
        self.schedule.note_answer(now=1.0)
        self.assertEqual(POLL_WAIT_S, self.get_wait_s(now=1.0 + LOSSY_S))

    def test_several_unanswered_polls_do_not_count_as_lost_answers(self) -> None:
        self.schedule.note_unanswered()
        self.schedule.note_unanswered()
        self.schedule.note_answer(now=1.0)
        self.assertEqual(POLL_WAIT_S, self.get_wait_s(now=1.0))

    def test_an_unresponsive_worker_is_polled_without_wait_or_renewal(self) -> None:
        self.schedule.note_unanswered()
        plan = self.schedule.plan(has_runs=True, now=1.0)
        self.assertEqual((0.0, False), (plan.wait_s, plan.renews))

    def test_pauses_double_up_to_a_bound(self) -> None:
        pauses = []
        for _ in range(7):
            self.schedule.note_unanswered()
            pauses.append(self.schedule.get_pause_s(lease_left_s=9.0))
        self.assertEqual([0.0, 0.02, 0.04, 0.08, 0.16, 0.16, 0.16], pauses)
        self.assertEqual(MAX_POLL_PAUSE_S, max(pauses))

    def test_the_last_pause_ends_with_the_lease(self) -> None:
        for _ in range(9):
            self.schedule.note_unanswered()
        self.assertEqual(0.051, round(self.schedule.get_pause_s(lease_left_s=0.05), 6))
