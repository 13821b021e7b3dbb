"""Worth by day over the scores in the journal, one panel a site."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from dalemast.bench.plots.base import HEIGHT_IN, WIDTH_IN, save

__all__ = ["Round", "draw_rounds", "read_rounds"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Round:
    """One score of a site. ``worth`` is by day; a day that was given up has none."""

    site: str
    at: str
    worth: dict[str, float]


def read_rounds(journal: Path) -> list[Round]:
    """Return the scores of a journal, oldest first."""
    entries = [json.loads(file.read_text()) for file in sorted(journal.glob("*.json"))]
    rounds = [_read_round(entry) for entry in entries if entry.get("cmd") == "score"]
    return [found for found in rounds if found.worth]


def draw_rounds(rounds: Iterable[Round], file: Path) -> None:
    """Draw the worth of each standard day over the rounds."""
    by_site: dict[str, list[Round]] = {}
    for found in rounds:
        by_site.setdefault(found.site, []).append(found)
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN * max(1, len(by_site))))
    for number, (site, scores) in enumerate(sorted(by_site.items()), start=1):
        panel = figure.add_subplot(len(by_site), 1, number)
        places = range(len(scores))
        for day in sorted({day for score in scores for day in score.worth}):
            values = [score.worth.get(day, float("nan")) for score in scores]
            panel.plot(places, values, marker="o", label=day)
        panel.set_title(site)
        panel.set_ylabel("worth")
        panel.set_xticks(list(places), [score.at[5:16] for score in scores], rotation=30)
        panel.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))
    save(figure, file)


def _read_round(entry: dict[str, Any]) -> Round:
    days = entry.get("days") or ()
    worth = {day["name"]: day["G"] for day in days if day.get("name") and day.get("G") is not None}
    at = entry.get("at") or [""]
    return Round(site=str(entry.get("site")), at=at[0], worth=worth)
