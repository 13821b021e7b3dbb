"""Errors of the entry process."""

from dalemast.core.exceptions import DalemastError

__all__ = ["EntryNotReady"]


class EntryNotReady(DalemastError):
    """This entry has no configuration yet."""

    code = "E1901"
    status = 503
    hint = "Send the job through the balancer to another entry."
