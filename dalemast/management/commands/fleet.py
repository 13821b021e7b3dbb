"""``dalemast fleet-entry`` and ``dalemast fleet-agent``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.management.roles import load_role, start_logs
from dalemast.process import run_process
from dalemast.settings import FleetAgentSettings, FleetEntrySettings, SettingsInvalid

__all__ = ["FleetAgentCommand", "FleetEntryCommand"]

SETTINGS_VARIABLE = "DALEMAST_BOOT"
"""Names the settings file when the command line does not."""


def get_settings_file(named: str) -> str:
    """Return the settings file's path; raises :class:`SettingsInvalid` when there is none."""
    file = named or os.environ.get(SETTINGS_VARIABLE, "")
    if not file:
        raise SettingsInvalid("no settings file is named", place=f"--settings, {SETTINGS_VARIABLE}")
    return file


@cappa.command(name="fleet-entry", help="Run an entry on a platform with leased workers.")
@dataclass(frozen=True, kw_only=True)
class FleetEntryCommand:
    """Run an entry."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        from dalemast.fleet.entry import FleetEntryProcess

        file = get_settings_file(self.settings)
        settings = load_role(file, FleetEntrySettings)
        start_logs(settings.log, settings.name)
        return run_process(
            lambda: FleetEntryProcess(settings=settings),
            load_settings=lambda: load_role(file, FleetEntrySettings),
        )


@cappa.command(name="fleet-agent", help="Run an agent beside a leased worker.")
@dataclass(frozen=True, kw_only=True)
class FleetAgentCommand:
    """Run an agent."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        from dalemast.fleet.agent import FleetAgentProcess

        file = get_settings_file(self.settings)
        settings = load_role(file, FleetAgentSettings)
        start_logs(settings.log, settings.name)
        return run_process(
            lambda: FleetAgentProcess(settings=settings),
            load_settings=lambda: load_role(file, FleetAgentSettings),
        )
