"""``python -m dalemast.bench``: what ``make bench`` runs."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from dalemast.bench.costs import run_costs
from dalemast.bench.faults import run_faults
from dalemast.bench.report import Figures, get_spread
from dalemast.bench.runner import run_scenario
from dalemast.bench.scenarios import SCENARIOS
from dalemast.bench.slopes import run_slopes
from dalemast.management.output import print_table

__all__ = ["BenchCommand"]

SHORT = "short"
REPEATS = 3
FULL_LIMIT_S = 570.0

_COLUMNS = (
    "scenario",
    "variant",
    "jobs",
    "p50",
    "p99",
    "p99.9",
    "bare p50",
    "vs schedule",
    "cost ms p50",
    "cost ms p99",
    "late",
    "refused",
    "failed",
    "refusal ms",
    "waste",
    "caller waste",
    "msgs/job",
    "dup",
    "partial",
    "entry ms/task",
    "agent ms/task",
    "goodput",
)


@cappa.command(name="bench", help="Measure dalemast on real processes over loopback.")
@dataclass(frozen=True, kw_only=True)
class BenchCommand:
    """Run the short pass, or one scenario in full."""

    scenario: Annotated[str, cappa.Arg(long=True, help="A scenario, or short.")] = SHORT
    output: Annotated[str, cappa.Arg(long=True, help="Where the lines go.")] = "build/bench.jsonl"
    seed: Annotated[int, cappa.Arg(long=True)] = 7
    variants: Annotated[str, cappa.Arg(long=True, help="Only these, with commas.")] = ""
    repeats: Annotated[int, cappa.Arg(long=True)] = REPEATS
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of each run.")] = 0.0

    def __call__(self) -> int:
        """Run and report."""
        Path(self.output).parent.mkdir(parents=True, exist_ok=True)
        if self.scenario in SPECIAL:
            return SPECIAL[self.scenario](self.output)
        lines = asyncio.run(self._run_short() if self.scenario == SHORT else self._run_full())
        print_figures(lines)
        return 0 if all(is_sound(line) for line in lines) else 1

    async def _run_short(self) -> list[Figures]:
        lines = []
        for scenario in SCENARIOS.values():
            for variant in scenario.short_variants:
                lines.append(
                    await run_scenario(
                        scenario,
                        variant=variant,
                        seed=self.seed,
                        repeat=0,
                        seconds=self.seconds or scenario.short_seconds,
                    )
                )
                self._write(lines[-1])
        return lines

    async def _run_full(self) -> list[Figures]:
        scenario = SCENARIOS[self.scenario]
        wanted = tuple(self.variants.split(",")) if self.variants else scenario.variants
        runs = len(wanted) * self.repeats
        seconds = self.seconds or min(scenario.seconds, FULL_LIMIT_S / runs - 5.0)
        lines = []
        for repeat in range(self.repeats):
            for variant in wanted:
                lines.append(
                    await run_scenario(
                        scenario,
                        variant=variant,
                        seed=self.seed + repeat,
                        repeat=repeat,
                        seconds=seconds,
                    )
                )
                self._write(lines[-1])
        return lines

    def _write(self, figures: Figures) -> None:
        with Path(self.output).open("ab") as file:
            file.write(msgspec.json.encode(figures) + b"\n")
        print(
            f"{figures.scenario}/{figures.variant}: p50 {figures.ratio_p50:.3f}"
            f" p99 {figures.ratio_p99:.3f} waste {figures.wasted_share:.3f} {figures.codes}",
            file=sys.stderr,
            flush=True,
        )


def is_sound(figures: Figures) -> bool:
    """Tell whether a run kept what must always hold."""
    return figures.duplicate_starts == 0 and figures.partial_answers == 0


def print_figures(lines: Sequence[Figures]) -> None:
    """Print a row for each scenario and variant: the median over its repeats."""
    groups: dict[tuple[str, str], list[Figures]] = {}
    for line in lines:
        groups.setdefault((line.scenario, line.variant), []).append(line)
    print_table(_COLUMNS, [_make_row(key, group) for key, group in groups.items()])


def _make_row(key: tuple[str, str], group: Sequence[Figures]) -> list[object]:
    def middle(name: str) -> float:
        return get_spread([getattr(line, name) for line in group])[1]

    def spread(name: str) -> str:
        low, median, high = get_spread([getattr(line, name) for line in group])
        return f"{median:.3f}" if len(group) == 1 else f"{median:.3f} [{low:.3f}-{high:.3f}]"

    return [
        *key,
        sum(line.jobs for line in group),
        spread("ratio_p50"),
        spread("ratio_p99"),
        f"{middle('ratio_p999'):.2f}",
        f"{middle('bare_ratio_p50'):.3f}",
        f"{middle('schedule_p99'):.3f}",
        f"{middle('cost_ms_p50'):.1f}",
        f"{middle('cost_ms_p99'):.1f}",
        sum(line.late for line in group),
        sum(line.refused for line in group),
        sum(line.failed for line in group),
        f"{middle('refusal_ms_p99'):.1f}",
        f"{middle('wasted_share'):.3f}",
        f"{middle('caller_wasted_share'):.3f}",
        f"{middle('messages_per_job'):.2f}",
        sum(line.duplicate_starts for line in group),
        sum(line.partial_answers for line in group),
        f"{middle('entry_ms_per_task'):.2f}",
        f"{middle('agent_ms_per_task'):.2f}",
        f"{middle('goodput'):.3f}",
    ]


SPECIAL = {"costs": run_costs, "faults": run_faults, "slopes": run_slopes}
"""What is not a scenario: runs of their own kind, by name."""


if __name__ == "__main__":
    started_at = time.monotonic()
    code = cappa.invoke(BenchCommand)
    print(f"{time.monotonic() - started_at:.0f} s", file=sys.stderr)
    sys.exit(code)
