"""Admission policies: by limits and expected finish time, and one that admits everything."""

from __future__ import annotations

from collections.abc import Callable

from dalemast.core.admission.base import AdmissionRequest, BaseAdmission
from dalemast.core.admission.exceptions import (
    AccountBusy,
    DeadlineUnreachable,
    QueueFull,
    RateExceeded,
)
from dalemast.core.admission.limits import TokenBucket

__all__ = ["DeadlineAdmission", "OpenAdmission", "get_admission"]

DEADLINE_SHARE = 0.8
"""The maximum forecast as a share of the deadline; the rest is a margin for forecast errors."""


class OpenAdmission(BaseAdmission):
    """Baseline: admit every job."""

    def check(self, *, request: AdmissionRequest, entries: int, now: float) -> None:
        """Admit the job."""


class DeadlineAdmission(BaseAdmission):
    """Refuse jobs that exceed the account's limits or are forecast to miss their deadline."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def check(self, *, request: AdmissionRequest, entries: int, now: float) -> None:
        """Check size, backlog and deadline, then take a token of the rate limit."""
        self._check_backlog(request, entries)
        self._check_deadline(request)
        self._check_rate(request, entries, now)

    def _check_backlog(self, request: AdmissionRequest, entries: int) -> None:
        limits = request.account.limits
        if request.tasks > limits.running_tasks:
            raise AccountBusy(
                f"{request.tasks} tasks exceed the limit of {limits.running_tasks} running tasks"
            )
        tasks = request.queued_tasks + request.tasks
        size = request.queued_bytes + request.size_bytes
        if tasks <= max(1, limits.queued_tasks // entries) and size <= max(
            1, limits.queued_bytes // entries
        ):
            return
        wait = request.forecast.queued_s / max(request.forecast.drain_rate, 0.5)
        raise QueueFull(
            f"the account has {request.queued_tasks} queued tasks", retry_after_s=max(wait, 0.1)
        )

    def _check_deadline(self, request: AdmissionRequest) -> None:
        finish = request.forecast.finish_s
        allowed = request.deadline_s * DEADLINE_SHARE
        if finish <= allowed:
            return
        raise DeadlineUnreachable(
            f"the job is expected to take {finish * 1000:.0f} ms,"
            f" the deadline is {request.deadline_s * 1000:.0f} ms",
            retry_after_s=max(finish - allowed, 0.1),
        )

    def _check_rate(self, request: AdmissionRequest, entries: int, now: float) -> None:
        limits = request.account.limits
        rate = limits.jobs_per_s / entries
        burst = limits.burst_jobs / entries
        bucket = self._buckets.get(request.account.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s=rate, burst=burst, now=now)
            self._buckets[request.account.name] = bucket
        bucket.set_rate(rate_per_s=rate, burst=burst)
        if not bucket.take(now=now):
            raise RateExceeded(
                f"the account may submit {limits.jobs_per_s:g} jobs per second",
                retry_after_s=bucket.get_wait_s(),
            )


_ADMISSIONS: dict[str, Callable[[], BaseAdmission]] = {
    "deadline": DeadlineAdmission,
    "open": OpenAdmission,
}


def get_admission(name: str) -> BaseAdmission:
    """Return the policy with the given name; raise KeyError if there is none."""
    return _ADMISSIONS[name]()
