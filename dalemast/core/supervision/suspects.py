"""The tasks on a worker under which others have crashed, and what may start beside them."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.scheduling.crashes import CrashedTask, Suspicion
from dalemast.core.supervision.base import RunId
from dalemast.core.supervision.runs import Run

__all__ = ["SuspectRuns", "list_crashed"]


class SuspectRuns:
    """The suspects among the runs of one worker. Owners see their own; the agent sees them all."""

    def __init__(self) -> None:
        self._runs: dict[RunId, Suspicion] = {}

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def has_alone(self) -> bool:
        """Whether one runs that nothing may be started beside."""
        return Suspicion.ALONE in self._runs.values()

    def admits(self, suspicion: Suspicion) -> bool:
        """Tell whether a task may join what runs: one to be alone joins no other suspect."""
        return not self.has_alone and not (suspicion is Suspicion.ALONE and self._runs)

    def add(self, run_id: RunId, suspicion: Suspicion) -> None:
        """Note a run that begins."""
        if suspicion:
            self._runs[run_id] = suspicion

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
