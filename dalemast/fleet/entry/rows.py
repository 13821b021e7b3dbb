"""The scheduler's actions as rows of frames to agents."""

from __future__ import annotations

from dalemast.core.scheduling import StartTask, Want
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import CapacityRequestRow, RunRow, StartRow, Starts

__all__ = ["make_row", "make_starts", "make_want"]


def make_row(job_id: str, task: TaskKey, run: int) -> RunRow:
    """Return the row that names one run of a task."""
    return RunRow(job=job_id, step=task.step, position=task.position, run=run)


def make_want(want: Want | None) -> CapacityRequestRow | None:
    """Return what an owner lacks room for, to a tenth of a millisecond."""
    if want is None:
        return None
    return CapacityRequestRow(
        rank=tuple(round(part, 4) for part in want.rank),
        cpu=want.cpu,
        preempts_from=-1 if want.preempts_from is None else want.preempts_from,
    )


def make_starts(group: list[StartTask], want: Want | None) -> Starts:
    """Return the message that starts tasks of one job on one worker, with its text once."""
    rows = []
    for start in group:
        resources = start.job.steps[start.task.step].resources
        rows.append(
            StartRow(
                step=start.task.step,
                position=start.task.position,
                run=start.run,
                cpu=resources.cpu,
                memory_mb=resources.memory_mb,
                gpu=resources.gpu,
                expected_s=round(start.expected_s, 4),
                number=start.number,
                restart_slack_s=-1.0 if start.spare_s is None else round(start.spare_s, 3),
            )
        )
    return Starts(
        job=group[0].job.id,
        payload=group[0].job.payload,
        tasks=tuple(rows),
        request=make_want(want),
        priority=group[0].job.queue.priority,
    )
