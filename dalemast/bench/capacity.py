"""Work out docs/CAPACITY.md from measured slopes.

``python -m dalemast.bench.capacity --write`` fills the tables of the page from the recorded slopes
in docs/reference/slopes.json, ``--check`` fails when the page says something else.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from dalemast.bench.fit import Slope
from dalemast.bench.roles import (
    get_agent_rows,
    get_configuration_rows,
    get_entry_rows,
    get_fault_rows,
    get_table_rows,
)
from dalemast.bench.target import Model, Row

__all__ = ["PAGE", "RECORDED", "CapacityCommand", "render_page"]

PAGE = Path("docs/CAPACITY.md")
RECORDED = Path("docs/reference/slopes.json")
BEGIN = "<!-- begin {} -->"
END = "<!-- end {} -->"

_TABLES: dict[str, Callable[[Model], list[Row]]] = {
    "entry": get_entry_rows,
    "agent": get_agent_rows,
    "table": get_table_rows,
    "configuration": get_configuration_rows,
    "faults": get_fault_rows,
}


def render_rows(rows: Sequence[Row]) -> str:
    """Return a table as Markdown."""
    lines = [
        "| figure | value | arithmetic | limit | mechanism | verdict |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        limit = "" if row.limit is None else f"{row.limit:g} {row.unit}"
        lines.append(
            f"| {row.what} | {row.value:.4g} {row.unit} | {row.arithmetic} | {limit} "
            f"| {row.mechanism} | {row.verdict} |"
        )
    return "\n".join(lines)


def render_slopes(slopes: Sequence[Slope]) -> str:
    """Return the table of the slopes as Markdown."""
    lines = [
        "| slope | x | y | points | y at 0 | y per x | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.x} | {slope.y} | {points} | {slope.intercept:.4g} "
            f"| {slope.slope:.4g} | {slope.residual:.1%} |"
        )
    return "\n".join(lines)


def render_page(page: str, slopes: Sequence[Slope]) -> str:
    """Return the page with its tables worked out from the slopes."""
    model = Model(slopes)
    page = _replace(page, "slopes", render_slopes(slopes))
    for name, get_rows in _TABLES.items():
        page = _replace(page, name, render_rows(get_rows(model)))
    return page


def _replace(page: str, name: str, table: str) -> str:
    before, _, rest = page.partition(BEGIN.format(name))
    _, _, after = rest.partition(END.format(name))
    return f"{before}{BEGIN.format(name)}\n{table}\n{END.format(name)}{after}"


@cappa.command(name="capacity", help="Check or rebuild the tables of docs/CAPACITY.md.")
@dataclass(frozen=True, kw_only=True)
class CapacityCommand:
    """Rebuild the page."""

    write: Annotated[bool, cappa.Arg(long=True, help="Write the page.")] = False
    check: Annotated[bool, cappa.Arg(long=True, help="Fail on a difference.")] = False
    slopes: Annotated[str, cappa.Arg(long=True, help="The slopes to use.")] = str(RECORDED)

    def __call__(self) -> int:
        """Render, then write or compare."""
        slopes = msgspec.json.decode(Path(self.slopes).read_bytes(), type=list[Slope])
        old = PAGE.read_text()
        new = render_page(old, slopes)
        if self.write:
            PAGE.write_text(new)
        if self.check and new != old:
            print(f"{PAGE} differs from what {self.slopes} gives: run make docs", file=sys.stderr)
            return 1
        print(f"{PAGE}: {'written' if self.write else 'as the slopes give it'}")
        return 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(CapacityCommand))
