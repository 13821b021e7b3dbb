"""Runs of a lost owner must end before a caller may resubmit the job."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.fleet.timing import WORKER_CLOCK_ERROR, FleetTimes
from dalemast.settings import (
    AddressSettings,
    FleetEntrySettings,
    ListenerSettings,
    run_checks,
)


def make_settings(**fields: object) -> FleetEntrySettings:
    listener = ListenerSettings(address="10.0.0.1:80")
    values = {
        "name": "e",
        "data_centre": "austin",
        "metrics": ListenerSettings(address="10.0.0.1:81"),
        "store": AddressSettings(address="10.0.0.2:80"),
        "callers": listener,
        "readiness": ListenerSettings(address="10.0.0.1:82"),
        "links": ListenerSettings(address="10.0.0.1:83"),
    }
    return FleetEntrySettings(**{**values, **fields})


class FleetTimesTests(testtools.TestCase):
    @given(st.floats(0.5, 10.0), st.floats(0.1, 5.0), st.floats(0.01, 0.1))
    def test_lost_runs_end_before_a_caller_may_submit_again(
        self, resend_s: float, lease_max_s: float, stop_s: float
    ) -> None:
        times = FleetTimes.fit(resend_s=resend_s, lease_max_s=lease_max_s, stop_s=stop_s)
        self.assertLess(times.lost_run_s, resend_s)
        self.assertLessEqual(times.lease_s, lease_max_s)
        self.assertLess(3 * times.heartbeat_interval_s, times.owner_timeout_s)

    def test_lost_run_s_covers_the_owner_timeout_the_lease_and_the_stop(self) -> None:
        """The lease may be renewed at the end of the owner timeout, and lasts longer on a slow
        worker clock."""
        times = FleetTimes.fit(resend_s=1.3, lease_max_s=1.0, stop_s=0.05)
        max_run_s = times.owner_timeout_s + times.lease_s / (1.0 - WORKER_CLOCK_ERROR)
        self.assertGreaterEqual(times.lost_run_s, max_run_s + times.stop_s + times.margin_s)

    def test_the_default_times_are_not_scaled_down(self) -> None:
        times = FleetTimes.fit(resend_s=1.3, lease_max_s=1.0, stop_s=0.05)
        self.assertAlmostEqual(FleetTimes().lost_run_s, times.lost_run_s)


class CheckTests(testtools.TestCase):
    def test_valid_settings_pass(self) -> None:
        self.assertEqual([], [f.id for f in run_checks(make_settings()) if "E" in f.id])

    def test_invalid_settings_are_reported(self) -> None:
        cases = [
            ({"seeds": ("nowhere",)}, "dalemast.E014", "$.seeds[0]"),
            ({"store": AddressSettings(address="store")}, "dalemast.E014", "$.store.address"),
            ({"resend_ms": 200.0}, "dalemast.E015", "$.resend_ms"),
            ({"lease_max_ms": 100.0}, "dalemast.E015", "$.resend_ms"),
        ]
        for fields, finding_id, place in cases:
            found = [(f.id, f.place) for f in run_checks(make_settings(**fields))]
            self.assertIn((finding_id, place), found)
