"""Refusals of admission. None of them has run anything."""

from dalemast.core.exceptions import DalemastError

__all__ = ["AccountBusy", "DeadlineUnreachable", "QueueFull", "RateExceeded"]


class RateExceeded(DalemastError):
    """The account submits jobs faster than its limit."""

    code = "E1401"
    status = 429
    hint = "Wait for the time in Retry-After; an operator can raise limits.jobs_per_s."


class QueueFull(DalemastError):
    """The account has as many tasks or bytes waiting as its limits allow."""

    code = "E1402"
    status = 429
    hint = "Wait for the time in Retry-After; an operator can raise limits.queued_tasks."


class DeadlineUnreachable(DalemastError):
    """By the run times and the backlog observed, the answer would come too late."""

    code = "E1403"
    status = 503
    hint = "Wait for the time in Retry-After, or allow a longer deadline_ms."


class AccountBusy(DalemastError):
    """More tasks than the account may ever run at once were asked for."""

    code = "E1404"
    status = 422
    hint = "Split the job; an operator can raise limits.running_tasks."
