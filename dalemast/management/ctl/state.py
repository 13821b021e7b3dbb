"""``dalemast ctl state ADDRESS`` and ``dalemast ctl drain ADDRESS``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.output import ExitCode, print_json, print_table

__all__ = ["DrainCommand", "StateCommand"]


@cappa.command(name="state", help="Show the state of one process.")
@dataclass(frozen=True, kw_only=True)
class StateCommand(BaseCtlCommand):
    """Show the state dump of an entry or an agent."""

    process: Annotated[str, cappa.Arg(help="The operators' address of the process.")]

    async def run(self) -> int:
        """Print the dump."""
        response = await self.make_client(self.process).call("GET", "/v1/state")
        _print_state(response.decode(Any), is_json=self.is_json)
        return ExitCode.DONE


@cappa.command(name="drain", help="Make a process refuse new work and finish its running work.")
@dataclass(frozen=True, kw_only=True)
class DrainCommand(BaseCtlCommand):
    """Drain an entry or an agent, or undo the drain of an agent."""

    process: Annotated[str, cappa.Arg(help="The operators' address of the process.")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Put an agent back into service.")] = False

    async def run(self) -> int:
        """Send the request and print the state of the process."""
        method = "DELETE" if self.undo else "POST"
        response = await self.make_client(self.process).call(method, "/v1/drain")
        _print_state(response.decode(Any), is_json=self.is_json)
        return ExitCode.DONE


def _print_state(state: dict[str, Any], *, is_json: bool) -> None:
    if is_json:
        print_json(state)
        return
    simple = {key: value for key, value in state.items() if not isinstance(value, list)}
    print_table(("field", "value"), list(simple.items()))
    for key, value in state.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"\n{key}")
            print_table(tuple(value[0]), [tuple(item.values()) for item in value])
