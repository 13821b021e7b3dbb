"""Which tasks workers have crashed under, and which of them are to blame.

The load that it answers: a few jobs whose tasks end every worker that starts them. Each takes what
else runs on a worker with it, so that a task that is simply started anew takes a service from
everybody within a second. When a worker ends, any task on it may be the cause: most are bystanders,
and a bystander that is given up is as bad for its caller as one that is lost.

So the tasks of a crashed worker are suspects. They are started anew at once, but apart from other
suspects, so that a second crash tells them apart. One under which two workers have ended is started
alone. A task is given up once two workers have ended under it in the same way while it was the only
suspect there, or once three have ended, however that was.

A worker that falls silent, or whose agent does, may have crashed, or be cut off. Such an end counts
only as unseen: it makes a task suspect, and five ends of either kind are the bound. It counts as
seen once another life is there in its place, and not at all once that life is back.

What is known of a task is a set of workers' lives, told by their agents to all entries and kept by
the job's id. What was seen only grows, whoever tells it, how often and in which order, for as long
as the job is open and a while longer: an owner that is lost, or a caller that asks again, does not
begin anew.
"""

from __future__ import annotations

import enum
from collections.abc import Container
from dataclasses import dataclass, field

from dalemast.core.workloads import TaskKey

__all__ = ["Crash", "CrashRecords", "CrashedTask", "Suspicion"]

CRASHES_FOR_VERDICT = 2
"""Crashes after which a task that was the only suspect is given up; fewer are never enough, since
all that runs on a worker ends with it."""
MOST_CRASHES = 3
"""Crashes after which any task is given up: the bound on what one may cost."""
MOST_ENDS = 5
"""The same with ends that nobody saw: the platform lets a task that crashes its workers be started
twice more after its third crash, and all its ends may have been unseen ones."""
SAME_AGE_S = 0.25
"""How far the ages may differ at which a task ends its workers: an agent finds its worker gone
within a look. A bystander's differ by up to its run time."""
REMEMBERED_S = 120.0
"""How long a job is remembered after its last crash: as long as the platform lets callers ask for
what became of one."""
MAX_ENDED = 1024
"""Jobs that are remembered though they are not open here; the ones that crashed first go first."""


class Suspicion(enum.IntEnum):
    """How a task is started, for the crashes under it."""

    NONE = 0
    APART = 1
    """Away from other suspects where there is room elsewhere."""
    ALONE = 2
    """Only where no other suspect runs, and nothing is started beside it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of one life of a worker under a task.

    ``age_s`` is how long the task had run, in seconds, or None where nobody saw it. ``is_sole``
    tells that no other task there had been under a crash before, and ``is_seen`` that the worker's
    process was found gone, or another life in its place.
    """

    life: str
    age_s: float | None
    is_sole: bool
    is_seen: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedTask:
    """A task that ran on a worker as it crashed; see :class:`Crash`."""

    job_id: str
    task: TaskKey
    age_s: float | None
    is_sole: bool


@dataclass(kw_only=True, slots=True)
class JobCrashes:
    """What is known of one job: the crashes of its tasks by life, and when the last was learned."""

    noted_at: float
    tasks: dict[TaskKey, dict[str, Crash]] = field(default_factory=dict)


class CrashRecords:
    """The crashes under tasks, by job. Times are seconds, steady.

    ``open_jobs`` are the ids of jobs that have not ended; what is known of them is never forgotten.
    """

    def __init__(self, *, open_jobs: Container[str]) -> None:
        self._open_jobs = open_jobs
        self._jobs: dict[str, JobCrashes] = {}
        """The job whose last crash was learned first is first."""

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def note(self, job_id: str, task: TaskKey, crash: Crash, *, now: float) -> bool:
        """Take in a crash; return whether it was news."""
        before = next((c for c in self.get(job_id, task) if c.life == crash.life), None)
        if before is not None and (before.is_seen or not crash.is_seen):
            return False
        known = self._jobs.pop(job_id, None) or JobCrashes(noted_at=now)
        known.noted_at = now
        known.tasks.setdefault(task, {})[crash.life] = crash
        self._jobs[job_id] = known
        self._forget_ended()
        return True

    def get(self, job_id: str, task: TaskKey) -> tuple[Crash, ...]:
        """Return the crashes under a task."""
        known = self._jobs.get(job_id)
        return () if known is None else tuple(known.tasks.get(task, {}).values())

    def is_job_suspect(self, job_id: str) -> bool:
        """Tell whether several workers have ended under tasks of a job.

        Tasks of a job that end their workers mostly begin together: then one crash under each is as
        good as two.
        """
        known = self._jobs.get(job_id)
        if known is None:
            return False
        crashes = (crash for ends in known.tasks.values() for crash in ends.values())
        lives = {crash.life for crash in crashes if crash.is_seen}
        return len(lives) >= CRASHES_FOR_VERDICT

    def get_suspicion(self, job_id: str, task: TaskKey) -> Suspicion:
        """Return how a task is to be started."""
        crashes = self.get(job_id, task)
        if not crashes:
            return Suspicion.NONE
        is_one_seen = any(crash.is_seen for crash in crashes)
        is_likely = len(crashes) >= CRASHES_FOR_VERDICT or self.is_job_suspect(job_id)
        return Suspicion.ALONE if is_one_seen and is_likely else Suspicion.APART

    def is_guilty(self, job_id: str, task: TaskKey) -> bool:
        """Tell whether a task is to be given up."""
        ends = self.get(job_id, task)
        crashes = [end for end in ends if end.is_seen]
        if len(crashes) >= MOST_CRASHES or len(ends) >= MOST_ENDS:
            return True
        if len(crashes) < CRASHES_FOR_VERDICT or not any(crash.is_sole for crash in crashes):
            return False
        ages = [crash.age_s for crash in crashes if crash.age_s is not None]
        return not ages or max(ages) - min(ages) <= SAME_AGE_S

    def list_unseen(self, life: str) -> list[CrashedTask]:
        """Return the tasks under which this life may have ended, as ends that were seen by now."""
        return [
            CrashedTask(job_id=job_id, task=task, age_s=ends[life].age_s, is_sole=False)
            for job_id, known in self._jobs.items()
            for task, ends in known.tasks.items()
            if life in ends and not ends[life].is_seen
        ]

    def clear_unseen(self, life: str) -> set[str]:
        """Forget that a life may have ended, as it is there; return the jobs that it concerns."""
        cleared = {(row.job_id, row.task) for row in self.list_unseen(life)}
        for job_id, task in cleared:
            del self._jobs[job_id].tasks[task][life]
        return {job_id for job_id, _ in cleared}

    def tick(self, *, now: float) -> None:
        """Forget ended jobs whose last crash was long ago."""
        for job_id, known in list(self._jobs.items()):
            if now - known.noted_at < REMEMBERED_S:
                return
            if job_id not in self._open_jobs:
                del self._jobs[job_id]

    def _forget_ended(self) -> None:
        if len(self._jobs) <= MAX_ENDED:
            return
        ended = [job_id for job_id in self._jobs if job_id not in self._open_jobs]
        for job_id in ended[: max(0, len(ended) - MAX_ENDED)]:
            del self._jobs[job_id]
