"""Failures of a job that was admitted or could never be."""

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
    """Endpoints match, but every one of them is leaving."""

    code = "E1502"
    status = 503
    hint = "Try another selector; the operator has taken these endpoints out of service."


class DeadlinePassed(DalemastError):
    """The deadline came before the answer was complete."""

    code = "E1503"
    status = 504
    hint = "The run field tells whether a new submission can run the work a second time."


class EndpointFailed(DalemastError):
    """The endpoint did not answer a task that was started; it is not started again."""

    code = "E1504"
    status = 502
    default_run = Run.RAN
    hint = "Read the message of the endpoint; submit anew only what may be repeated."


class WorkerLost(DalemastError):
    """The agent that held a task is gone, so nobody can say whether the task ran."""

    code = "E1505"
    status = 502
    default_run = Run.MAY_HAVE_RUN
    hint = "Settle by hand what may not be repeated; anything else can be submitted anew."


class JobCancelled(DalemastError):
    """The job was cancelled by its account."""

    code = "E1506"
    status = 409
    hint = "The run field tells whether some of it ran before."


class CallerGone(DalemastError):
    """Every caller that waited for the job hung up, and what still waited was dropped."""

    code = "E1507"
    status = 409
    hint = "Submit with a new ticket when run says not_run."
