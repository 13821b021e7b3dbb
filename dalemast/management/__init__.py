"""The command line, with one module per command."""

from dalemast.management.base import CommandLine, run_command_line

__all__ = ["CommandLine", "run_command_line"]
