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
    """The ticket's signature does not hold, or it is not a ticket."""

    code = "E1601"
    status = 400
    hint = "Get a ticket from POST /v1/tickets and send it unchanged."


class ForeignSubmission(DalemastError):
    """There is no such job, ticket or key for this account."""

    code = "E1602"
    status = 404
    hint = "Use the tickets and job names that were given to the same account."


class TicketExpired(DalemastError):
    """The ticket's life is over; nothing will start under it any more."""

    code = "E1603"
    status = 410
    hint = "Get a new ticket from POST /v1/tickets."


class SubmissionDiffers(DalemastError):
    """The same ticket or key was used before with another body."""

    code = "E1604"
    status = 409
    default_run = Run.MAY_HAVE_RUN
    hint = "Use a new ticket for each different job."


class AnswerForgotten(DalemastError):
    """The job ended and its answer is no longer kept."""

    code = "E1605"
    status = 410
    default_run = Run.MAY_HAVE_RUN
    hint = "The run field is exact; an operator can raise limits.kept_bytes."


class OwnerDraining(DalemastError):
    """This entry is stopping and takes no new job."""

    code = "E1608"
    status = 503
    hint = "Send the job, with a new ticket, through the balancer to another entry."


class OwnerLost(DalemastError):
    """The process that owned the submission is gone; nobody will start it any more."""

    code = "E1606"
    status = 502
    default_run = Run.MAY_HAVE_RUN
    hint = "If the ticket was never sent before, submit with a new one; else settle by hand."


class KeyUnproved(DalemastError):
    """The platform's table cannot tell whether the key was used before.

    This request started nothing, but an earlier one with the same key may have.
    """

    code = "E1607"
    status = 503
    default_run = Run.MAY_HAVE_RUN
    hint = "Submit again with the same key, or use tickets, which need no table."
