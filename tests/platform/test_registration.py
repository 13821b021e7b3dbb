"""What a registration passes to its observer from a worker's report."""

from __future__ import annotations

import msgspec
import testtools

from dalemast.core.supervision import WorkerIncarnation
from dalemast.platform import PlatformRegistration
from tests.platform.reports import WORKER_ID, Observer, make_report, make_settings


class ReportTests(testtools.TestCase):
    def get_reported(self, report: dict[str, object]) -> list[WorkerIncarnation]:
        observer = Observer()
        registration = PlatformRegistration(settings=make_settings(), observer=observer)
        registration.handle_report(WORKER_ID, msgspec.json.encode(report))
        return observer.incarnations

    def test_the_clock_in_a_report_is_ignored(self) -> None:
        """The report may be foreign. Leases rely on the clock in the worker's responses only."""
        incarnations = [
            self.get_reported(make_report(clock_ms=clock_ms)) for clock_ms in (1.0, 482113.0)
        ]
        self.assertEqual(incarnations[0], incarnations[1])

    def test_a_report_may_omit_the_clock(self) -> None:
        report = make_report()
        del report["clock_ms"]
        self.assertEqual(self.get_reported(make_report()), self.get_reported(report))

    def test_the_remaining_time_is_converted_to_seconds(self) -> None:
        (incarnation,) = self.get_reported(make_report(state="draining", remaining_ms=2000))
        self.assertEqual(2.0, incarnation.remaining_s)
