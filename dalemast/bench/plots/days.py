"""A day's load and response times, from the structured logs of its entries."""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from matplotlib.figure import Figure

from dalemast.bench.plots.base import HEIGHT_IN, WIDTH_IN, save

__all__ = ["DaySecond", "draw_day", "read_day"]

NINETY_FIVE = 0.95


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
    took: dict[int, list[float]] = {}
    counts: dict[str, dict[int, int]] = {"job:refused": {}, "job:dropped": {}}
    first: int | None = None
    for line in lines:
        row = _read_line(line)
        if row is None:
            continue
        kind = row.get("message_type")
        second = int(float(str(row["timestamp"])))
        first = second if first is None else min(first, second)
        if kind == "job:ended":
            took.setdefault(second, []).append(float(str(row["took_s"])))
        elif kind in counts:
            counts[str(kind)][second] = counts[str(kind)].get(second, 0) + 1
    seconds = sorted({*took, *counts["job:refused"], *counts["job:dropped"]})
    return [
        DaySecond(
            second=second - (first or 0),
            answered=len(took.get(second, ())),
            refused=counts["job:refused"].get(second, 0),
            dropped=counts["job:dropped"].get(second, 0),
            median_s=statistics.median(took[second]) if second in took else float("nan"),
            p95_s=_get_quantile(took[second]) if second in took else float("nan"),
        )
        for second in seconds
    ]


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


def _read_line(line: str) -> dict[str, object] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        # Logs of several processes may be cut anywhere; what does not parse is no line of ours.
        return None
    return row if isinstance(row, dict) and "timestamp" in row else None


def _get_quantile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(NINETY_FIVE * len(ordered)))]
