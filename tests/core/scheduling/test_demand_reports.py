"""Tests for when an entry reports its queued work to another entry."""

from __future__ import annotations

import itertools

import testtools

from dalemast.core.scheduling import QueuedDemand
from dalemast.core.scheduling.demand_reports import (
    REPORTS_PER_S,
    DemandSubscriber,
    get_demand_report_interval_s,
)

RENEWAL_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 0.5


def make_demand(*core_s: float) -> tuple[QueuedDemand, ...]:
    return tuple(
        QueuedDemand(service="floor", priority=priority, data_centre="", jobs=1, core_s=value)
        for priority, value in enumerate(core_s)
    )


class DemandSubscriberTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.subscriber = DemandSubscriber()

    def send(self, demand: tuple[QueuedDemand, ...], now: float) -> bool:
        """Send a report if one is due; return whether it was."""
        is_due = self.subscriber.is_due(
            demand,
            now=now,
            report_interval_s=REPORT_INTERVAL_S,
            renewal_interval_s=RENEWAL_INTERVAL_S,
        )
        if is_due:
            self.subscriber.record_sent(demand, now=now)
        return is_due

    def test_nothing_is_sent_while_nothing_is_queued(self) -> None:
        self.assertEqual([False] * 50, [self.send((), now=n / 10) for n in range(50)])

    def test_the_first_report_is_sent_at_once_and_so_is_an_empty_one_after_it(self) -> None:
        self.assertTrue(self.send(make_demand(1.0), 1.0))
        self.assertTrue(self.send((), 1.0 + REPORT_INTERVAL_S))
        self.assertFalse(self.send((), 9.0))

    def test_an_unchanged_report_is_renewed_before_it_loses_weight(self) -> None:
        sent = [n / 16 for n in range(200) if self.send(make_demand(1.0), n / 16)]
        intervals = [later - earlier for earlier, later in itertools.pairwise(sent)]
        self.assertLess(max(intervals), 1.5 * RENEWAL_INTERVAL_S)
        self.assertGreaterEqual(min(intervals), RENEWAL_INTERVAL_S)

    def test_small_changes_wait_for_the_renewal(self) -> None:
        self.send(make_demand(10.0, 4.0), 1.0)
        self.assertFalse(self.send(make_demand(11.0, 4.5), 1.0 + REPORT_INTERVAL_S))
        self.assertTrue(self.send(make_demand(11.0, 4.5), 1.0 + RENEWAL_INTERVAL_S))

    def test_large_changes_and_new_priorities_wait_for_the_report_interval(self) -> None:
        for demand in (make_demand(20.0), make_demand(5.0), make_demand(10.0, 0.1), ()):
            self.subscriber = DemandSubscriber()
            self.send(make_demand(10.0), 1.0)
            self.assertFalse(self.send(demand, 1.0 + REPORT_INTERVAL_S / 2))
            self.assertTrue(self.send(demand, 1.0 + REPORT_INTERVAL_S))

    def test_the_report_rate_is_limited_when_the_load_changes_on_each_tick(self) -> None:
        for others in (1, 10, 34, 73):
            interval_s = get_demand_report_interval_s(others)
            subscriber = DemandSubscriber()
            sent = 0
            for tick in range(160):
                now = tick / 16
                demand = make_demand(1.0 + 100 * (tick % 2))
                if subscriber.is_due(
                    demand, now=now, report_interval_s=interval_s, renewal_interval_s=2 * interval_s
                ):
                    subscriber.record_sent(demand, now=now)
                    sent += 1
            self.assertLessEqual(sent * others, REPORTS_PER_S * 10 + others)
