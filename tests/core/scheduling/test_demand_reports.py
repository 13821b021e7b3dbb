"""When an entry tells another what waits, under load that changes with each job."""

from __future__ import annotations

import itertools

import testtools

from dalemast.core.scheduling import QueuedDemand
from dalemast.core.scheduling.demand_reports import (
    REPORTS_PER_S,
    DemandSubscriber,
    get_demand_report_interval_s,
)

RENEWAL_S = 1.0
NEWS_S = 0.5


def make_words(*core_s: float) -> tuple[QueuedDemand, ...]:
    return tuple(
        QueuedDemand(service="floor", priority=priority, data_centre="", jobs=1, core_s=value)
        for priority, value in enumerate(core_s)
    )


class DemandAudienceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.audience = DemandSubscriber()

    def tell(self, words: tuple[QueuedDemand, ...], now: float) -> bool:
        """Tell a word if it is due; return whether it was."""
        is_due = self.audience.is_due(
            words, now=now, report_interval_s=NEWS_S, renewal_interval_s=RENEWAL_S
        )
        if is_due:
            self.audience.record_sent(words, now=now)
        return is_due

    def test_nothing_is_told_while_nothing_waits(self) -> None:
        self.assertEqual([False] * 50, [self.tell((), now=n / 10) for n in range(50)])

    def test_the_first_word_goes_out_at_once_and_its_end_too(self) -> None:
        self.assertTrue(self.tell(make_words(1.0), 1.0))
        self.assertTrue(self.tell((), 1.0 + NEWS_S))
        self.assertFalse(self.tell((), 9.0))

    def test_a_word_that_stands_is_renewed_before_it_fades(self) -> None:
        told = [n / 16 for n in range(200) if self.tell(make_words(1.0), n / 16)]
        pauses = [later - sooner for sooner, later in itertools.pairwise(told)]
        self.assertLess(max(pauses), 1.5 * RENEWAL_S)
        self.assertGreaterEqual(min(pauses), RENEWAL_S)

    def test_small_changes_wait_for_the_renewal(self) -> None:
        self.tell(make_words(10.0, 4.0), 1.0)
        self.assertFalse(self.tell(make_words(11.0, 4.5), 1.0 + NEWS_S))
        self.assertTrue(self.tell(make_words(11.0, 4.5), 1.0 + RENEWAL_S))

    def test_large_ones_and_new_priorities_wait_for_the_shorter_pause(self) -> None:
        for words in (make_words(20.0), make_words(5.0), make_words(10.0, 0.1), ()):
            self.audience = DemandSubscriber()
            self.tell(make_words(10.0), 1.0)
            self.assertFalse(self.tell(words, 1.0 + NEWS_S / 2))
            self.assertTrue(self.tell(words, 1.0 + NEWS_S))

    def test_load_that_swings_with_each_tick_stays_within_the_bound(self) -> None:
        for others in (1, 10, 34, 73):
            pause_s = get_demand_report_interval_s(others)
            audience = DemandSubscriber()
            told = 0
            for tick in range(160):
                now = tick / 16
                words = make_words(1.0 + 100 * (tick % 2))
                if audience.is_due(
                    words, now=now, report_interval_s=pause_s, renewal_interval_s=2 * pause_s
                ):
                    audience.record_sent(words, now=now)
                    told += 1
            self.assertLessEqual(told * others, REPORTS_PER_S * 10 + others)
