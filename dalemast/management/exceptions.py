"""Errors of the command line."""

from dalemast.core.exceptions import DalemastError

__all__ = ["NotInForce", "OutputInvalid", "PageUnknown", "RequestFailed"]


class RequestFailed(DalemastError):
    """A process sent an error response that is not one of dalemast's."""

    code = "E1951"
    status = 502
    hint = "Check that the address belongs to a dalemast process."


class OutputInvalid(DalemastError):
    """There is no such output format."""

    code = "E1952"
    status = 400
    hint = "Use table or json."


class NotInForce(DalemastError):
    """The change was accepted, but is not in force at every entry within the wait limit."""

    code = "E1953"
    status = 504
    hint = "dalemast ctl status shows which entries are behind or unreachable."


class PageUnknown(DalemastError):
    """There is no such reference page."""

    code = "E1954"
    status = 400
    hint = "Use errors or settings."
