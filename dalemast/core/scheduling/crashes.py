"""Which tasks workers have crashed under, and which of them are to blame.

The load that it answers: a few jobs whose tasks end every worker that starts them. Each takes what
else runs on a worker with it, so that a task that is simply started anew takes a service from
everybody within a second. When a worker ends, any task on it may be the cause: most are bystanders,
and a bystander that is given up is as bad for its caller as one that is lost.

All of them are started anew at once. A task ends its workers at about the same age each time, and a
bystander's ages differ: a task is given up once two workers have ended under it at the same age, or
once three have, however that was. To give up at any second end would answer more bystanders as
failed, and to start tasks apart or alone after a first one would keep room from all others.

A worker that falls silent, or whose agent does, may have crashed, or be cut off, and its tasks may
have lapsed before. Such an end counts only as unseen, and not at all once that life is back. A task
that the worker had just been told to start may have come too late to be the cause; for it the end
is unseen as well. Five ends of any kind are the bound.

What is known of a task is a set of workers' lives, told by their agents to all entries and kept by
the job's id. What was seen only grows, whoever tells it, how often and in which order, for as long
as the job is open and a while longer: an owner that is lost, or a caller that asks again, does not
begin anew.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field, replace
from itertools import pairwise

from dalemast.core.workloads import TaskKey

__all__ = ["Crash", "CrashRecords", "CrashedTask"]

MAX_CRASHES = 3
"""Crashes after which any task is given up: the bound on what one may cost."""
MAX_ENDS = 5
"""The same with ends that nobody saw: the platform lets a task that crashes its workers be started
twice more after its third crash, and all its ends may have been unseen ones."""
SAME_AGE_S = 0.1
"""How far the ages may differ at which a task ends its workers: agents find them gone some 35 ms
later, give or take a look that is under way."""
RETENTION_S = 120.0
"""How long a job is remembered after its last crash: as long as the platform lets callers ask for
what became of one."""
MAX_REPORTED_JOBS = 64
"""Jobs of which a peer is told as it is met; those whose last crash is the latest are told."""
MAX_ENDED_JOBS = 1024
"""Jobs that are remembered though they are not open here; the ones that crashed first go first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of one life of a worker under a task.

    ``age_s`` is how long the task had run, in seconds, or None where nobody saw it. ``is_observed``
    tells that the worker's process was found gone while its lease went on, and ``has_begun`` that
    the task was seen to run there.
    """

    incarnation: str
    age_s: float | None
    is_observed: bool = True
    has_begun: bool = True

    @property
    def is_sure(self) -> bool:
        """Whether a worker has surely ended under the task."""
        return self.is_observed and self.has_begun


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedTask:
    """A task that ran on a worker as it crashed; see :class:`Crash`."""

    job_id: str
    task: TaskKey
    age_s: float | None
    has_begun: bool = True


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
        self._unseen_lives: set[str] = set()
        """Lives that may have ended, and perhaps some that were seen to end since."""

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def record(self, job_id: str, task: TaskKey, crash: Crash, *, now: float) -> bool:
        """Take in a crash; return whether it was news."""
        before = next(
            (c for c in self.get(job_id, task) if c.incarnation == crash.incarnation), None
        )
        if before is not None and (before.is_sure or not crash.is_sure):
            return False
        known = self._jobs.pop(job_id, None) or JobCrashes(noted_at=now)
        known.noted_at = now
        known.tasks.setdefault(task, {})[crash.incarnation] = crash
        if not crash.is_sure:
            self._unseen_lives.add(crash.incarnation)
        self._jobs[job_id] = known
        self._forget_ended()
        return True

    def get(self, job_id: str, task: TaskKey) -> tuple[Crash, ...]:
        """Return the crashes under a task."""
        known = self._jobs.get(job_id)
        return () if known is None else tuple(known.tasks.get(task, {}).values())

    def is_suspect(self, job_id: str, task: TaskKey) -> bool:
        """Tell whether a worker has ended under a task, or may have."""
        return bool(self.get(job_id, task))

    def is_job_suspect(self, job_id: str) -> bool:
        """Tell whether several tasks of a job may end their workers.

        They mostly begin together, so that several workers end at the same age of theirs.
        """
        known = self._jobs.get(job_id)
        if known is None:
            return False
        ends_by_life = {
            crash.incarnation: crash for ends in known.tasks.values() for crash in ends.values()
        }
        return len(ends_by_life) >= MAX_CRASHES and _are_two_alike(ends_by_life.values())

    def should_give_up(self, job_id: str, task: TaskKey) -> bool:
        """Tell whether a task is to be given up."""
        ends = self.get(job_id, task)
        crashes = [end for end in ends if end.is_sure]
        if len(crashes) >= MAX_CRASHES or len(ends) >= MAX_ENDS:
            return True
        return _are_two_alike(crashes)

    def list_latest(self) -> dict[Crash, list[CrashedTask]]:
        """Return the tasks under which lives have ended, by that end, for a peer that was met.

        An entry that has begun anew knows nothing of them, and may be asked for their jobs next.
        """
        rows: dict[Crash, list[CrashedTask]] = {}
        for job_id in list(self._jobs)[-MAX_REPORTED_JOBS:]:
            for task, ends in self._jobs[job_id].tasks.items():
                for end in ends.values():
                    row = CrashedTask(
                        job_id=job_id, task=task, age_s=end.age_s, has_begun=end.has_begun
                    )
                    rows.setdefault(replace(end, age_s=None, has_begun=True), []).append(row)
        return rows

    def clear_unconfirmed(self, incarnation: str) -> set[str]:
        """Forget that a life may have ended, as it is there; return the jobs that it concerns."""
        if incarnation not in self._unseen_lives:
            return set()
        self._unseen_lives.discard(incarnation)
        cleared = {
            (job_id, task)
            for job_id, known in self._jobs.items()
            for task, ends in known.tasks.items()
            if incarnation in ends and not ends[incarnation].is_sure
        }
        for job_id, task in cleared:
            del self._jobs[job_id].tasks[task][incarnation]
        return {job_id for job_id, _ in cleared}

    def tick(self, *, now: float) -> None:
        """Forget ended jobs whose last crash was long ago."""
        for job_id, known in list(self._jobs.items()):
            if now - known.noted_at < RETENTION_S:
                return
            if job_id not in self._open_jobs:
                del self._jobs[job_id]
        if not self._jobs:
            self._unseen_lives.clear()

    def _forget_ended(self) -> None:
        if len(self._jobs) <= MAX_ENDED_JOBS:
            return
        ended = [job_id for job_id in self._jobs if job_id not in self._open_jobs]
        for job_id in ended[: max(0, len(ended) - MAX_ENDED_JOBS)]:
            del self._jobs[job_id]


def _are_two_alike(crashes: Iterable[Crash]) -> bool:
    """Tell whether a task had run for about the same time at two crashes that were seen."""
    ages = sorted(c.age_s for c in crashes if c.is_sure and c.age_s is not None)
    return any(later - age <= SAME_AGE_S for age, later in pairwise(ages))
