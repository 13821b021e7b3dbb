"""When owners receive reports of a worker's capacity."""

from __future__ import annotations

from testtools import TestCase

from dalemast.core.scheduling import CapacityRequest
from dalemast.core.supervision import (
    CapacitySubscriber,
    find_most_urgent,
    get_capacity_report_interval_s,
)

INTERVAL_S = 0.5


class CapacitySubscriberTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.subscriber = CapacitySubscriber()

    def _take_due(self, now: float) -> bool:
        return self.subscriber.take_due(now=now, interval_s=INTERVAL_S)

    def test_nothing_is_due_before_a_change(self) -> None:
        self.assertFalse(self._take_due(1.0))

    def test_a_first_change_is_reported_at_once(self) -> None:
        self.subscriber.note_change()
        self.assertTrue(self._take_due(1.0))
        self.assertFalse(self._take_due(1.0))

    def test_further_changes_are_reported_once_after_the_interval(self) -> None:
        self.subscriber.note_change()
        self._take_due(1.0)
        self.subscriber.note_change()
        self.subscriber.note_change()
        self.assertFalse(self._take_due(1.0 + INTERVAL_S / 2))
        self.assertTrue(self.subscriber.is_due)
        self.assertTrue(self._take_due(1.0 + INTERVAL_S))
        self.assertFalse(self.subscriber.is_due)

    def test_an_urgent_report_does_not_wait_for_the_interval(self) -> None:
        self.subscriber.note_change()
        self._take_due(1.0)
        self.subscriber.mark_urgent()
        self.assertTrue(self._take_due(1.01))
        self.subscriber.note_change()
        self.assertFalse(self._take_due(1.02))

    def test_the_interval_grows_with_the_number_of_owners(self) -> None:
        few = get_capacity_report_interval_s(is_same_data_centre=True, owners=1)
        many = get_capacity_report_interval_s(is_same_data_centre=True, owners=4)
        self.assertEqual(4 * few, many)
        self.assertLess(few, get_capacity_report_interval_s(is_same_data_centre=False, owners=1))

    def test_a_new_request_makes_a_report_due_only_with_capacity_releases(self) -> None:
        request = CapacityRequest(rank=(1.0,), cpu=1000)
        self.subscriber.set_request(request, receives_releases=False)
        self.assertFalse(self.subscriber.is_due)
        self.subscriber.set_request(None, receives_releases=True)
        self.assertFalse(self.subscriber.is_due)
        self.subscriber.set_request(request, receives_releases=True)
        self.assertTrue(self._take_due(1.0))
        self.subscriber.set_request(request, receives_releases=True)
        self.assertFalse(self.subscriber.is_due)


class MostUrgentTests(TestCase):
    def make(self, *rank: float, cpu: int = 1000) -> CapacitySubscriber:
        subscriber = CapacitySubscriber()
        subscriber.request = CapacityRequest(rank=rank, cpu=cpu)
        return subscriber

    def test_the_most_urgent_request_that_fits_is_found(self) -> None:
        plain, urgent, large = self.make(1, 2), self.make(1, 1), self.make(0, 0, cpu=4000)
        subscribers = [plain, CapacitySubscriber(), urgent, large]
        self.assertIs(urgent, find_most_urgent(subscribers, free_cpu=3000))
        self.assertIs(large, find_most_urgent(subscribers, free_cpu=4000))

    def test_without_a_fitting_request_none_is_found(self) -> None:
        self.assertIsNone(find_most_urgent([CapacitySubscriber()], free_cpu=4000))
        self.assertIsNone(find_most_urgent([self.make(0)], free_cpu=500))
