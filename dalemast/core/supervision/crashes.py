"""The tasks that may have crashed a worker."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.scheduling.crashes import SAME_AGE_S, CrashedTask
from dalemast.core.supervision.runs import Run

__all__ = ["list_crashed"]


def list_crashed(runs: Collection[Run], *, ended_at: float | None) -> tuple[CrashedTask, ...]:
    """Return the tasks that ran on a crashed worker or may have begun there.

    A task may crash its worker before its start is answered, so tasks with an open order are
    included. ``ended_at`` is None for a worker that was given up as unresponsive: ages would then
    all be close to the lease and would make innocent tasks look alike.
    """
    return tuple(
        CrashedTask(
            job_id=run.request.run_id.job_id,
            task=run.request.run_id.task,
            run=run.request.run_id.run,
            age_s=_get_age(run, ended_at),
            has_begun=run.has_begun,
        )
        for run in runs
        if not run.is_number_used
    )


def _get_age(run: Run, ended_at: float | None) -> float | None:
    """Return the age of a run when its worker ended, in seconds, or None if it is unknown.

    A run begins between its order and the answer, so its start is unknown if the agent was paused
    in between.
    """
    if ended_at is None or not run.has_begun:
        return None
    if run.started_at - run.ordered_at > SAME_AGE_S:
        return None
    return max(0.0, ended_at - run.started_at)
