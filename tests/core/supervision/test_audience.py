"""When owners hear of a worker's room."""

from __future__ import annotations

from testtools import TestCase

from dalemast.core.supervision import RoomAudience, get_room_pause

PAUSE_S = 0.5


class RoomAudienceTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.audience = RoomAudience()

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
        self.audience.hasten()
        self.assertTrue(self._take_due(1.01))
        self.audience.note_change()
        self.assertFalse(self._take_due(1.02))

    def test_more_owners_hear_less_often_each(self) -> None:
        few = get_room_pause(is_near=True, owners=1)
        many = get_room_pause(is_near=True, owners=4)
        self.assertEqual(4 * few, many)
        self.assertLess(few, get_room_pause(is_near=False, owners=1))
