"""Parse selectors such as ``hall=austin, tier in (gold, silver), !spare``."""

from __future__ import annotations

import re

from dalemast.core.selectors.base import Operator, Requirement, Selector
from dalemast.core.selectors.exceptions import SelectorSyntaxError

__all__ = ["MAX_SELECTOR_LENGTH", "parse_selector"]

MAX_SELECTOR_LENGTH = 1024
"""Maximum length in characters; longer selectors are refused before parsing."""

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,62})"
_SET = re.compile(rf"\s*({_NAME})\s+(in|notin)\s*\(([^()]*)\)\s*\Z")
_EQUALITY = re.compile(rf"\s*({_NAME})\s*(!=|==|=)\s*({_NAME})\s*\Z")
_EXISTENCE = re.compile(rf"\s*(!?)\s*({_NAME})\s*\Z")
_VALUE = re.compile(rf"{_NAME}\Z")
_COMMA_OUTSIDE_PARENTHESES = re.compile(r",(?![^(]*\))")


def parse_selector(text: str) -> Selector:
    """Parse a selector.

    Raise :class:`SelectorSyntaxError` with the place of the invalid requirement.
    """
    if len(text) > MAX_SELECTOR_LENGTH:
        raise SelectorSyntaxError(
            f"a selector has at most {MAX_SELECTOR_LENGTH} characters, not {len(text)}",
            place="$.selector",
        )
    if not text.strip():
        return Selector()
    parts = _COMMA_OUTSIDE_PARENTHESES.split(text)
    return Selector(
        requirements=tuple(_parse_requirement(part, number) for number, part in enumerate(parts))
    )


def _parse_requirement(text: str, number: int) -> Requirement:
    if match := _SET.match(text):
        return Requirement(
            key=match[1],
            operator=Operator(match[2]),
            values=_parse_values(match[3], number),
        )
    if match := _EQUALITY.match(text):
        operator = Operator.NOT_IN if match[2] == "!=" else Operator.IN
        return Requirement(key=match[1], operator=operator, values=frozenset({match[3]}))
    if match := _EXISTENCE.match(text):
        operator = Operator.MISSING if match[1] else Operator.EXISTS
        return Requirement(key=match[2], operator=operator)
    raise SelectorSyntaxError(
        f"requirement {number + 1} of the selector is invalid: {text.strip()!r}",
        place=f"$.selector[{number}]",
    )


def _parse_values(text: str, number: int) -> frozenset[str]:
    values = [value.strip() for value in text.split(",")]
    for value in values:
        if not _VALUE.match(value):
            raise SelectorSyntaxError(
                f"value {value!r} in requirement {number + 1} is not a valid label value",
                place=f"$.selector[{number}]",
            )
    return frozenset(values)
