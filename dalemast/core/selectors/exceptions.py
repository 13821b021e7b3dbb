"""Errors of selectors."""

from dalemast.core.exceptions import DalemastError

__all__ = ["SelectorMatchesNothing", "SelectorSyntaxError"]


class SelectorSyntaxError(DalemastError):
    """The selector does not parse."""

    code = "E1201"
    status = 400
    hint = "Write requirements as key=value, key!=value, key in (a,b), key or !key, with commas."


class SelectorMatchesNothing(DalemastError):
    """No endpoint that serves the service carries the labels: the job can never run."""

    code = "E1202"
    status = 422
    hint = "List the endpoints and their labels with: dalemast ctl get endpoints"
