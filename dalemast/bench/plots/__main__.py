"""``python -m dalemast.bench.plots``: what ``make plots`` runs."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from dalemast.bench.plots.days import draw_day, read_day
from dalemast.bench.plots.rounds import draw_rounds, read_rounds


@cappa.command(name="plots", help="Draw worth by round from a journal, or a day from its logs.")
@dataclass(frozen=True, kw_only=True)
class PlotsCommand:
    """Draw ``rounds.svg``, and ``day.svg`` if a log is named."""

    journal: Annotated[str, cappa.Arg(long=True, help="The journal's folder.")] = "journal"
    log: Annotated[str, cappa.Arg(long=True, help="A file with the entries' log lines.")] = ""
    output: Annotated[str, cappa.Arg(long=True, help="Where pictures go.")] = "build/plots"

    def __call__(self) -> int:
        """Draw, and print the files."""
        folder = Path(self.output)
        draw_rounds(read_rounds(Path(self.journal)), folder / "rounds.svg")
        print(folder / "rounds.svg")
        if self.log:
            with Path(self.log).open(errors="replace") as lines:
                draw_day(read_day(lines), folder / "day.svg")
            print(folder / "day.svg")
        return 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(PlotsCommand))
