"""Errors of the platform's services."""

from dalemast.core.exceptions import DalemastError

__all__ = [
    "ConditionFailed",
    "PlatformAnswerLost",
    "PlatformBusy",
    "PlatformDown",
    "PlatformError",
]


class PlatformError(DalemastError):
    """A request to the platform's service failed or got no response."""

    code = "E1701"
    status = 503
    hint = "Jobs with tickets need no table and continue; retry configuration changes later."


class PlatformDown(PlatformError):
    """The service refused or could not be reached; nothing was written."""

    code = "E1702"
    hint = "Check the state of the platform; dalemast recovers by itself."


class PlatformBusy(PlatformError):
    """The service's limit of reads or writes per second is reached; nothing was written."""

    code = "E1703"
    status = 429
    hint = "Try again in a second."


class PlatformAnswerLost(PlatformError):
    """No response was received; a write may or may not have taken effect."""

    code = "E1704"
    status = 504
    hint = "Read the row back; it names its writer."


class ConditionFailed(PlatformError):
    """A row was not at the expected version; nothing was written."""

    code = "E1705"
    status = 409
    hint = "Read the row again and repeat the change on its current version."
