"""Errors of jobs: those that cannot run at all and those that fail after admission."""

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run

__all__ = [
    "CallerGone",
    "DeadlinePassed",
    "EndpointFailed",
    "JobCancelled",
    "NothingCanRun",
    "UnknownService",
    "WorkerLost",
]


class UnknownService(DalemastError):
    """No service of this name is declared."""

    code = "E1501"
    status = 404
    hint = "Ask the operator which services exist: dalemast ctl get services"


class NothingCanRun(DalemastError):
    """Every endpoint that matches the job is leaving."""

    code = "E1502"
    status = 503
    hint = "Try another selector; the operator has taken these endpoints out of service."


class DeadlinePassed(DalemastError):
    """The deadline passed before every task was answered."""

    code = "E1503"
    status = 504
    hint = "Unless run is not_run, a new submission may run the work a second time."


class EndpointFailed(DalemastError):
    """The endpoint failed a task that had started; the task is not started again."""

    code = "E1504"
    status = 502
    default_run = Run.RAN
    hint = "Read the endpoint's message; submit again only work that is safe to repeat."


class WorkerLost(DalemastError):
    """The agent that held a task was lost, so it is unknown whether the task ran."""

    code = "E1505"
    status = 502
    default_run = Run.MAY_HAVE_RUN
    hint = "Check by hand any work that must not be repeated; submit the rest again."


class JobCancelled(DalemastError):
    """The job was cancelled by its account."""

    code = "E1506"
    status = 409
    hint = "The run field shows whether any of its tasks ran."


class CallerGone(DalemastError):
    """Every caller waiting for the job disconnected, so its unsent tasks were dropped."""

    code = "E1507"
    status = 409
    hint = "Submit with a new ticket when run says not_run."
