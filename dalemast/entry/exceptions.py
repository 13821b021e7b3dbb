"""Errors of an entry as a process."""

from dalemast.core.exceptions import DalemastError

__all__ = ["EntryDraining", "EntryNotReady"]


class EntryDraining(DalemastError):
    """This entry is stopping and takes no new job."""

    code = "E1901"
    status = 503
    hint = "Send the job, with a new ticket, through the balancer to another entry."


class EntryNotReady(DalemastError):
    """This entry has no configuration yet."""

    code = "E1902"
    status = 503
    hint = "Send the job through the balancer to another entry."
