"""A bitmap index that finds the endpoints matching a selector.

For each label value an integer has one bit set per endpoint with that value, so a requirement is
evaluated by bitwise operations for all endpoints at once. Results are cached by selector.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from dalemast.core.selectors.base import Operator, Requirement, Selector

__all__ = ["LabelIndex"]

MAX_CACHED_RESULTS = 4096


class LabelIndex:
    """An index over the labels of a fixed sequence of items.

    ``items`` are pairs of a name and its labels; results are tuples of names in the same order.
    """

    def __init__(self, *, items: Iterable[tuple[str, Mapping[str, str]]]) -> None:
        self._names: list[str] = []
        self._by_value: dict[str, dict[str, int]] = {}
        self._by_key: dict[str, int] = {}
        self._results: OrderedDict[Selector, tuple[str, ...]] = OrderedDict()
        for name, labels in items:
            self._add(name, labels)
        self._everything = (1 << len(self._names)) - 1

    def __len__(self) -> int:
        return len(self._names)

    def get_matches(self, selector: Selector) -> tuple[str, ...]:
        """Return the names of the items that meet a selector."""
        known = self._results.get(selector)
        if known is not None:
            return known
        bits = self._everything
        for requirement in selector.requirements:
            bits &= self._get_bits(requirement)
        names = self._expand(bits)
        self._results[selector] = names
        if len(self._results) > MAX_CACHED_RESULTS:
            self._results.popitem(last=False)
        return names

    def _add(self, name: str, labels: Mapping[str, str]) -> None:
        bit = 1 << len(self._names)
        self._names.append(name)
        for key, value in labels.items():
            values = self._by_value.setdefault(key, {})
            values[value] = values.get(value, 0) | bit
            self._by_key[key] = self._by_key.get(key, 0) | bit

    def _get_bits(self, requirement: Requirement) -> int:
        if requirement.operator is Operator.EXISTS:
            return self._by_key.get(requirement.key, 0)
        if requirement.operator is Operator.MISSING:
            return self._everything & ~self._by_key.get(requirement.key, 0)
        values = self._by_value.get(requirement.key, {})
        bits = 0
        for value in requirement.values:
            bits |= values.get(value, 0)
        if requirement.operator is Operator.NOT_IN:
            return self._everything & ~bits
        return bits

    def _expand(self, bits: int) -> tuple[str, ...]:
        names = []
        while bits:
            lowest = bits & -bits
            names.append(self._names[lowest.bit_length() - 1])
            bits ^= lowest
        return tuple(names)
