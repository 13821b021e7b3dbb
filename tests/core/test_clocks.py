"""The bound on the lead of another process's clock must never exceed the true lead."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.clocks import MinClockLead

DRIFT = 0.02
delays = st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 3.0)), min_size=1, max_size=10)


class MinClockLeadTests(testtools.TestCase):
    @given(delays, st.floats(0.0, DRIFT), st.floats(-1e4, 1e4))
    def test_it_is_never_more_than_the_true_lead(
        self, messages: list[tuple[float, float]], slow: float, ahead_s: float
    ) -> None:
        """Messages are sent after pauses and arrive after delays; the other clock goes slower."""
        lead = MinClockLead(drift=DRIFT)
        now = 0.0
        for pause_s, delay_s in messages:
            now += pause_s
            told = ahead_s + now * (1.0 - slow)
            now += delay_s
            lead.observe(told - now, now=now)
            self.assertLessEqual(lead.get(now=now), ahead_s - now * slow + 1e-6)

    def test_lead_is_unknown_before_the_first_message(self) -> None:
        lead = MinClockLead(drift=DRIFT)
        self.assertFalse(lead.is_known)
        self.assertEqual(float("-inf"), lead.get(now=1.0))

    def test_delayed_message_does_not_lower_the_bound(self) -> None:
        lead = MinClockLead(drift=DRIFT)
        lead.observe(10.0, now=0.0)
        lead.observe(9.0, now=1.0)
        self.assertAlmostEqual(10.0 - DRIFT, lead.get(now=1.0))

    def test_clocks_that_drift_faster_than_assumed_are_followed(self) -> None:
        """An old lead must not hide later ones when two hosts are slewed in opposite directions.

        Each by a rate of 0.0005, so that the clocks drift apart by twice the assumed drift.
        """
        lead = MinClockLead(drift=0.0005)
        for second in range(0, 3600, 5):
            now = float(second)
            lead.observe(10.0 - 0.001 * now, now=now)
        self.assertLess(lead.get(now=now) - (10.0 - 0.001 * now), 0.06)
