"""The OpenAPI file and the routes have the same paths and methods."""

from __future__ import annotations

import re
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import testtools
import yaml

from dalemast.agent.operators import get_operators_routes as get_agent_routes
from dalemast.entry.callers import get_caller_routes
from dalemast.entry.operators import get_operators_routes
from dalemast.http.base import BaseHandler

FILE = Path(__file__).parents[2] / "docs" / "reference" / "openapi.yaml"
METHODS = ("get", "put", "post", "delete")


def get_methods(handler: type) -> set[str]:
    own = set()
    for method in METHODS:
        if getattr(handler, method) is not getattr(BaseHandler, method):
            own.add(method)
    return own


def matches(pattern: str, path: str) -> bool:
    example = path.replace("{job}", "abc").replace("{kind}", "accounts").replace("{name}", "n")
    return re.fullmatch(pattern, example) is not None


class OpenApiTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.paths: dict[str, Any] = yaml.safe_load(FILE.read_text())["paths"]
        nothing: Any = SimpleNamespace(callers=None)
        arguments: dict[str, Any] = dict.fromkeys(("engine", "settings", "metrics"))
        self.routes = [
            *get_caller_routes(nothing),
            *get_operators_routes(nothing),
            *get_agent_routes(token="", **arguments),
        ]

    def test_every_path_of_the_file_is_served(self) -> None:
        for path, item in self.paths.items():
            served: set[str] = set()
            for pattern, handler, _ in self.routes:
                if matches(pattern, path):
                    served |= get_methods(handler)
            described = set(item) & set(METHODS)
            self.assertTrue(described <= served, f"{path}: {described} of {served}")

    def test_every_route_is_in_the_file(self) -> None:
        for pattern, handler, _ in self.routes:
            described: set[str] = set()
            for path, item in self.paths.items():
                if matches(pattern, path):
                    described |= set(item) & set(METHODS)
            self.assertTrue(get_methods(handler) <= described, pattern)
