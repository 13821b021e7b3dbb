"""Label selectors, by which operators and callers choose endpoints without naming hosts."""

from dalemast.core.selectors.base import Requirement, Selector
from dalemast.core.selectors.exceptions import SelectorMatchesNothing, SelectorSyntaxError
from dalemast.core.selectors.index import LabelIndex
from dalemast.core.selectors.parser import parse_selector

__all__ = [
    "LabelIndex",
    "Requirement",
    "Selector",
    "SelectorMatchesNothing",
    "SelectorSyntaxError",
    "parse_selector",
]
