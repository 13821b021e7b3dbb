"""When owners hear of a worker's room."""

from __future__ import annotations

from testtools import TestCase

from dalemast.core.scheduling import CapacityRequest
from dalemast.core.supervision import (
    CapacitySubscriber,
    find_most_urgent,
    get_capacity_report_interval_s,
)

PAUSE_S = 0.5


class RoomAudienceTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.audience = CapacitySubscriber()

    def _take_due(self, now: float) -> bool:
        return self.audience.take_due(now=now, pause_s=PAUSE_S)

    def test_nothing_is_due_before_a_change(self) -> None:
        self.assertFalse(self._take_due(1.0))

    def test_a_first_change_is_told_at_once(self) -> None:
        self.audience.note_change()
        self.assertTrue(self._take_due(1.0))
        self.assertFalse(self._take_due(1.0))

    def test_further_changes_wait_for_the_pause_and_are_told_once(self) -> None:
        self.audience.note_change()
        self._take_due(1.0)
        self.audience.note_change()
        self.audience.note_change()
        self.assertFalse(self._take_due(1.0 + PAUSE_S / 2))
        self.assertTrue(self.audience.is_due)
        self.assertTrue(self._take_due(1.0 + PAUSE_S))
        self.assertFalse(self.audience.is_due)

    def test_the_end_of_an_own_run_is_told_without_a_pause(self) -> None:
        self.audience.note_change()
        self._take_due(1.0)
        self.audience.mark_urgent()
        self.assertTrue(self._take_due(1.01))
        self.audience.note_change()
        self.assertFalse(self._take_due(1.02))

    def test_more_owners_hear_less_often_each(self) -> None:
        few = get_capacity_report_interval_s(is_same_data_centre=True, owners=1)
        many = get_capacity_report_interval_s(is_same_data_centre=True, owners=4)
        self.assertEqual(4 * few, many)
        self.assertLess(few, get_capacity_report_interval_s(is_same_data_centre=False, owners=1))

    def test_an_owner_that_begins_to_lack_room_is_due_only_if_it_hears_of_coming_room(self) -> None:
        want = CapacityRequest(rank=(1.0,), cpu=1000)
        self.audience.set_request(want, receives_releases=False)
        self.assertFalse(self.audience.is_due)
        self.audience.set_request(None, receives_releases=True)
        self.assertFalse(self.audience.is_due)
        self.audience.set_request(want, receives_releases=True)
        self.assertTrue(self._take_due(1.0))
        self.audience.set_request(want, receives_releases=True)
        self.assertFalse(self.audience.is_due)


class NeediestTests(TestCase):
    def make(self, *rank: float, cpu: int = 1000) -> CapacitySubscriber:
        audience = CapacitySubscriber()
        audience.request = CapacityRequest(rank=rank, cpu=cpu)
        return audience

    def test_the_most_urgent_want_that_fits_is_offered_the_room(self) -> None:
        plain, urgent, large = self.make(1, 2), self.make(1, 1), self.make(0, 0, cpu=4000)
        audiences = [plain, CapacitySubscriber(), urgent, large]
        self.assertIs(urgent, find_most_urgent(audiences, free_cpu=3000))
        self.assertIs(large, find_most_urgent(audiences, free_cpu=4000))

    def test_nobody_is_offered_room_that_nobody_wants(self) -> None:
        self.assertIsNone(find_most_urgent([CapacitySubscriber()], free_cpu=4000))
        self.assertIsNone(find_most_urgent([self.make(0)], free_cpu=500))
