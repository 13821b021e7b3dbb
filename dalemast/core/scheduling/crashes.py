"""Which tasks workers have crashed under, and which of them are to blame.

The load that it answers: a few jobs whose tasks end every worker that starts them. Each takes what
else runs on a worker with it, so that a task that is simply started anew takes a service from
everybody within a second. When a worker ends, any task on it may be the cause: most are bystanders,
and a bystander that is given up is as bad for its caller as one that is lost.

So the tasks of a crashed worker are suspects. They are started anew at once, but apart from other
suspects, so that a second crash tells them apart. One under which two workers have ended is started
alone. A task is given up once two workers have ended under it in the same way while it was the only
suspect there, or once three have ended, however that was.

What is known of a task is a set of workers' lives, told by their agents to all entries and kept by
the job's id. It only grows, whoever tells it, how often and in which order, for as long as the job
is open and a while longer: an owner that is lost, or a caller that asks again, does not begin anew.
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
    tells that no other task there had been under a crash before.
    """

    life: str
    age_s: float | None
    is_sole: bool


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
        if any(known.life == crash.life for known in self.get(job_id, task)):
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
        lives = {life for crashes in known.tasks.values() for life in crashes}
        return len(lives) >= CRASHES_FOR_VERDICT

    def get_suspicion(self, job_id: str, task: TaskKey, *, unseen: int) -> Suspicion:
        """Return how a task is to be started.

        ``unseen`` counts its runs that were out of reach until they were surely over. Workers may
        have ended under them with their agents, which then tell of it seconds later, or never.
        """
        seen = len(self.get(job_id, task))
        if not seen + unseen:
            return Suspicion.NONE
        if seen and (seen + unseen >= CRASHES_FOR_VERDICT or self.is_job_suspect(job_id)):
            return Suspicion.ALONE
        return Suspicion.APART

    def is_guilty(self, job_id: str, task: TaskKey) -> bool:
        """Tell whether a task is to be given up."""
        crashes = self.get(job_id, task)
        if len(crashes) >= MOST_CRASHES:
            return True
        if len(crashes) < CRASHES_FOR_VERDICT or not any(crash.is_sole for crash in crashes):
            return False
        ages = [crash.age_s for crash in crashes if crash.age_s is not None]
        return not ages or max(ages) - min(ages) <= SAME_AGE_S

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
