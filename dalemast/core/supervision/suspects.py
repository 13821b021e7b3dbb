"""The tasks on a worker under which others have crashed, and what may start beside them."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.scheduling.crashes import CrashedTask, Suspicion
from dalemast.core.supervision.base import RunId
from dalemast.core.supervision.runs import Run

__all__ = ["SuspectRuns", "list_crashed"]


ALONE_S = 0.5
"""How long nothing joins a task that is to be alone: twice as long as the ages differ at which one
ends its workers. Held for whole run times, tasks of seconds would keep a worker from all others."""


class SuspectRuns:
    """The suspects among the runs of one worker. Owners see their own; the agent sees them all.

    Times are the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._runs: dict[RunId, Suspicion] = {}
        self._alone_until = 0.0

    def __len__(self) -> int:
        return len(self._runs)

    def has_alone(self, *, now: float) -> bool:
        """Tell whether one runs that nothing may be started beside."""
        return now < self._alone_until and Suspicion.ALONE in self._runs.values()

    def admits(self, suspicion: Suspicion) -> bool:
        """Tell whether a task may join the suspects that run: one to be alone joins none."""
        return not (suspicion is Suspicion.ALONE and self._runs)

    def add(self, run_id: RunId, suspicion: Suspicion, *, now: float) -> None:
        """Note a run that begins."""
        if suspicion:
            self._runs[run_id] = suspicion
        if suspicion is Suspicion.ALONE:
            self._alone_until = now + ALONE_S

    def remove(self, run_id: RunId) -> None:
        """Note a run that has ended."""
        self._runs.pop(run_id, None)

    def clear(self) -> None:
        """Note that nothing runs any more."""
        self._runs.clear()


def list_crashed(runs: Collection[Run], *, now: float) -> tuple[CrashedTask, ...]:
    """Return the tasks that a worker has crashed under: all that ran on it or may have begun.

    A task may end its worker before its start is answered, so one whose order is open counts too.
    """
    suspects = sum(run.request.suspicion > Suspicion.NONE for run in runs)
    return tuple(
        CrashedTask(
            job_id=run.request.run_id.job_id,
            task=run.request.run_id.task,
            age_s=max(0.0, now - run.started_at),
            is_sole=suspects == 1 and run.request.suspicion > Suspicion.NONE,
        )
        for run in runs
    )
