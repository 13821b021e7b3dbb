"""The tasks under which a worker has crashed."""

from __future__ import annotations

from collections.abc import Collection

from dalemast.core.scheduling.crashes import CrashedTask
from dalemast.core.supervision.runs import Run

__all__ = ["list_crashed"]


def list_crashed(runs: Collection[Run], *, now: float) -> tuple[CrashedTask, ...]:
    """Return the tasks that a worker has crashed under: all that ran on it or may have begun.

    A task may end its worker before its start is answered, so one whose order is open is named too.
    """
    return tuple(
        CrashedTask(
            job_id=run.request.run_id.job_id,
            task=run.request.run_id.task,
            age_s=max(0.0, now - run.started_at) if run.has_begun else None,
            has_begun=run.has_begun,
        )
        for run in runs
    )
