"""``dalemast ctl apply FILE``."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
from rich.progress import Progress

from dalemast import clock
from dalemast.entry.operators import ChangeBody, PlatformStatus
from dalemast.management.commands.check import parse_configuration_file
from dalemast.management.ctl.base import BaseCtlCommand, OperatorsClient
from dalemast.management.ctl.changes import get_changes, merge
from dalemast.management.exceptions import NotInForce
from dalemast.management.output import ExitCode, print_json

__all__ = ["ApplyCommand"]

POLL_S = 0.1


@cappa.command(name="apply", help="Apply the declarations in a file.")
@dataclass(frozen=True, kw_only=True)
class ApplyCommand(BaseCtlCommand):
    """Add or change the items in a file, by compare-and-set on the configuration's version."""

    file: Annotated[str, cappa.Arg(help="A YAML file of declarations.")]
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait until in force everywhere.")] = False
    wait_limit_s: Annotated[float, cappa.Arg(long=True, help="Seconds to wait.")] = 30.0

    async def run(self) -> int:
        """Merge the file into the configuration, write it, and wait if requested."""
        wanted = parse_configuration_file(self.file)
        client = self.make_client()
        current = await client.get_configuration()
        changes = get_changes(current, wanted)
        if not changes:
            self._report(current.version, 0, 0.0)
            return ExitCode.DONE
        body = ChangeBody(version=current.version, kinds=merge(current, wanted))
        response = await client.call("PUT", "/v1/configuration", body=body)
        accepted_at = clock.monotonic()
        version = int(response.decode(dict[str, int])["version"])
        if self.wait:
            await self._wait(client, version)
        self._report(version, len(changes), clock.monotonic() - accepted_at)
        return ExitCode.DONE

    async def _wait(self, client: OperatorsClient, version: int) -> None:
        deadline = clock.monotonic() + self.wait_limit_s
        with Progress(disable=self.is_json, transient=True) as progress:
            bar = progress.add_task("in force", total=None)
            while True:
                response = await client.call("GET", "/v1/status")
                status: PlatformStatus = response.decode(PlatformStatus)
                total = len(status.entries) + len(status.unreachable)
                ready = sum(entry.configuration_version >= version for entry in status.entries)
                progress.update(bar, total=total, completed=ready)
                if ready == total:
                    return
                if clock.monotonic() >= deadline:
                    raise NotInForce(f"version {version} is in force at {ready} of {total} entries")
                await asyncio.sleep(POLL_S)

    def _report(self, version: int, changes: int, seconds: float) -> None:
        if self.is_json:
            print_json({"version": version, "changes": changes, "in_force_s": round(seconds, 3)})
        elif not changes:
            print(f"nothing to change at version {version}")
        elif self.wait:
            print(f"{changes} changes in force everywhere at version {version}, {seconds:.2f} s")
        else:
            print(f"{changes} changes accepted as version {version}")
