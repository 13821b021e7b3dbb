"""``dalemast entry``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.entry import EntryProcess
from dalemast.management.roles import (
    get_secret,
    load_platform,
    load_role,
    read_system_key,
    start_logs,
)
from dalemast.process import run_process
from dalemast.settings import EntrySettings

__all__ = ["EntryCommand"]


@cappa.command(
    name="entry", help="Run an entry: the process to which callers and operators connect."
)
@dataclass(frozen=True, kw_only=True)
class EntryCommand:
    """Run an entry."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        settings = load_role(self.settings, EntrySettings)
        start_logs(settings.log, settings.name)

        def make() -> EntryProcess:
            return EntryProcess(
                settings=settings,
                platform=load_platform(settings.platform),
                system_key=read_system_key(settings),
                operators_token=get_secret(settings.operators_token, "operators_token"),
            )

        return run_process(make)
