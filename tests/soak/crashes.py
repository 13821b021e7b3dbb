"""Counts starts of tasks that crash their workers, and reports excessive ones."""

from __future__ import annotations

from collections import Counter

from tests.soak.report import Report

__all__ = ["CrashCount"]

MAX_CRASHES = 3
TOO_MANY_STARTS = 3
"""Starts of a task after its first :data:`MAX_CRASHES` crashes that violate a platform rule."""


class CrashCount:
    """Crashes and starts of tasks on all emulated workers.

    ``callers`` are the id prefixes of the jobs whose tasks crash their workers. Other tasks may be
    started again, however many workers have crashed while running them.
    """

    def __init__(self, *, report: Report, callers: tuple[str, ...]) -> None:
        self._report = report
        self._callers = callers
        self._crashes: Counter[str] = Counter()
        self._late_starts: Counter[str] = Counter()

    def note_crash(self, tasks: set[str]) -> None:
        """Record a crash of a worker that was running these tasks, one of which caused it."""
        self._report.crashes += 1
        self._crashes.update(task for task in tasks if task.startswith(self._callers))

    def note_start(self, task: str) -> None:
        """Record a start of any task."""
        if self._crashes[task] < MAX_CRASHES:
            return
        self._late_starts[task] += 1
        if self._late_starts[task] == TOO_MANY_STARTS:
            self._report.broken.append(f"{task} was still started after {MAX_CRASHES} crashes")
