"""The costs bench measures something of each kind; what it measures is no matter of tests."""

from __future__ import annotations

import msgspec

from dalemast.bench.costs import measure_call, measure_decisions, measure_frame
from tests.base import AsyncTestCase


class CostTests(AsyncTestCase):
    def test_calls_and_frames_are_measured(self) -> None:
        call = self.run_async(measure_call(loops=5))
        frame = self.run_async(measure_frame(loops=5))
        self.assertGreater(call.microseconds, 0.0)
        self.assertGreater(frame.microseconds, 0.0)

    def test_decisions_are_measured_and_fit_a_line_of_the_report(self) -> None:
        cost = measure_decisions(2, 6, seconds=1.0)
        self.assertGreater(cost.microseconds, 0.0)
        self.assertIn(b"2 owners, 6 workers", msgspec.json.encode(cost))
