"""``dalemast agent``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.agent import AgentProcess
from dalemast.management.roles import get_secret, load_role, read_system_key, start_logs
from dalemast.process import run_process
from dalemast.settings import AgentSettings

__all__ = ["AgentCommand"]


@cappa.command(name="agent", help="Run an agent: the process next to an endpoint.")
@dataclass(frozen=True, kw_only=True)
class AgentCommand:
    """Run an agent."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        settings = load_role(self.settings, AgentSettings)
        start_logs(settings.log, settings.name)

        def make() -> AgentProcess:
            return AgentProcess(
                settings=settings,
                system_key=read_system_key(settings),
                operators_token=get_secret(settings.operators_token, "operators_token"),
            )

        return run_process(make)
