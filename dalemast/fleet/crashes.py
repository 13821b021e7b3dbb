"""Messages about worker crashes, and an agent's history of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from dalemast.core.scheduling import CrashedTask, RunPresumedOver
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import CrashedRow, WorkerCrashed

__all__ = [
    "CrashMemory",
    "make_presumed_crashed",
    "make_withdrawal",
    "make_worker_crashed",
    "read_crashed_tasks",
]

MAX_CRASHES = 32
"""Maximum number of crashes kept: enough to cover the time for which a caller resubmits a job, also
when its task crashes one worker incarnation after the other."""


class CrashMemory:
    """The latest crashes of one worker, for entries that connect later.

    An entry that was unreachable or restarted may get a job again that has crashed workers.
    """

    def __init__(self) -> None:
        self._crashes: deque[WorkerCrashed] = deque(maxlen=MAX_CRASHES)

    @property
    def crashes(self) -> tuple[WorkerCrashed, ...]:
        """The messages to send to an entry that connects."""
        return tuple(self._crashes)

    def add(self, crashed: WorkerCrashed) -> None:
        """Add a crash; the oldest one is dropped if there are too many."""
        self._drop(crashed.worker)
        self._crashes.append(crashed)

    def record_alive(self, worker: str) -> None:
        """Drop the crash of an incarnation that responds again, so it was only unresponsive."""
        if any(known.worker == worker for known in self._crashes):
            self._drop(worker)

    def _drop(self, worker: str) -> None:
        kept = [known for known in self._crashes if known.worker != worker]
        self._crashes = deque(kept, maxlen=MAX_CRASHES)


def make_worker_crashed(
    worker: str,
    tasks: Iterable[CrashedTask],
    *,
    is_observed: bool = True,
    is_lasting: bool = False,
) -> WorkerCrashed:
    """Return the message about a crash."""
    return WorkerCrashed(
        worker=worker,
        is_observed=is_observed,
        is_lasting=is_lasting,
        tasks=tuple(
            CrashedRow(
                job=row.job_id,
                step=row.task.step,
                position=row.task.position,
                age_s=-1.0 if row.age_s is None else round(row.age_s, 4),
                has_begun=row.has_begun,
                run=row.run,
            )
            for row in tasks
        ),
    )


def make_presumed_crashed(over: RunPresumedOver) -> WorkerCrashed:
    """Return the message about a run whose end was not observed: its worker may have crashed."""
    task = CrashedTask(job_id=over.job_id, task=over.task, age_s=None, run=over.run)
    return make_worker_crashed(over.worker, [task], is_observed=False, is_lasting=over.is_lasting)


def make_withdrawal(worker: str, task: CrashedTask) -> WorkerCrashed:
    """Return the message that a run, announced as one that may crash its worker, has not."""
    announced = make_worker_crashed(worker, [task], is_observed=False)
    return msgspec.structs.replace(announced, is_withdrawn=True)


def read_crashed_tasks(crashed: WorkerCrashed) -> list[CrashedTask]:
    """Return the tasks listed in a message."""
    return [
        CrashedTask(
            job_id=row.job,
            task=TaskKey(row.step, row.position),
            age_s=None if row.age_s < 0 else row.age_s,
            has_begun=row.has_begun,
            run=row.run,
        )
        for row in crashed.tasks
    ]
