"""Admission by limits and deadline, token buckets and the retry budget."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.admission import (
    AccountBusy,
    AdmissionRequest,
    DeadlineUnreachable,
    Forecast,
    QueueFull,
    RateExceeded,
    RetryBudget,
    TokenBucket,
    get_admission,
)
from dalemast.core.configuration import Account, Limits
from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run

LOW_LOAD = Forecast(queued_s=0.0, drain_rate=10.0, run_s=0.1)


def make_request(
    limits: Limits | None = None, forecast: Forecast = LOW_LOAD, **fields: float
) -> AdmissionRequest:
    values = {
        "tasks": 1,
        "size_bytes": 100,
        "deadline_s": 2.0,
        "queued_tasks": 0,
        "queued_bytes": 0,
        **fields,
    }
    account = Account(name="a", limits=limits or Limits())
    return AdmissionRequest(account=account, forecast=forecast, **values)  # type: ignore[arg-type]


# what, request, error
REFUSALS: list[tuple[str, AdmissionRequest, type[DalemastError]]] = [
    ("too many at once", make_request(Limits(running_tasks=2), tasks=3), AccountBusy),
    ("too many queued", make_request(Limits(queued_tasks=10), queued_tasks=10), QueueFull),
    ("too many bytes", make_request(Limits(queued_bytes=1000), queued_bytes=950), QueueFull),
    (
        "too late by the queue",
        make_request(forecast=Forecast(queued_s=30.0, drain_rate=10.0, run_s=0.1)),
        DeadlineUnreachable,
    ),
    (
        "too late by the run time",
        make_request(forecast=Forecast(queued_s=0.0, drain_rate=10.0, run_s=1.9)),
        DeadlineUnreachable,
    ),
]


class AdmissionTests(testtools.TestCase):
    def test_refusals_are_not_run_and_give_a_retry_time(self) -> None:
        for what, request, error_type in REFUSALS:
            admission = get_admission("deadline")
            error = self.assertRaises(
                error_type, admission.check, request=request, entries=1, now=0
            )
            self.assertIs(error.run, Run.NOT_RUN, what)
            if error_type is not AccountBusy:
                self.assertGreater(error.retry_after_s, 0, what)

    def test_request_within_all_limits_is_admitted(self) -> None:
        get_admission("deadline").check(request=make_request(), entries=1, now=0.0)

    def test_limits_are_divided_between_entries(self) -> None:
        admission = get_admission("deadline")
        request = make_request(Limits(jobs_per_s=10.0, burst_jobs=10.0))
        admitted = 0
        for _ in range(10):
            try:
                admission.check(request=request, entries=5, now=0.0)
                admitted += 1
            except RateExceeded as error:
                self.assertAlmostEqual(error.retry_after_s, 0.5, places=3)
        self.assertEqual(admitted, 2)

    def test_open_admission_admits_everything(self) -> None:
        for _, request, _ in REFUSALS:
            get_admission("open").check(request=request, entries=1, now=0.0)


class BucketTests(testtools.TestCase):
    @given(
        st.floats(0.5, 50.0),
        st.floats(1.0, 20.0),
        st.lists(st.floats(0.0, 1.0), min_size=1, max_size=60),
    )
    def test_never_more_than_the_burst_and_the_rate(
        self, rate: float, burst: float, pauses: list[float]
    ) -> None:
        bucket = TokenBucket(rate_per_s=rate, burst=burst, now=0.0)
        now = 0.0
        taken = 0
        for pause in pauses:
            now += pause
            taken += bucket.take(now=now)
            self.assertLessEqual(taken, burst + rate * now + 1e-6)

    def test_clock_that_goes_back_adds_no_tokens(self) -> None:
        bucket = TokenBucket(rate_per_s=1.0, burst=1.0, now=100.0)
        self.assertTrue(bucket.take(now=100.0))
        self.assertFalse(bucket.take(now=50.0))

    def test_retry_budget_is_limited_for_each_account_and_in_total(self) -> None:
        budget = RetryBudget(rate_per_s=3.0, now=0.0)
        own = [budget.take(account="a", rate_per_s=2.0, now=0.0) for _ in range(4)]
        self.assertEqual(own, [True, True, False, False])
        others = [budget.take(account="b", rate_per_s=2.0, now=0.0) for _ in range(2)]
        self.assertEqual(others, [True, False])
