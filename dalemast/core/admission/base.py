"""The interface of an admission policy."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from dalemast.core.configuration import Account

__all__ = ["AdmissionRequest", "BaseAdmission", "Forecast"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """What is expected for a job, from what was observed. Seconds and slot-seconds.

    ``queued_s`` is the work of the same account ahead of the job, ``drain_rate`` the slots that
    this account can count on, ``run_s`` a high quantile of one task's run time.
    """

    queued_s: float
    drain_rate: float
    run_s: float

    @property
    def finish_s(self) -> float:
        """Seconds until the last task of the job is expected to be done."""
        return self.queued_s / max(self.drain_rate, 0.5) + self.run_s


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionRequest:
    """One job that asks to be taken on, and what its account has waiting already."""

    account: Account
    tasks: int
    size_bytes: int
    deadline_s: float
    queued_tasks: int
    queued_bytes: int
    forecast: Forecast


class BaseAdmission(abc.ABC):
    """Decide about one job."""

    @abc.abstractmethod
    def check(self, *, request: AdmissionRequest, entries: int, now: float) -> None:
        """Return to admit; raise a :class:`DalemastError` with ``retry_after_s`` to refuse.

        ``entries`` is the number of live entries, between which account limits are divided.
        """
