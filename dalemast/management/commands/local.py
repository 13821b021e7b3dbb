"""``dalemast local``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.local import LocalProcess
from dalemast.management.roles import start_logs
from dalemast.process import run_process
from dalemast.settings import LogSettings

__all__ = ["LocalCommand"]


class _AnnouncedLocalProcess(LocalProcess):
    async def start(self) -> None:
        await super().start()
        print(f"callers    http://{self.callers_address}   (token demo-token)", flush=True)
        print(f"operators  http://{self.operators_address}", flush=True)


@cappa.command(name="local", help="Run everything in one process, with the sample services.")
@dataclass(frozen=True, kw_only=True)
class LocalCommand:
    """Run everything in one process."""

    callers: Annotated[str, cappa.Arg(long=True, help="Callers' address.")] = "127.0.0.1:8700"
    operators: Annotated[str, cappa.Arg(long=True, help="Operators' address.")] = "127.0.0.1:8701"
    log_level: Annotated[str, cappa.Arg(long=True, help="none, errors, jobs or all.")] = "errors"

    def __call__(self) -> int:
        """Serve until SIGTERM, then drain."""
        log = LogSettings(level=self.log_level)
        start_logs(log, "local")
        return run_process(
            lambda: _AnnouncedLocalProcess(callers=self.callers, operators=self.operators, log=log)
        )
