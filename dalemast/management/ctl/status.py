"""``dalemast ctl status``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa
import msgspec

from dalemast.entry.operators import PlatformStatus
from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.output import ExitCode, print_json, print_table

__all__ = ["StatusCommand"]


@cappa.command(name="status", help="Show all entries and the version each has in force.")
@dataclass(frozen=True, kw_only=True)
class StatusCommand(BaseCtlCommand):
    """Show the status of all entries; exit with 1 if one is behind or unreachable."""

    async def run(self) -> int:
        """Print the status."""
        response = await self.make_client().call("GET", "/v1/status")
        status: PlatformStatus = response.decode(PlatformStatus)
        if self.is_json:
            print_json(status)
        else:
            columns = status.entries[0].__struct_fields__
            rows = [msgspec.structs.astuple(entry) for entry in status.entries]
            print_table(columns, rows)
            accepted = status.accepted_version
            known = "unknown, the table is down" if accepted is None else accepted
            print(f"accepted version: {known}")
            for address in status.unreachable:
                print(f"unreachable: {address}")
        is_behind = any(
            entry.configuration_version < (status.accepted_version or 0) for entry in status.entries
        )
        return ExitCode.FAILED if status.unreachable or is_behind else ExitCode.DONE
