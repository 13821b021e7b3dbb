"""The parsed form of a selector."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Operator", "Requirement", "Selector"]


class Operator(enum.Enum):
    """The operator of a requirement on one label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


@dataclass(frozen=True, kw_only=True, slots=True)
class Requirement:
    """One condition on one label; ``values`` is empty for EXISTS and MISSING."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def is_met_by(self, labels: Mapping[str, str]) -> bool:
        """Return whether a set of labels meets this requirement."""
        value = labels.get(self.key)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.MISSING:
            return value is None
        if self.operator is Operator.IN:
            return value in self.values
        return value not in self.values


@dataclass(frozen=True, kw_only=True, slots=True)
class Selector:
    """Requirements that must all be met; an empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def is_met_by(self, labels: Mapping[str, str]) -> bool:
        """Return whether a set of labels meets every requirement."""
        return all(requirement.is_met_by(labels) for requirement in self.requirements)
