"""Find jobs that were refused, dropped, failed or late in the structured logs of entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from dalemast.observability.lines import read_lines

__all__ = ["Loss", "count_losses", "find_losses"]

LONG_WAIT_SHARE = 0.25
"""A late job is attributed to its wait for the first start, or to the time between its first and
last start, if that exceeds this share of its objective."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """A job that did not succeed within its objective.

    ``second`` is counted from the first line. ``data_centre`` is that of the entry, or empty if the
    lines do not include the entry's start. ``view_age_s`` is the age of the oldest report of a
    worker's capacity when the job was refused, or None if it was not refused.
    """

    second: int
    queue: str
    data_centre: str
    cause: str
    view_age_s: float | None


def find_losses(lines: Iterable[str]) -> list[Loss]:
    """Return the losses in the order of the log lines."""
    losses: list[Loss] = []
    data_centres: dict[str, str] = {}
    first: float | None = None
    for row in read_lines(lines):
        timestamp = float(row["timestamp"])
        first = timestamp if first is None else min(first, timestamp)
        kind = row.get("message_type", "")
        process = str(row.get("process", ""))
        if kind == "process:started" and "data_centre" in row:
            data_centres[process] = str(row["data_centre"])
        classify = _CLASSIFIERS.get(kind)
        cause = classify(row) if classify else ""
        if cause:
            losses.append(
                Loss(
                    second=int(timestamp - first),
                    queue=str(row.get("queue", "")),
                    data_centre=data_centres.get(process, ""),
                    cause=cause,
                    view_age_s=row.get("view_age_s"),
                )
            )
    return losses


def count_losses(losses: Iterable[Loss], key: Callable[[Loss], str]) -> dict[str, Counter[str]]:
    """Count the losses by cause for each value of the key function."""
    counts: dict[str, Counter[str]] = {}
    for loss in losses:
        counts.setdefault(key(loss), Counter())[loss.cause] += 1
    return counts


def _classify_refused(row: Mapping[str, Any]) -> str:
    cause = str(row.get("cause", ""))
    if cause != "overload":
        return f"refused: {cause}"
    rules = [rule for rule in row.get("left_out", {}) if rule != "no_room"]
    if rules:
        return f"refused: capacity only on excluded workers: {', '.join(rules)}"
    if row.get("free_cpu", -1) >= row.get("needed_cpu", 0):
        return "refused: capacity only on workers that may be too slow"
    return "refused: all workers full"


def _classify_dropped(row: Mapping[str, Any]) -> str:
    return f"dropped: {row.get('cause', '')}"


def _classify_ended(row: Mapping[str, Any]) -> str:
    if row.get("state") != "succeeded":
        return f"failed: {row.get('state', '')}"
    objective_s = row.get("objective_s")
    if objective_s is None or row["took_s"] <= objective_s:
        return ""
    if row.get("runs", 0) > row.get("tasks", 0):
        return "late: a task ran again"
    if row.get("claim_s", 0.0) + row.get("waited_s", 0.0) > LONG_WAIT_SHARE * objective_s:
        return "late: waited for capacity"
    if row.get("spread_s", 0.0) > LONG_WAIT_SHARE * objective_s:
        return "late: its tasks started one after another"
    return "late: started in time, ran too long"


_CLASSIFIERS: dict[str, Callable[[Mapping[str, Any]], str]] = {
    "job:refused": _classify_refused,
    "job:dropped": _classify_dropped,
    "job:ended": _classify_ended,
}
