"""Output of commands: tables, JSON and one-line errors."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import msgspec
from rich.console import Console
from rich.table import Table

from dalemast.core.exceptions import DalemastError

__all__ = ["ExitCode", "print_error", "print_json", "print_table"]


PLAIN_WIDTH = 200
"""Width in columns if the output is not a terminal."""


class ExitCode:
    """Exit codes of the commands."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4


def print_error(error: DalemastError) -> None:
    """Print an error as one line on stderr, with its code and hint."""
    hint = f" (hint: {error.hint})" if error.hint else ""
    print(f"error {error}{hint}", file=sys.stderr)


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(text.decode())


def print_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as a table."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console = Console()
    if not console.is_terminal:
        console = Console(width=PLAIN_WIDTH)
    console.print(table)
