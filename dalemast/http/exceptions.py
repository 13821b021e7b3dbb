"""Errors of malformed or unauthorized requests."""

from dalemast.core.exceptions import DalemastError

__all__ = [
    "BadBody",
    "BadHeader",
    "BadToken",
    "BodyTooLarge",
    "InternalError",
    "NoSubmissionKey",
    "NotFound",
]


class BadBody(DalemastError):
    """The body is not valid JSON or does not match the schema; the place names the field."""

    code = "E1101"
    status = 400
    hint = "Compare the body with docs/reference/http.md."


class BodyTooLarge(DalemastError):
    """The body, a payload, the nesting or the number of tasks exceeds a limit."""

    code = "E1102"
    status = 413
    hint = "Split the job, or ask the operator about the platform's limits."


class BadToken(DalemastError):
    """No account has this token."""

    code = "E1103"
    status = 401
    hint = "Send Authorization: Bearer TOKEN with a token of a declared account."


class NoSubmissionKey(DalemastError):
    """A job has neither a ticket nor a key, so a resubmission could not be recognized."""

    code = "E1104"
    status = 428
    hint = "Send Submission-Ticket or Idempotency-Key."


class BadHeader(DalemastError):
    """A header is malformed."""

    code = "E1105"
    status = 400
    hint = "A key has 1 to 200 printable ASCII characters; send a ticket or a key, not both."


class NotFound(DalemastError):
    """There is no resource at this path, or it does not support the method."""

    code = "E1106"
    status = 404
    hint = "The paths are listed in docs/reference/http.md."


class InternalError(DalemastError):
    """An internal error of dalemast; the job may or may not have run."""

    code = "E1199"
    status = 500
    hint = "Please report it with the log of the process."
