"""What an agent takes from the reports of the worker on its host."""

from __future__ import annotations

import msgspec
import testtools

from dalemast.core.supervision import WorkerLife
from dalemast.platform import PlatformRegistration
from tests.platform.reports import LIFE, Observer, make_report, make_settings


class ReportTests(testtools.TestCase):
    def take(self, report: dict[str, object]) -> list[WorkerLife]:
        observer = Observer()
        registration = PlatformRegistration(settings=make_settings(), observer=observer)
        registration.take(LIFE, msgspec.json.encode(report))
        return observer.lives

    def test_the_clock_of_the_worker_is_told_in_seconds(self) -> None:
        (life,) = self.take(make_report(clock_ms=482113.0))
        self.assertEqual(482.113, life.clock_s)

    def test_a_report_need_not_tell_a_clock(self) -> None:
        report = make_report()
        del report["clock_ms"]
        (life,) = self.take(report)
        self.assertIsNone(life.clock_s)

    def test_the_time_that_is_left_is_told_in_seconds(self) -> None:
        (life,) = self.take(make_report(state="draining", remaining_ms=2000))
        self.assertEqual(2.0, life.remaining_s)
