"""Helpers of the commands that start a role: settings, secrets, platform and logs."""

from __future__ import annotations

import importlib
from typing import Any

from dalemast.hosting import BasePlatform
from dalemast.observability import set_up_logs
from dalemast.settings import (
    AgentSettings,
    EntrySettings,
    LogSettings,
    PlatformSettings,
    SecretSettings,
    load_role,
    read_secret,
)

__all__ = ["get_secret", "load_platform", "load_role", "read_system_key", "start_logs"]


def get_secret(source: SecretSettings, name: str) -> str:
    """Read the secret from the source given in the settings."""
    return read_secret(file=source.file, environment=source.environment, name=name)


def read_system_key(settings: EntrySettings | AgentSettings) -> bytes:
    """Return the key that all processes of the system share."""
    return get_secret(settings.system_key, "system_key").encode()


def load_platform(settings: PlatformSettings) -> BasePlatform:
    """Import and create the platform's backend."""
    module, _, name = settings.backend.rpartition(".")
    backend: Any = getattr(importlib.import_module(module), name)
    platform = backend(url=settings.url)
    assert isinstance(platform, BasePlatform)
    return platform


def start_logs(settings: LogSettings, process: str) -> None:
    """Configure the logs according to the settings."""
    set_up_logs(level=settings.level, destination=settings.destination, process=process)
