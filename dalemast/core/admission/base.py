"""The interface of an admission policy."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from dalemast.core.configuration import Account

__all__ = ["AdmissionRequest", "BaseAdmission", "Forecast"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """The forecast for a job, based on observed run times.

    ``queued_s`` is the work of the same account ahead of the job, in slot-seconds. ``drain_rate``
    is the number of slots that the account can expect to use. ``run_s`` is a high quantile of a
    task's run time, in seconds.
    """

    queued_s: float
    drain_rate: float
    run_s: float

    @property
    def finish_s(self) -> float:
        """The expected time until the last task of the job ends, in seconds."""
        return self.queued_s / max(self.drain_rate, 0.5) + self.run_s


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionRequest:
    """A job to admit, with the queued work of its account."""

    account: Account
    tasks: int
    size_bytes: int
    deadline_s: float
    queued_tasks: int
    queued_bytes: int
    forecast: Forecast


class BaseAdmission(abc.ABC):
    """Base of the admission policies."""

    @abc.abstractmethod
    def check(self, *, request: AdmissionRequest, entries: int, now: float) -> None:
        """Return if the job is admitted; raise a :class:`DalemastError` if it is refused.

        ``entries`` is the number of live entries, which share the account limits equally.
        """
