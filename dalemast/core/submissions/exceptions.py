"""Errors of submissions and their tickets."""

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run

__all__ = [
    "AnswerForgotten",
    "ForeignSubmission",
    "KeyUnproved",
    "OwnerDraining",
    "OwnerLost",
    "SubmissionDiffers",
    "TicketExpired",
    "TicketInvalid",
]


class TicketInvalid(DalemastError):
    """The text is not a ticket or its signature is invalid."""

    code = "E1601"
    status = 400
    hint = "Get a ticket from POST /v1/tickets and send it unchanged."


class ForeignSubmission(DalemastError):
    """This account has no such job, ticket or key."""

    code = "E1602"
    status = 404
    hint = "Use the tickets and job names that were given to the same account."


class TicketExpired(DalemastError):
    """The ticket has expired and can no longer start a job."""

    code = "E1603"
    status = 410
    hint = "Get a new ticket from POST /v1/tickets."


class SubmissionDiffers(DalemastError):
    """The same ticket or key was used before with a different body."""

    code = "E1604"
    status = 409
    default_run = Run.MAY_HAVE_RUN
    hint = "Use a new ticket for each different job."


class AnswerForgotten(DalemastError):
    """The job has ended and its answer is no longer stored."""

    code = "E1605"
    status = 410
    default_run = Run.MAY_HAVE_RUN
    hint = "The run field is still exact; an operator can raise limits.kept_bytes."


class OwnerDraining(DalemastError):
    """This entry is stopping and accepts no new jobs."""

    code = "E1608"
    status = 503
    hint = "Send the job, with a new ticket, through the balancer to another entry."


class OwnerLost(DalemastError):
    """The entry that owned the submission was lost; the job will not be started any more."""

    code = "E1606"
    status = 502
    default_run = Run.MAY_HAVE_RUN
    hint = "If this ticket was not sent before, submit with a new one; else check by hand."


class KeyUnproved(DalemastError):
    """The platform's table could not confirm whether the key was used before.

    This request started nothing, but an earlier one with the same key may have.
    """

    code = "E1607"
    status = 503
    default_run = Run.MAY_HAVE_RUN
    hint = "Submit again with the same key, or use tickets, which do not need the table."
