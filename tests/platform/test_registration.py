"""What an agent takes from the reports of the worker on its host."""

from __future__ import annotations

import msgspec
import testtools

from dalemast.core.supervision import WorkerIncarnation
from dalemast.platform import PlatformRegistration
from tests.platform.reports import LIFE, Observer, make_report, make_settings


class ReportTests(testtools.TestCase):
    def take(self, report: dict[str, object]) -> list[WorkerIncarnation]:
        observer = Observer()
        registration = PlatformRegistration(settings=make_settings(), observer=observer)
        registration.take(LIFE, msgspec.json.encode(report))
        return observer.lives

    def test_the_clock_that_a_report_tells_changes_nothing(self) -> None:
        """Another writer may send it; leases count on the clock that the worker's answers tell."""
        lives = [self.take(make_report(clock_ms=clock_ms)) for clock_ms in (1.0, 482113.0)]
        self.assertEqual(lives[0], lives[1])

    def test_a_report_need_not_tell_a_clock(self) -> None:
        report = make_report()
        del report["clock_ms"]
        self.assertEqual(self.take(make_report()), self.take(report))

    def test_the_time_that_is_left_is_told_in_seconds(self) -> None:
        (life,) = self.take(make_report(state="draining", remaining_ms=2000))
        self.assertEqual(2.0, life.remaining_s)
