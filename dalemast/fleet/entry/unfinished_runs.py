"""Tracks runs of ended jobs that may still be active, and releases the ids once they have ended."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dalemast.core.scheduling import StopTask

__all__ = ["UnfinishedRuns"]


class UnfinishedRuns:
    """The runs of ended jobs that are being stopped, each with the time when it must have ended.

    Runs are identified by worker, task and number, since an agent that was unreachable may report
    the ends of older runs at any time. ``lost_run_s`` is how long a run may go on after its stop
    was sent. ``presume_over`` is called with a run that no agent has reported as ended by then, and
    ``release`` with a job's id once all its runs have ended.
    """

    def __init__(
        self,
        *,
        lost_run_s: float,
        presume_over: Callable[[StopTask], None],
        release: Callable[[str], None],
    ) -> None:
        self._lost_run_s = lost_run_s
        self._presume_over = presume_over
        self._release = release
        self._jobs: dict[str, dict[StopTask, float]] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    @property
    def job_ids(self) -> list[str]:
        """The ids that are not released yet."""
        return list(self._jobs)

    def begin(self, job_id: str, stops: Iterable[StopTask], *, now: float) -> None:
        """Track the runs of an ended job that are being stopped; without any, release its id."""
        runs = dict.fromkeys(stops, now + self._lost_run_s)
        if runs:
            self._jobs[job_id] = runs
        else:
            self._release(job_id)

    def extend(self, stops: Iterable[StopTask], *, now: float) -> None:
        """Restart the wait for runs of ended jobs that are stopped once more.

        An agent that was unreachable may receive the stops of its runs only now.
        """
        for stop in stops:
            if stop.job_id in self._jobs:
                self._jobs[stop.job_id][stop] = now + self._lost_run_s

    def record_end(self, run: StopTask) -> None:
        """Record that a run has ended. The last run of a job releases its id."""
        runs = self._jobs.get(run.job_id, {})
        if runs.pop(run, None) is None or runs:
            return
        del self._jobs[run.job_id]
        self._release(run.job_id)

    def tick(self, *, now: float) -> None:
        """Treat runs whose time is over as ended."""
        for runs in list(self._jobs.values()):
            for run in [run for run, ends_by in runs.items() if now >= ends_by]:
                self._presume_over(run)
                self.record_end(run)
