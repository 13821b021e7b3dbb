"""``dalemast ctl delete KIND NAME``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.output import ExitCode, print_json

__all__ = ["DeleteCommand"]


@cappa.command(name="delete", help="Delete one declared item.")
@dataclass(frozen=True, kw_only=True)
class DeleteCommand(BaseCtlCommand):
    """Delete an item, by compare-and-set on the configuration's version."""

    kind: Annotated[str, cappa.Arg(help="accounts, services, endpoints or limits.")]
    name: Annotated[str, cappa.Arg(help="The name of the item.")]

    async def run(self) -> int:
        """Delete the item."""
        path = f"/v1/configuration/{self.kind}/{self.name}"
        response = await self.make_client().call("DELETE", path)
        answer = response.decode(dict[str, int])
        if self.is_json:
            print_json(answer)
        else:
            print(f"deleted {self.kind} {self.name} as version {answer['version']}")
        return ExitCode.DONE
