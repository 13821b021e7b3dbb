"""Start a fleet role from its settings file.

This module imports only what the role needs, and not the command line, to keep the start fast: no
jobs are served until these processes are up again after a power loss.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from dalemast.observability import set_up_logs
from dalemast.process import BaseProcess, run_process
from dalemast.settings import (
    FleetAgentSettings,
    FleetEntrySettings,
    FleetSettings,
    SettingsInvalid,
    load_role,
)

__all__ = ["ROLES", "run_agent", "run_entry"]

SETTINGS_VARIABLE = "DALEMAST_BOOT"
"""Environment variable with the path of the settings file, used without a command line option."""


def run_entry(file: str = "") -> int:
    """Run an entry until it is told to stop; return its exit code."""

    def make(settings: FleetEntrySettings) -> BaseProcess:
        from dalemast.fleet.entry import FleetEntryProcess

        return FleetEntryProcess(settings=settings)

    return _run(file, FleetEntrySettings, make)


def run_agent(file: str = "") -> int:
    """Run an agent until it is told to stop; return its exit code."""

    def make(settings: FleetAgentSettings) -> BaseProcess:
        from dalemast.fleet.agent import FleetAgentProcess

        return FleetAgentProcess(settings=settings)

    return _run(file, FleetAgentSettings, make)


ROLES: dict[str, Callable[[], int]] = {"fleet-agent": run_agent, "fleet-entry": run_entry}
"""Roles that start without options, by command name."""


def _run(file: str, settings_type: type[FleetSettings], make: Callable[..., BaseProcess]) -> int:
    path = file or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsInvalid("no settings file is named", place=f"--settings, {SETTINGS_VARIABLE}")
    settings = load_role(path, settings_type)
    set_up_logs(
        level=settings.log.level, destination=settings.log.destination, process=settings.name
    )
    return run_process(lambda: make(settings), load_settings=lambda: load_role(path, settings_type))
