"""``dalemast ctl diff FILE``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.management.commands.check import parse_configuration_file
from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.ctl.changes import get_changes
from dalemast.management.output import ExitCode, print_json, print_table

__all__ = ["DiffCommand"]


@cappa.command(name="diff", help="Show what applying a file would change.")
@dataclass(frozen=True, kw_only=True)
class DiffCommand(BaseCtlCommand):
    """Compare a file with the accepted configuration; exit with 1 if they differ, else with 0."""

    file: Annotated[str, cappa.Arg(help="A YAML file of declarations.")]

    async def run(self) -> int:
        """Print the changes."""
        wanted = parse_configuration_file(self.file)
        current = await self.make_client().get_configuration()
        changes = get_changes(current, wanted)
        if self.is_json:
            print_json(changes)
        elif changes:
            rows = [(c.action, c.kind, c.name, ", ".join(c.fields)) for c in changes]
            print_table(("action", "kind", "name", "fields"), rows)
        else:
            print(f"no difference from version {current.version}")
        return ExitCode.FAILED if changes else ExitCode.DONE
