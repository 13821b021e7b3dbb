"""``dalemast platform``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.hosting.server import PlatformServer
from dalemast.management.roles import load_role
from dalemast.process import run_process
from dalemast.settings import PlatformServerSettings

__all__ = ["PlatformCommand"]


@cappa.command(name="platform", help="Run the stand-in for the platform's table and host list.")
@dataclass(frozen=True, kw_only=True)
class PlatformCommand:
    """Run the stand-in."""

    settings: Annotated[str, cappa.Arg(long=True, short=True, help="A YAML file.")] = ""

    def __call__(self) -> int:
        """Serve until SIGTERM."""
        settings = load_role(self.settings, PlatformServerSettings)
        return run_process(lambda: PlatformServer(settings=settings))
