"""Errors of refused jobs. No task of such a job has run."""

from dalemast.core.exceptions import DalemastError

__all__ = ["AccountBusy", "DeadlineUnreachable", "QueueFull", "RateExceeded"]


class RateExceeded(DalemastError):
    """The account submits jobs faster than its limit."""

    code = "E1401"
    status = 429
    hint = "Wait for the time in Retry-After; an operator can raise limits.jobs_per_s."


class QueueFull(DalemastError):
    """The account has as many queued tasks or bytes as its limits allow."""

    code = "E1402"
    status = 429
    hint = "Wait for the time in Retry-After; an operator can raise limits.queued_tasks."


class DeadlineUnreachable(DalemastError):
    """By the observed run times and backlog, the job would miss its deadline."""

    code = "E1403"
    status = 503
    hint = "Wait for the time in Retry-After, or allow a longer deadline_ms."


class AccountBusy(DalemastError):
    """The job has more tasks than the account may run at once."""

    code = "E1404"
    status = 422
    hint = "Split the job; an operator can raise limits.running_tasks."
