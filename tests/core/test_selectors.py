"""Selectors: valid and invalid texts, and the index compared with direct matching."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.selectors import LabelIndex, SelectorSyntaxError, parse_selector

VALID = [
    ("", {"hall": "austin"}, True),
    ("hall=austin", {"hall": "austin"}, True),
    ("hall==austin", {"hall": "waco"}, False),
    ("hall!=austin", {"hall": "waco"}, True),
    ("hall!=austin", {}, True),
    ("hall in (austin, waco)", {"hall": "waco"}, True),
    ("hall notin (austin,waco)", {"hall": "temple"}, True),
    ("hall", {"hall": "x"}, True),
    ("!hall", {"hall": "x"}, False),
    ("hall=austin, tier in (gold,silver), !spare", {"hall": "austin", "tier": "gold"}, True),
]

INVALID = ["=", "hall=", "hall in austin", "hall in ()", "a=b,,c=d", "a=b;c=d", "hall in (a", "é=1"]

LABELS = st.dictionaries(st.sampled_from("abc"), st.sampled_from("xyz"))
REQUIREMENTS = st.sampled_from(
    ["a=x", "a!=x", "b in (x,y)", "b notin (x,y)", "c", "!c", "a=z", "c!=y"]
)


class ParserTests(testtools.TestCase):
    def test_valid_selectors_match_as_written(self) -> None:
        for text, labels, is_met in VALID:
            self.assertEqual(parse_selector(text).is_met_by(labels), is_met, text)

    def test_invalid_selectors_are_refused_with_their_place(self) -> None:
        for text in INVALID:
            error = self.assertRaises(SelectorSyntaxError, parse_selector, text)
            self.assertTrue(error.place.startswith("$.selector"), text)

    def test_long_selector_is_refused_unparsed(self) -> None:
        self.assertRaises(SelectorSyntaxError, parse_selector, "a=b," * 1000)


class IndexTests(testtools.TestCase):
    @given(st.lists(LABELS, max_size=12), st.lists(REQUIREMENTS, max_size=4))
    def test_index_finds_what_plain_matching_finds(
        self, items: list[dict[str, str]], requirements: list[str]
    ) -> None:
        selector = parse_selector(",".join(requirements))
        named = [(f"e{number}", labels) for number, labels in enumerate(items)]
        index = LabelIndex(items=named)
        wanted = tuple(name for name, labels in named if selector.is_met_by(labels))
        self.assertEqual(index.get_matches(selector), wanted)
        self.assertEqual(index.get_matches(selector), wanted)
