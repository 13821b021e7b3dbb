"""Crashes of workers as rows of frames, and what an agent remembers of its worker's."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from dalemast.core.scheduling import CrashedTask
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import Crashed, CrashedRow

__all__ = ["CrashMemory", "make_crashed", "read_crashed"]

MAX_CRASHES = 32
"""Crashes that an agent remembers: a worker that each of its lives loses after three seconds comes
to this many in more than a minute, and no caller asks for a job that long."""


class CrashMemory:
    """The latest crashes of one worker, for entries that are met later.

    An entry that was out of reach, or began anew, may be asked for a job that has cost workers.
    """

    def __init__(self) -> None:
        self._crashes: deque[Crashed] = deque(maxlen=MAX_CRASHES)

    @property
    def crashes(self) -> tuple[Crashed, ...]:
        """What entries are told when they are met."""
        return tuple(self._crashes)

    def add(self, crashed: Crashed) -> None:
        """Remember a crash; the oldest one goes."""
        self._drop(crashed.worker)
        self._crashes.append(crashed)

    def note_there(self, life: str) -> list[Crashed]:
        """Note that a life answers: return the others that were silent, which have ended.

        If it was silent itself, it has not.
        """
        ended = [
            msgspec.structs.replace(known, is_seen=True)
            for known in self._crashes
            if not known.is_seen and known.worker != life
        ]
        for crashed in ended:
            self.add(crashed)
        if any(not known.is_seen for known in self._crashes):
            self._drop(life)
        return ended

    def _drop(self, life: str) -> None:
        kept = [known for known in self._crashes if known.worker != life]
        self._crashes = deque(kept, maxlen=MAX_CRASHES)


def make_crashed(worker: str, tasks: Iterable[CrashedTask], *, is_seen: bool = True) -> Crashed:
    """Return the message on a crash."""
    return Crashed(
        worker=worker,
        is_seen=is_seen,
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


def read_crashed(news: Crashed) -> list[CrashedTask]:
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
