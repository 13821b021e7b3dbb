"""Long-term speeds of workers, as known to an owner.

Agents report the slowness of their worker relative to the run times that owners expected. Owners in
turn divide run times by these values to learn the usual ones, so the absolute values could drift in
one direction, with the learned run times drifting in the other. Only ratios are meaningful: the
baseline of a worker is its reported slowness divided by the median of its service.

A worker without a report gets a baseline from its labels, if the other workers with a label have
nearly equal speeds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from statistics import median, median_low

from dalemast.core.scheduling.load import WorkerSpeed
from dalemast.core.scheduling.workers import WorkerView

__all__ = ["KnownSpeeds", "is_plausible"]

PLAUSIBLE_SLOWNESS_RANGE = (0.1, 10.0)
"""Reports outside of this range are ignored as invalid."""
REFRESH_INTERVAL_S = 1.0
"""Minimum interval between updates of the medians and of all baselines, which iterate over all
workers. A report applies to its own worker immediately."""
MIN_REPORTED_WORKERS = 3
"""Minimum number of workers of a service with a report, for the median to be used."""
MIN_LABELED_WORKERS = 4
"""Minimum number of workers with a label that have a report, for the label to be used."""
MAX_LABEL_SPREAD = 1.25
"""Maximum ratio between the speeds of workers with a label, for the label to be used. Reports on
equal workers differ, since they are estimates."""
MAX_KEPT_REPORTS = 512
"""Maximum number of unreachable incarnations whose reports are kept."""


def is_plausible(speed: WorkerSpeed) -> bool:
    """Return whether a report is within limits; NaN and infinite values are not."""
    lowest, highest = PLAUSIBLE_SLOWNESS_RANGE
    return speed.runs > 0 and lowest <= speed.slowness <= highest


class KnownSpeeds:
    """Keeps the baselines of the workers up to date. ``workers`` are the scheduler's, by id."""

    def __init__(self, *, workers: Mapping[str, WorkerView]) -> None:
        self._workers = workers
        self._is_due = False
        self._refreshed_at = float("-inf")
        self._medians: dict[str, float] = {}
        """Median of the reported slowness, by service."""
        self._by_label: dict[tuple[str, str], float] = {}
        """Baseline of workers with a label, by service and label."""
        self._kept_reports: dict[str, WorkerSpeed] = {}
        """Last report on each unreachable incarnation, by its id."""

    def note_added(self, view: WorkerView) -> None:
        """Set the baseline of an added worker from an earlier report or from its labels.

        An agent that has restarted has to measure its worker again, while the incarnation of the
        worker is the same.
        """
        view.reported_speed = self._kept_reports.pop(view.name, None)
        view.baseline_slowness = self._get_relative_slowness(view) or self._infer_slowness(view)

    def note_lost(self, view: WorkerView) -> None:
        """Keep the report on an unreachable worker: maybe only its agent or link has failed."""
        if view.reported_speed is None:
            return
        self._kept_reports[view.name] = view.reported_speed
        if len(self._kept_reports) > MAX_KEPT_REPORTS:
            del self._kept_reports[next(iter(self._kept_reports))]

    def note_reported(self, view: WorkerView, speed: WorkerSpeed) -> None:
        """Apply an agent's report, unless it is invalid."""
        if not is_plausible(speed):
            return
        view.reported_speed = speed
        view.baseline_slowness = self._get_relative_slowness(view)
        self._is_due = True

    def refresh(self, *, now: float) -> None:
        """Update all baselines if there are new reports and the interval has passed."""
        if not self._is_due or now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._is_due = False
        self._refreshed_at = now
        self._update_medians()
        self._update_labels()
        for view in self._workers.values():
            view.baseline_slowness = self._get_relative_slowness(view) or self._infer_slowness(view)

    def _update_medians(self) -> None:
        reported: dict[str, list[float]] = {}
        for view in self._workers.values():
            if view.reported_speed is not None:
                reported.setdefault(view.service, []).append(view.reported_speed.slowness)
        self._medians = {
            service: median_low(rows)
            for service, rows in reported.items()
            if len(rows) >= MIN_REPORTED_WORKERS
        }

    def _update_labels(self) -> None:
        holders: dict[tuple[str, str], list[WorkerView]] = {}
        for view in self._workers.values():
            if view.reported_speed is not None:
                for label in view.labels:
                    holders.setdefault((view.service, label), []).append(view)
        self._by_label = {
            key: median(filter(None, map(self._get_relative_slowness, views)))
            for key, views in holders.items()
            if self._have_equal_speed(views)
        }

    def _have_equal_speed(self, views: list[WorkerView]) -> bool:
        """Return whether the workers with a label have nearly equal speeds.

        A label that is used in one data centre only is ignored, since it may just name a rack.
        """
        if len(views) < MIN_LABELED_WORKERS or len({view.data_centre for view in views}) < 2:
            return False
        reported = sorted(filter(None, map(self._get_relative_slowness, views)))
        cut = len(reported) // 10
        return reported[-1 - cut] <= MAX_LABEL_SPREAD * reported[cut]

    def _get_relative_slowness(self, view: WorkerView) -> float | None:
        """Return the reported slowness divided by the median of the service, if both are known."""
        median_slowness = self._medians.get(view.service)
        if view.reported_speed is None or median_slowness is None:
            return None
        return view.reported_speed.slowness / median_slowness

    def _infer_slowness(self, view: WorkerView) -> float | None:
        """Return the baseline from the label whose value is farthest from 1, if there is one."""
        known = [self._by_label.get((view.service, label)) for label in view.labels]
        return _find_farthest_from_one(row for row in known if row is not None)


def _find_farthest_from_one(rows: Iterable[float]) -> float | None:
    return max(rows, key=lambda row: abs(math.log(row)), default=None)
