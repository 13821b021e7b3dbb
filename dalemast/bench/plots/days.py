"""A day's load and response times, from the structured logs of its entries."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from matplotlib.figure import Figure

from dalemast.bench.plots.base import HEIGHT_IN, WIDTH_IN, save
from dalemast.observability.lines import read_lines

__all__ = ["DaySecond", "draw_day", "read_day"]

HIGH_QUANTILE = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class DaySecond:
    """One second of a day: how many jobs had which end, and their response times in seconds."""

    second: int
    answered: int
    refused: int
    dropped: int
    median_s: float
    p95_s: float


def read_day(lines: Iterable[str]) -> list[DaySecond]:
    """Sum up log lines by second, counted from the first; text before a line's JSON is skipped."""
    tallies: dict[int, _Tally] = defaultdict(_Tally)
    first: int | None = None
    for row in read_lines(lines):
        second = int(float(str(row["timestamp"])))
        first = second if first is None else min(first, second)
        match row.get("message_type"):
            case "job:ended":
                tallies[second].took_s.append(float(str(row["took_s"])))
            case "job:refused":
                tallies[second].refused += 1
            case "job:dropped":
                tallies[second].dropped += 1
    return [tally.sum_up(second - (first or 0)) for second, tally in sorted(tallies.items())]


def draw_day(seconds: list[DaySecond], file: Path) -> None:
    """Draw ends a second above, response times below."""
    figure = Figure(figsize=(WIDTH_IN, 2 * HEIGHT_IN))
    places = [second.second for second in seconds]
    load = figure.add_subplot(2, 1, 1)
    load.plot(places, [second.answered for second in seconds], label="answered")
    load.plot(places, [second.refused for second in seconds], label="refused")
    load.plot(places, [second.dropped for second in seconds], label="dropped")
    load.set_ylabel("jobs a second")
    load.legend()
    times = figure.add_subplot(2, 1, 2, sharex=load)
    times.plot(places, [second.median_s for second in seconds], label="median")
    times.plot(places, [second.p95_s for second in seconds], label="95th percentile")
    times.set_ylabel("response time, s")
    times.set_xlabel("seconds since the first log line")
    times.legend()
    save(figure, file)


@dataclass(kw_only=True, slots=True)
class _Tally:
    """What the logs tell of one second; ``took_s`` has a response time for each answered job."""

    took_s: list[float] = field(default_factory=list)
    refused: int = 0
    dropped: int = 0

    def sum_up(self, second: int) -> DaySecond:
        """Return the second's sums; one without answers has no response times."""
        return DaySecond(
            second=second,
            answered=len(self.took_s),
            refused=self.refused,
            dropped=self.dropped,
            median_s=statistics.median(self.took_s) if self.took_s else float("nan"),
            p95_s=_get_quantile(self.took_s) if self.took_s else float("nan"),
        )


def _get_quantile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(HIGH_QUANTILE * len(ordered)))]
