"""``dalemast ctl get KIND [NAME]``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from dalemast.core.configuration import KINDS, UnknownKind
from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.output import ExitCode, print_json, print_table

__all__ = ["GetCommand"]

_COLUMNS = {
    "accounts": ("name", "weight", "limits"),
    "services": ("name", "selector", "labels"),
    "endpoints": ("name", "worker", "data_centre", "agent", "slots", "state", "labels"),
    "limits": ("name", "max_tasks_per_job", "max_payload_bytes", "max_deadline_ms"),
}


@cappa.command(name="get", help="List the items of a kind, or show one.")
@dataclass(frozen=True, kw_only=True)
class GetCommand(BaseCtlCommand):
    """Show items of the accepted configuration."""

    kind: Annotated[str, cappa.Arg(help="accounts, services, endpoints or limits.")]
    name: Annotated[str | None, cappa.Arg(help="The name of one item.")] = None

    async def run(self) -> int:
        """Print the items."""
        if self.kind not in KINDS:
            raise UnknownKind(f"there is no kind {self.kind!r}", place="KIND")
        rest = f"/{self.name}" if self.name else ""
        response = await self.make_client().call("GET", f"/v1/configuration/{self.kind}{rest}")
        value: Any = response.decode(Any)
        if self.is_json or self.name:
            print_json(value)
            return ExitCode.DONE
        columns = _COLUMNS[self.kind]
        print_table(columns, [[_format_cell(item.get(name)) for name in columns] for item in value])
        return ExitCode.DONE


def _format_cell(value: Any) -> str:
    if isinstance(value, dict):
        return ",".join(f"{key}={item}" for key, item in value.items())
    return str(value)
