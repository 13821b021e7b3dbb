"""How fast each worker is for good, as owners believe it.

Answers workers of uneven speeds: agents tell how fast their worker has shown itself, against what
the owners of its runs expected. Only the ratio of two workers' words means anything: owners learn
usual run times by dividing by these very words, so that all words could rise while run times fall
alike. So a word counts over the middle one of its service, which is 1 by definition, and the run
time that owners learn is that of the middle worker.

A worker of which nothing is known yet starts with what its labels show, where those that share a
label are alike.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from statistics import median, median_low

from dalemast.core.scheduling.load import WorkerSpeed
from dalemast.core.scheduling.workers import WorkerView

__all__ = ["KnownSpeeds", "is_plausible"]

PLAUSIBLE_SLOWNESS = (0.1, 10.0)
"""Words outside are taken for false and passed over: no kind of worker is that far from usual."""
REFRESH_PAUSE_S = 1.0
"""Pause between two reckonings of all workers, each of which looks at thousands in a large fleet.
A word counts for its own worker at once."""
LEAST_TOLD = 3
"""Workers whose speeds are known, before the middle one of them counts as usual."""
LEAST_ALIKE = 4
"""Workers with a label whose speeds are known, before the label tells of others."""
ALIKE_FACTOR = 1.25
"""By how much workers of one kind may differ: words are off by some 5 %, the first by 15 %."""
MOST_KEPT = 512
"""Lives out of reach whose words are kept: several data centres' workers that an owner reaches."""


def is_plausible(speed: WorkerSpeed) -> bool:
    """Tell whether a word can be true; not a number, infinite, or absurd is not."""
    lowest, highest = PLAUSIBLE_SLOWNESS
    return speed.runs > 0 and lowest <= speed.slowness <= highest


class KnownSpeeds:
    """Keeps the workers' kinds up to date. ``workers`` are the scheduler's, by id."""

    def __init__(self, *, workers: Mapping[str, WorkerView]) -> None:
        self._workers = workers
        self._is_due = False
        self._refreshed_at = float("-inf")
        self._middles: dict[str, float] = {}
        """By service, the middle of what agents have told."""
        self._by_label: dict[tuple[str, str], float] = {}
        """By service and label, what workers with it have in common."""
        self._kept: dict[str, WorkerSpeed] = {}
        """By life, what was told of workers that are out of reach."""

    def note_added(self, view: WorkerView) -> None:
        """Let a worker start with what was told of this life of it, or what its kind shows.

        An agent that has restarted learns its worker's speed anew, while the worker lives on.
        """
        view.reported_speed = self._kept.pop(view.name, None)
        view.baseline_slowness = self._get_told(view) or self._guess(view)

    def note_lost(self, view: WorkerView) -> None:
        """Keep what was told of a worker that is out of reach: it may be its agent or link only."""
        if view.reported_speed is None:
            return
        self._kept[view.name] = view.reported_speed
        if len(self._kept) > MOST_KEPT:
            del self._kept[next(iter(self._kept))]

    def note_reported(self, view: WorkerView, speed: WorkerSpeed) -> None:
        """Take in an agent's word, unless it can't be true."""
        if not is_plausible(speed):
            return
        view.reported_speed = speed
        view.baseline_slowness = self._get_told(view)
        self._is_due = True

    def refresh(self, *, now: float) -> None:
        """Reckon anew if a word has come since, some times a second at the most."""
        if not self._is_due or now - self._refreshed_at < REFRESH_PAUSE_S:
            return
        self._is_due = False
        self._refreshed_at = now
        self._learn_middles()
        self._learn_labels()
        for view in self._workers.values():
            view.baseline_slowness = self._get_told(view) or self._guess(view)

    def _learn_middles(self) -> None:
        told: dict[str, list[float]] = {}
        for view in self._workers.values():
            if view.reported_speed is not None:
                told.setdefault(view.service, []).append(view.reported_speed.slowness)
        self._middles = {
            service: median_low(rows) for service, rows in told.items() if len(rows) >= LEAST_TOLD
        }

    def _learn_labels(self) -> None:
        holders: dict[tuple[str, str], list[WorkerView]] = {}
        for view in self._workers.values():
            if view.reported_speed is not None:
                for label in view.labels:
                    holders.setdefault((view.service, label), []).append(view)
        self._by_label = {
            key: median(filter(None, map(self._get_told, views)))
            for key, views in holders.items()
            if self._are_of_a_kind(views)
        }

    def _are_of_a_kind(self, views: list[WorkerView]) -> bool:
        """Tell whether workers that share a label show that it tells their speed.

        A rack is in one data centre: its name says where a worker is, and not what it is.
        """
        if len(views) < LEAST_ALIKE or len({view.data_centre for view in views}) < 2:
            return False
        told = sorted(filter(None, map(self._get_told, views)))
        cut = len(told) // 10
        return told[-1 - cut] <= ALIKE_FACTOR * told[cut]

    def _get_told(self, view: WorkerView) -> float | None:
        """Return an agent's word over the middle one, if both are known.

        A word alone means nothing: owners' run times and words taken as they are drift apart.
        """
        middle = self._middles.get(view.service)
        if view.reported_speed is None or middle is None:
            return None
        return view.reported_speed.slowness / middle

    def _guess(self, view: WorkerView) -> float | None:
        """Return what a worker's labels show; the one that is farthest from usual decides."""
        known = [self._by_label.get((view.service, label)) for label in view.labels]
        return _find_farthest(row for row in known if row is not None)


def _find_farthest(rows: Iterable[float]) -> float | None:
    return max(rows, key=lambda row: abs(math.log(row)), default=None)
