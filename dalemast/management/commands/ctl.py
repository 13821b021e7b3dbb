"""``dalemast ctl``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from dalemast.management.ctl.apply import ApplyCommand
from dalemast.management.ctl.delete import DeleteCommand
from dalemast.management.ctl.diff import DiffCommand
from dalemast.management.ctl.get import GetCommand
from dalemast.management.ctl.state import DrainCommand, StateCommand
from dalemast.management.ctl.status import StatusCommand
from dalemast.management.ctl.submit import SubmitCommand

__all__ = ["CtlCommand"]


@cappa.command(name="ctl", help="Operate a running platform.")
@dataclass(frozen=True, kw_only=True)
class CtlCommand:
    """Subcommands for operators."""

    command: cappa.Subcommands[
        ApplyCommand
        | GetCommand
        | DiffCommand
        | DeleteCommand
        | StateCommand
        | DrainCommand
        | StatusCommand
        | SubmitCommand
    ]
