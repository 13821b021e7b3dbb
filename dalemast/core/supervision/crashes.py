"""The tasks under which a worker has crashed."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.scheduling.crashes import SAME_AGE_S, CrashedTask
from dalemast.core.supervision.runs import Run

__all__ = ["list_crashed"]


def list_crashed(runs: Collection[Run], *, ended_at: float | None) -> tuple[CrashedTask, ...]:
    """Return the tasks that a worker has crashed under: all that ran on it or may have begun.

    A task may end its worker before its start is answered, so one whose order is open is named too.
    ``ended_at`` is None for a worker that is given up as silent: the ages at which all its tasks
    would have ended it are then about its lease, and say nothing of them.
    """
    return tuple(
        CrashedTask(
            job_id=run.request.run_id.job_id,
            task=run.request.run_id.task,
            age_s=_get_age(run, ended_at),
            has_begun=run.has_begun,
        )
        for run in runs
    )


def _get_age(run: Run, ended_at: float | None) -> float | None:
    """Return how long a run had gone when its worker ended, if that is known.

    It began some time between its order and the answer; an agent that stood still meanwhile can't
    tell when.
    """
    if ended_at is None or not run.has_begun:
        return None
    if run.started_at - run.ordered_at > SAME_AGE_S:
        return None
    return max(0.0, ended_at - run.started_at)
