"""Errors of selectors."""

from dalemast.core.exceptions import DalemastError

__all__ = ["SelectorMatchesNothing", "SelectorSyntaxError"]


class SelectorSyntaxError(DalemastError):
    """The selector has a syntax error."""

    code = "E1201"
    status = 400
    hint = "Write requirements as key=value, key!=value, key in (a,b), key or !key, with commas."


class SelectorMatchesNothing(DalemastError):
    """No endpoint of the service has matching labels, so the job can never run."""

    code = "E1202"
    status = 422
    hint = "List the endpoints and their labels with: dalemast ctl get endpoints"
