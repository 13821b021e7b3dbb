"""The runs of ended jobs that may still go on, and with them the ids that are not free yet."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from dalemast.core.scheduling import StopTask

__all__ = ["UnfinishedRuns"]


class UnfinishedRuns:
    """By ended job, which of its runs are being stopped, and when each has surely ended by itself.

    Runs are told apart by worker, task and number. Ends of a job's other runs may come at any time:
    an agent that was out of reach tells of them once it is back. ``lost_run_s`` is how long a run
    may go on after it was told to stop, and ``release`` frees an id once nothing of it runs.
    """

    def __init__(self, *, lost_run_s: float, release: Callable[[str], None]) -> None:
        self._lost_run_s = lost_run_s
        self._release = release
        self._jobs: dict[str, dict[StopTask, float]] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    @property
    def job_ids(self) -> list[str]:
        """The ids that are not free yet."""
        return list(self._jobs)

    def begin(self, job_id: str, stops: Iterable[StopTask], *, now: float) -> None:
        """Note that a job has ended whose runs are told to stop; without any its id is free."""
        runs = dict.fromkeys(stops, now + self._lost_run_s)
        if runs:
            self._jobs[job_id] = runs
        else:
            self._release(job_id)

    def extend(self, stops: Iterable[StopTask], *, now: float) -> None:
        """Wait anew for runs of ended jobs that are told to stop once more.

        An agent that was out of reach lists them still, and may hear of their stops only now.
        """
        for stop in stops:
            if stop.job_id in self._jobs:
                self._jobs[stop.job_id][stop] = now + self._lost_run_s

    def record_end(self, run: StopTask) -> None:
        """Note that a run has ended; the last one frees the id."""
        runs = self._jobs.get(run.job_id, {})
        if runs.pop(run, None) is None or runs:
            return
        del self._jobs[run.job_id]
        self._release(run.job_id)

    def tick(self, *, now: float) -> None:
        """Take runs whose time is over for ended."""
        for runs in list(self._jobs.values()):
            for run in [run for run, over_at in runs.items() if now >= over_at]:
                self.record_end(run)
