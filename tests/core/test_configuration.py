"""The configuration: validation, and a version that only increases."""

from __future__ import annotations

from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st

from dalemast.core.configuration import (
    Account,
    Configuration,
    ConfigurationHolder,
    ConfigurationInvalid,
    UnknownKind,
    parse_items,
    validate_configuration,
)

ENDPOINT = {
    "name": "e1",
    "worker": "w1",
    "data_centre": "austin",
    "agent": "10.0.0.1:8710",
    "services": ["s"],
}

# kind, items, place of the error
INVALID_ITEMS: list[tuple[str, Any, str]] = [
    ("accounts", [{"name": 5}], "$.accounts[0].name"),
    ("accounts", [{"name": "a", "colour": "red"}], "$.accounts[0]"),
    ("accounts", [{"name": "a", "limits": {"jobs_per_s": "many"}}], "$.accounts[0].limits"),
    ("endpoints", [{"name": "e"}], "$.endpoints[0]"),
    ("endpoints", [{**ENDPOINT, "state": "gone"}], "$.endpoints[0].state"),
    ("limits", "none", "$.limits"),
]

# changes to a valid endpoint, place of the error
INVALID_ENDPOINTS: list[tuple[dict[str, Any], str]] = [
    ({"agent": "worker.example:8710"}, "$.endpoints[0].agent"),
    ({"slots": 0}, "$.endpoints[0].slots"),
    ({"services": ["unknown"]}, "$.endpoints[0].services"),
    ({"labels": {"hall": "two words"}}, "$.endpoints[0].labels"),
    ({"name": "no spaces"}, "$.endpoints[0].name"),
]


class ValidationTests(testtools.TestCase):
    def test_invalid_items_are_refused_with_their_place(self) -> None:
        for kind, items, place in INVALID_ITEMS:
            error = self.assertRaises(ConfigurationInvalid, parse_items, kind, items)
            self.assertTrue(error.place.startswith(place), f"{error.place} for {items}")

    def test_unknown_kind_is_refused(self) -> None:
        self.assertRaises(UnknownKind, parse_items, "machines", [])

    def test_invalid_endpoints_are_refused_with_their_place(self) -> None:
        for change, place in INVALID_ENDPOINTS:
            configuration = self.make(endpoints=[{**ENDPOINT, **change}])
            error = self.assertRaises(ConfigurationInvalid, validate_configuration, configuration)
            self.assertEqual(error.place, place)

    def test_duplicate_name_is_refused(self) -> None:
        configuration = self.make(endpoints=[ENDPOINT, ENDPOINT])
        error = self.assertRaises(ConfigurationInvalid, validate_configuration, configuration)
        self.assertEqual(error.place, "$.endpoints[1].name")

    def test_valid_configuration_passes(self) -> None:
        validate_configuration(self.make(endpoints=[ENDPOINT]))

    def make(self, **kinds: Any) -> Configuration:
        parsed = {kind: parse_items(kind, items) for kind, items in kinds.items()}
        return Configuration(version=1, services=parse_items("services", [{"name": "s"}]), **parsed)


class HolderTests(testtools.TestCase):
    @given(st.lists(st.integers(1, 20), min_size=1, max_size=20))
    def test_version_in_force_is_the_highest_ever_offered(self, versions: list[int]) -> None:
        holder = ConfigurationHolder()
        highest = 0
        for version in versions:
            accounts = (Account(name=f"v{version}"),)
            is_newer = holder.offer(Configuration(version=version, accounts=accounts))
            self.assertEqual(is_newer, version > highest)
            highest = max(highest, version)
            self.assertEqual(holder.version, highest)
            self.assertEqual(list(holder.accounts), [f"v{highest}"])
