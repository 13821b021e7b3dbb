"""``dalemast errors``."""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

import dalemast
from dalemast.core.exceptions import get_error_classes

__all__ = ["ErrorsCommand", "render_errors"]

_HEADER = """# Error codes

Made from the code by `dalemast errors`; a test holds this page and the code together. The run
column is what the error says when nothing more is known; the `run` field of an answer is exact.

| code | status | name | run | meaning | what to do |
|---|---|---|---|---|---|
"""


def render_errors() -> str:
    """Return the page of all error codes as Markdown."""
    for module in pkgutil.walk_packages(dalemast.__path__, "dalemast."):
        if module.name.endswith(".exceptions"):
            importlib.import_module(module.name)
    rows = []
    for error in get_error_classes():
        meaning = " ".join((error.__doc__ or "").split())
        rows.append(
            f"| {error.code} | {error.status} | {error.__name__} | {error.default_run.value} "
            f"| {meaning} | {error.hint} |"
        )
    return _HEADER + "\n".join(rows) + "\n"


@cappa.command(name="errors", help="Print the list of all error codes.")
@dataclass(frozen=True, kw_only=True)
class ErrorsCommand:
    """Print the error codes as a Markdown page."""

    output: Annotated[str, cappa.Arg(long=True, help="Write to this file instead.")] = ""

    def __call__(self) -> int:
        """Print or write the page."""
        text = render_errors()
        if self.output:
            Path(self.output).write_text(text)
        else:
            print(text, end="")
        return 0
