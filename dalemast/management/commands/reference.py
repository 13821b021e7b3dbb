"""``dalemast reference``: reference pages generated from the code."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

import dalemast
from dalemast.core.exceptions import get_error_classes
from dalemast.management.exceptions import PageUnknown
from dalemast.settings import FleetAgentSettings, FleetEntrySettings
from dalemast.settings import base as settings_base
from dalemast.settings import fleet as fleet_settings
from dalemast.settings.base import AgentSettings, EntrySettings, PlatformServerSettings, Settings

__all__ = ["ReferenceCommand", "render_errors", "render_settings"]

_ERRORS_HEADER = """# Error codes

Generated from the code by `dalemast reference errors`; a test checks that it is up to date. The run
column is the default of the error; the `run` field of a response is exact.

| code | status | name | run | meaning | what to do |
|---|---|---|---|---|---|
"""

_SETTINGS_HEADER = """# Settings

Generated from the code by `dalemast reference settings`; a test checks that it is up to date.
Settings are YAML; unknown keys are refused. `dalemast check FILE` reports errors without starting
a process.
"""

_ROLES: tuple[tuple[str, type[Settings]], ...] = (
    ("entry", EntrySettings),
    ("agent", AgentSettings),
    ("platform", PlatformServerSettings),
    ("fleet-entry", FleetEntrySettings),
    ("fleet-agent", FleetAgentSettings),
)


def render_errors() -> str:
    """Return the reference page of all error codes as Markdown."""
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
    return _ERRORS_HEADER + "\n".join(rows) + "\n"


def render_settings() -> str:
    """Return the reference page of all settings as Markdown."""
    parts = [_SETTINGS_HEADER]
    shown = {settings_type for _, settings_type in _ROLES}
    for role, settings_type in _ROLES:
        parts.append(_render_section(f"`dalemast {role}`", settings_type))
    names = dict.fromkeys(settings_base.__all__, settings_base)
    names |= dict.fromkeys(fleet_settings.__all__, fleet_settings)
    for name, module in names.items():
        settings_type = getattr(module, name)
        if settings_type not in shown and settings_type is not Settings:
            parts.append(_render_section(name, settings_type))
    return "\n".join(parts)


def _render_section(title: str, settings_type: type[Settings]) -> str:
    rows = [f"## {title}", "", " ".join((settings_type.__doc__ or "").split()), ""]
    rows += ["| key | type | default |", "|---|---|---|"]
    for field in msgspec.structs.fields(settings_type):
        rows.append(f"| `{field.name}` | {_get_type_name(field.type)} | {_get_default(field)} |")
    return "\n".join(rows) + "\n"


def _get_type_name(kind: Any) -> str:
    name = getattr(kind, "__name__", None)
    if name is None or getattr(kind, "__args__", None):
        name = str(kind).replace("dalemast.settings.base.", "")
        name = name.replace("dalemast.settings.fleet.", "")
    return name.replace("|", "or")


def _get_default(field: Any) -> str:
    if field.default_factory is not msgspec.NODEFAULT:
        return f"`{field.default_factory()!r}`"
    if field.default is msgspec.NODEFAULT:
        return "required"
    value = msgspec.to_builtins(field.default)
    return f"`{msgspec.json.encode(value).decode()}`"


_PAGES: dict[str, Callable[[], str]] = {"errors": render_errors, "settings": render_settings}


@cappa.command(name="reference", help="Print a reference page that is generated from the code.")
@dataclass(frozen=True, kw_only=True)
class ReferenceCommand:
    """Print a page as Markdown."""

    page: Annotated[str, cappa.Arg(help="errors or settings.")]
    output: Annotated[str, cappa.Arg(long=True, help="Write to this file instead.")] = ""

    def __call__(self) -> int:
        """Print or write the page."""
        if self.page not in _PAGES:
            raise PageUnknown(f"there is no page {self.page!r}", place="PAGE")
        text = _PAGES[self.page]()
        if self.output:
            Path(self.output).write_text(text)
        else:
            print(text, end="")
        return 0
