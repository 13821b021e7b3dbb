"""Failures of the platform's services."""

from dalemast.core.exceptions import DalemastError

__all__ = [
    "ConditionFailed",
    "PlatformAnswerLost",
    "PlatformBusy",
    "PlatformDown",
    "PlatformError",
]


class PlatformError(DalemastError):
    """The platform's service did not do what was asked, or did not say that it has."""

    code = "E1701"
    status = 503
    hint = "Ticketed jobs need no table and go on; changes have to wait."


class PlatformDown(PlatformError):
    """The service refused or could not be reached; nothing was written."""

    code = "E1702"
    hint = "Look at the platform's own state; dalemast needs nothing done."


class PlatformBusy(PlatformError):
    """The service's limit of reads or writes a second is reached; nothing was written."""

    code = "E1703"
    status = 429
    hint = "Try again in a second."


class PlatformAnswerLost(PlatformError):
    """No answer came: a write may or may not have taken effect. Read it back."""

    code = "E1704"
    status = 504
    hint = "Read the row back; it names its writer."


class ConditionFailed(PlatformError):
    """A row was not at the expected version; nothing was written."""

    code = "E1705"
    status = 409
    hint = "Read the row again and decide anew."
