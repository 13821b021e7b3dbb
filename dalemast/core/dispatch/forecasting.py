"""Forecast when a job would finish, from the backlog and the observed run times."""

from __future__ import annotations

from dalemast.core.admission import AdmissionRequest, Forecast
from dalemast.core.configuration import Account
from dalemast.core.dispatch.backlog import Backlog
from dalemast.core.dispatch.base import JobRequest
from dalemast.core.placement import AccountHealth

__all__ = ["ASSUMED_RUN_S", "Forecaster"]

HIGH_QUANTILE = 0.95
ASSUMED_RUN_S = 0.2
"""Assumed run time of a service that the account has not used yet, in seconds."""


class Forecaster:
    """Builds the requests that the admission policy checks."""

    def __init__(self, *, backlog: Backlog, health: AccountHealth) -> None:
        self._backlog = backlog
        self._health = health

    def make_request(
        self, *, account: Account, request: JobRequest, slots: int, entries: int
    ) -> AdmissionRequest:
        """Return the admission request of a job; ``slots`` counts those of its usable workers."""
        usage = self._backlog.get_usage(account.name)
        return AdmissionRequest(
            account=account,
            tasks=len(request.payloads),
            size_bytes=request.size_bytes,
            deadline_s=request.deadline_s,
            queued_tasks=usage.queued_tasks,
            queued_bytes=usage.queued_bytes,
            forecast=self._forecast(account, request, slots, entries),
        )

    def _forecast(
        self, account: Account, request: JobRequest, slots: int, entries: int
    ) -> Forecast:
        """Forecast the queueing time and the run time of the job's last task.

        Queueing time is a sum of run times, so it uses the mean. The last task alone may be slow,
        so its run time is a high quantile.
        """
        observations = self._health.get(account.name).get_service(request.service)
        mean = observations.run_times.get_mean(ASSUMED_RUN_S)
        queued = self._backlog.get_usage(account.name).queued_tasks
        excess_tasks = max(0, len(request.payloads) - self._count_free(slots, entries))
        return Forecast(
            queued_s=(queued + excess_tasks) * mean,
            drain_rate=self._get_drain_rate(account, slots, entries),
            run_s=observations.run_times.get(HIGH_QUANTILE, ASSUMED_RUN_S),
        )

    def _count_free(self, slots: int, entries: int) -> int:
        if len(self._backlog):
            return 0
        return max(0, slots // entries - self._backlog.get_running())

    def _get_drain_rate(self, account: Account, slots: int, entries: int) -> float:
        """Return the slots that the account can expect to use.

        With a backlog, other entries compete for the workers, so only the slots that this owner
        uses now are counted. The account gets its weighted share of them.
        """
        reachable = slots / entries
        if len(self._backlog):
            reachable = float(self._backlog.get_running())
        weights = self._backlog.active_weight
        if not self._backlog.get_usage(account.name).queued_tasks:
            weights += account.weight
        share = account.weight / max(weights, account.weight)
        return max(1.0, min(reachable, float(slots)) * share)
