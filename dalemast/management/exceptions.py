"""Errors of the command line."""

from dalemast.core.exceptions import DalemastError

__all__ = ["NotInForce", "OutputInvalid", "PageUnknown", "RequestFailed"]


class RequestFailed(DalemastError):
    """A process answered with something that is not an error of dalemast."""

    code = "E1951"
    status = 502
    hint = "Is the address that of a dalemast process?"


class OutputInvalid(DalemastError):
    """There is no such output format."""

    code = "E1952"
    status = 400
    hint = "table is for people, json for scripts."


class NotInForce(DalemastError):
    """The change was accepted, but not every entry had it in force within the wait."""

    code = "E1953"
    status = 504
    hint = "dalemast ctl status shows which entries are behind or out of reach."


class PageUnknown(DalemastError):
    """There is no such page of the reference."""

    code = "E1954"
    status = 400
    hint = "errors and settings are made from the code."
