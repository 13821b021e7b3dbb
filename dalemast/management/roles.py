"""What the commands that start a role share: settings, checks, secrets, logs."""

from __future__ import annotations

import importlib
import sys
from typing import Any, TypeVar

from dalemast.hosting import BasePlatform
from dalemast.observability import set_up_logs
from dalemast.settings import (
    AgentSettings,
    CheckLevel,
    EntrySettings,
    LogSettings,
    PlatformSettings,
    SecretSettings,
    SettingsFailCheck,
    load_settings,
    read_secret,
    run_checks,
)

__all__ = ["get_secret", "load_platform", "load_role", "read_system_key", "start_logs"]

SettingsT = TypeVar("SettingsT")


def load_role(file: str, settings_type: type[SettingsT]) -> SettingsT:
    """Load the settings of a role and run the checks; findings go to stderr.

    Raises :class:`SettingsInvalid` or :class:`SettingsFailCheck`.
    """
    settings = load_settings(file, settings_type) if file else settings_type()
    findings = run_checks(settings)  # type: ignore[arg-type]
    for finding in findings:
        print(finding, file=sys.stderr)
    errors = [finding for finding in findings if finding.level is CheckLevel.ERROR]
    if errors:
        raise SettingsFailCheck(f"{len(errors)} checks fail", place=file or "the defaults")
    return settings


def get_secret(source: SecretSettings, name: str) -> str:
    """Return a secret of the settings."""
    return read_secret(file=source.file, environment=source.environment, name=name)


def read_system_key(settings: EntrySettings | AgentSettings) -> bytes:
    """Return the system's key."""
    return get_secret(settings.system_key, "system_key").encode()


def load_platform(settings: PlatformSettings) -> BasePlatform:
    """Return the platform's backend, named by its dotted path."""
    module, _, name = settings.backend.rpartition(".")
    backend: Any = getattr(importlib.import_module(module), name)
    platform = backend(url=settings.url)
    assert isinstance(platform, BasePlatform)
    return platform


def start_logs(settings: LogSettings, process: str) -> None:
    """Send logs where the settings say."""
    set_up_logs(level=settings.level, destination=settings.destination, process=process)
