"""``dalemast fleet-entry`` and ``dalemast fleet-agent``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.fleet.runner import run_agent, run_entry

__all__ = ["FleetAgentCommand", "FleetEntryCommand"]


@cappa.command(name="fleet-entry", help="Run an entry on a platform with leased workers.")
@dataclass(frozen=True, kw_only=True)
class FleetEntryCommand:
    """Run an entry."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        return run_entry(self.settings)


@cappa.command(name="fleet-agent", help="Run an agent next to a leased worker.")
@dataclass(frozen=True, kw_only=True)
class FleetAgentCommand:
    """Run an agent."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        return run_agent(self.settings)
