"""The command line and its exit codes."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from dalemast import __version__
from dalemast.core.exceptions import DalemastError
from dalemast.http.client import HttpFailure
from dalemast.management.commands.agent import AgentCommand
from dalemast.management.commands.check import CheckCommand
from dalemast.management.commands.ctl import CtlCommand
from dalemast.management.commands.demo import DemoCommand
from dalemast.management.commands.entry import EntryCommand
from dalemast.management.commands.fleet import FleetAgentCommand, FleetEntryCommand
from dalemast.management.commands.local import LocalCommand
from dalemast.management.commands.losses import LossesCommand
from dalemast.management.commands.platform import PlatformCommand
from dalemast.management.commands.reference import ReferenceCommand
from dalemast.management.commands.samples import SamplesCommand
from dalemast.management.output import ExitCode, print_error

__all__ = ["CommandLine", "run_command_line"]


@cappa.command(name="dalemast", help="A shared dispatcher for sub-second tasks.")
@dataclass(frozen=True, kw_only=True)
class CommandLine:
    """The command line with all commands."""

    command: cappa.Subcommands[
        EntryCommand
        | AgentCommand
        | FleetEntryCommand
        | FleetAgentCommand
        | LocalCommand
        | CtlCommand
        | CheckCommand
        | LossesCommand
        | DemoCommand
        | PlatformCommand
        | SamplesCommand
        | ReferenceCommand
    ]


def run_command_line(arguments: Sequence[str] | None = None) -> int:
    """Run the command given by the arguments and return its exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = cappa.invoke(CommandLine, argv=argv, version=__version__)
    except DalemastError as error:
        print_error(error)
        return ExitCode.CONFLICT if error.status == 409 else ExitCode.INVALID
    except HttpFailure as failure:
        print(f"error: no response: {failure.message}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    except cappa.Exit as exit_request:
        return ExitCode.INVALID if exit_request.code else ExitCode.DONE
    return result if isinstance(result, int) else ExitCode.DONE
