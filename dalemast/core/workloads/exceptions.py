"""Errors raised when a job is rejected, refused or given up."""

from __future__ import annotations

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run

__all__ = [
    "CancelNotConfirmed",
    "JobGivenUp",
    "JobNotSupported",
    "JobNotTaken",
    "JobShapeInvalid",
    "QueueUnknown",
    "QueuesUnknown",
]


class QueueUnknown(DalemastError):
    """The configuration in force has no queue for this host name and path."""

    code = "E2001"
    status = 404
    hint = "Check the host name and the path prefix against the configuration."


class QueuesUnknown(DalemastError):
    """This process has no configuration yet, so it can't tell which queues exist."""

    code = "E2002"
    status = 503
    hint = "Try another entry, or the same one in a second."


class JobShapeInvalid(DalemastError):
    """The job's body does not describe a job."""

    code = "E2003"
    status = 400
    hint = "The place names the field."


class JobNotSupported(DalemastError):
    """The job asks for something that this version does not serve; none of it has run."""

    code = "E2004"
    status = 503
    hint = "docs/topics/fleet.md lists what is served."


class JobNotTaken(DalemastError):
    """The job could not be begun in time; none of it has run nor ever will."""

    code = "E2005"
    status = 503
    hint = "Come back after the time given."


class JobGivenUp(DalemastError):
    """The job may have run in part and is not followed here any more."""

    code = "E2006"
    status = 502
    hint = "Submit it again with the same id: it never runs twice at the same time."
    default_run = Run.MAY_HAVE_RUN


class CancelNotConfirmed(DalemastError):
    """The job may still be running at an entry that did not answer the request to cancel it."""

    code = "E2007"
    status = 503
    hint = "Send the request again after the time given, to any entry."
    default_run = Run.MAY_HAVE_RUN
