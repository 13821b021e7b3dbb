"""Conversion of the scheduler's actions to messages for agents."""

from __future__ import annotations

from dalemast.core.scheduling import CapacityRequest, StartTask
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import (
    CapacityRequestRow,
    RunRow,
    StartRow,
    Starts,
)

__all__ = ["make_run_row", "make_starts", "make_capacity_request_row"]


def make_run_row(job_id: str, task: TaskKey, run: int) -> RunRow:
    """Return the row that identifies one run of a task."""
    return RunRow(job=job_id, step=task.step, position=task.position, run=run)


def make_capacity_request_row(want: CapacityRequest | None) -> CapacityRequestRow | None:
    """Return the row of a capacity request; the times in its rank are rounded to 0.1 ms."""
    if want is None:
        return None
    return CapacityRequestRow(
        rank=tuple(round(part, 4) for part in want.rank),
        cpu=want.cpu,
        preempts_from=-1 if want.preempts_from is None else want.preempts_from,
    )


def make_starts(group: list[StartTask], want: CapacityRequest | None) -> Starts:
    """Return the message that starts tasks of one job on one worker and shares its payload."""
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
                restart_slack_s=-1.0
                if start.restart_slack_s is None
                else round(start.restart_slack_s, 3),
            )
        )
    return Starts(
        job=group[0].job.id,
        payload=group[0].job.payload,
        tasks=tuple(rows),
        request=make_capacity_request_row(want),
        priority=group[0].job.queue.priority,
    )
