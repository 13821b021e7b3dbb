"""``dalemast ctl submit FILE``."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn

from dalemast.callers import Caller
from dalemast.management.ctl.base import BaseCtlCommand
from dalemast.management.output import ExitCode, print_json

__all__ = ["SubmitCommand"]


@cappa.command(name="submit", help="Submit a job as a caller and print its answer.")
@dataclass(frozen=True, kw_only=True)
class SubmitCommand(BaseCtlCommand):
    """Submit a job with a ticket; resubmit it if the connection is lost."""

    file: Annotated[str, cappa.Arg(help="A JSON file with the body of the job, or - for stdin.")]
    callers: Annotated[
        str, cappa.Arg(long=True, help="Callers' address of an entry or balancer.")
    ] = "127.0.0.1:8700"
    account_token: Annotated[str, cappa.Arg(long=True, help="Token of the account.")] = "demo-token"

    async def run(self) -> int:
        """Submit the job and print its result."""
        text = sys.stdin.buffer.read() if self.file == "-" else Path(self.file).read_bytes()
        caller = Caller(addresses=(self.callers,), token=self.account_token)
        columns = (SpinnerColumn(), TextColumn("waiting for the answer"), TimeElapsedColumn())
        with Progress(*columns, disable=self.is_json, transient=True) as progress:
            progress.add_task("job", total=None)
            answer = await asyncio.wait_for(caller.submit(text), timeout=180)
        print_json(answer.body)
        return ExitCode.DONE if answer.is_complete else ExitCode.FAILED
