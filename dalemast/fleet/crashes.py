"""Crashes of workers as rows of frames, and what an agent remembers of its worker's."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from dalemast.core.scheduling import CrashedTask, RunPresumedOver
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import CrashedRow, WorkerCrashed

__all__ = ["CrashMemory", "make_worker_crashed", "make_presumed_crashed", "read_crashed_tasks"]

MAX_CRASHES = 32
"""Crashes that an agent remembers: a worker that each of its lives loses after three seconds comes
to this many in more than a minute, and no caller asks for a job that long."""


class CrashMemory:
    """The latest crashes of one worker, for entries that are met later.

    An entry that was out of reach, or began anew, may be asked for a job that has cost workers.
    """

    def __init__(self) -> None:
        self._crashes: deque[WorkerCrashed] = deque(maxlen=MAX_CRASHES)

    @property
    def crashes(self) -> tuple[WorkerCrashed, ...]:
        """What entries are told when they are met."""
        return tuple(self._crashes)

    def add(self, crashed: WorkerCrashed) -> None:
        """Remember a crash; the oldest one goes."""
        self._drop(crashed.worker)
        self._crashes.append(crashed)

    def record_alive(self, life: str) -> None:
        """Note that a life answers, so that it has not ended if it was silent before."""
        if any(known.worker == life for known in self._crashes):
            self._drop(life)

    def _drop(self, life: str) -> None:
        kept = [known for known in self._crashes if known.worker != life]
        self._crashes = deque(kept, maxlen=MAX_CRASHES)


def make_worker_crashed(
    worker: str, tasks: Iterable[CrashedTask], *, is_observed: bool = True
) -> WorkerCrashed:
    """Return the message on a crash."""
    return WorkerCrashed(
        worker=worker,
        is_observed=is_observed,
        tasks=tuple(
            CrashedRow(
                job=row.job_id,
                step=row.task.step,
                position=row.task.position,
                age_s=-1.0 if row.age_s is None else round(row.age_s, 4),
                has_begun=row.has_begun,
            )
            for row in tasks
        ),
    )


def make_presumed_crashed(over: RunPresumedOver) -> WorkerCrashed:
    """Return the message on a run that nobody saw end: its worker may have, or its agent."""
    task = CrashedTask(job_id=over.job_id, task=over.task, age_s=None)
    return make_worker_crashed(over.worker, [task], is_observed=False)


def read_crashed_tasks(news: WorkerCrashed) -> list[CrashedTask]:
    """Return the tasks that a message names."""
    return [
        CrashedTask(
            job_id=row.job,
            task=TaskKey(row.step, row.position),
            age_s=None if row.age_s < 0 else row.age_s,
            has_begun=row.has_begun,
        )
        for row in news.tasks
    ]
