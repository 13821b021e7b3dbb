"""Which tasks ran on workers that crashed, and which of them probably caused it.

Guards against tasks that crash every worker they start on: restarted without a limit, one of them
can take down a whole service, along with all other tasks on its workers. Most tasks on a crashed
worker did not cause the crash, and must not be failed for it.

All tasks of a crashed worker are restarted at once. A task that crashes its workers does so at
about the same age each time. So a task is given up after two crashes at about the same age, or
after ``MAX_CRASHES`` in any case.

A worker that is unresponsive may have crashed or only be disconnected. Such an end is unconfirmed,
and is dropped when the incarnation reports again. An end is also unconfirmed for a task that may
not have started before it. A task is given up after ``MAX_ENDS`` ends of both kinds, or
``MAX_STARTS`` with the runs that were stopped since its first unconfirmed end.

Agents report the ends of incarnations to all entries, which keep them by job id. Reports may arrive
repeatedly and in any order. A confirmed crash is kept while the job is open and for a while after,
so that the count does not restart when the owner is lost or the caller submits the job again.

Where ends are not observed, the peers of an owner count a further start as an unconfirmed end from
the beginning: if the owner and the agent are both lost, nobody could tell them of a crash.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass, field, replace
from itertools import pairwise

from dalemast.core.workloads import TaskKey

__all__ = ["Crash", "CrashRecords", "CrashedTask", "RunRef"]

MAX_CRASHES = 3
"""Number of confirmed crashes after which a task is given up."""
MAX_ENDS = 4
"""Number of ends, confirmed or not, after which a task is given up. One less than
:data:`MAX_STARTS`: one end may be lost with all who knew of it."""
MAX_STARTS = 5
"""Number of ends and stopped runs after which a task is given up: the platform allows as many
starts of a task that crashes its workers."""
SAME_AGE_S = 0.1
"""Maximum difference of the ages at two crashes that count as alike, in seconds. Agents detect a
crash some 35 ms later, give or take a poll that is under way."""
RETENTION_S = 120.0
"""Time for which an ended job is remembered after its last crash, in seconds. Callers may request
its outcome for as long."""
MAX_REPORTED_JOBS = 64
"""Maximum number of jobs reported to a peer when it connects, those with the latest crashes."""
MAX_ENDED_JOBS = 1024
"""Maximum number of remembered jobs that are not open here; the oldest ones are dropped first."""


RunRef = tuple[str, int]
"""Identifies a run of a task: the incarnation of its worker, and its number. A worker executes each
number only once, so another owner's run of the same number there is never executed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of a worker's incarnation while a task ran on it.

    ``run`` is the number of the task's run, or 0 if it is unknown. Several runs on one incarnation
    are several ends: the worker may have crashed under the last one only, but each was a start.
    ``age_s`` is how long the task had run, in seconds, or None if that is unknown. ``is_observed``
    means that the worker process was found to have ended within its lease, ``has_begun`` that the
    task is known to have started there. ``is_lasting`` marks the start of a suspect: it counts as
    an unconfirmed end whatever the worker reports later, since it may crash the worker unnoticed.
    """

    incarnation: str
    age_s: float | None
    run: int = 0
    is_observed: bool = True
    has_begun: bool = True
    is_lasting: bool = False
    is_stopped: bool = False
    """Whether the run is known to have been stopped without a crash; it still was a start."""
    recorded_at: float = field(default=float("-inf"), compare=False)
    """When the end was first recorded here."""

    @property
    def ref(self) -> RunRef:
        """The run of the task that it ended."""
        return self.incarnation, self.run

    @property
    def is_confirmed(self) -> bool:
        """Whether the worker is known to have crashed while the task ran."""
        return self.is_observed and self.has_begun

    @property
    def is_doubtful(self) -> bool:
        """Whether a later answer of the worker shows that it has not ended."""
        return not self.is_confirmed and not self.is_lasting


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedTask:
    """A task that ran on a worker when it crashed; see :class:`Crash`."""

    job_id: str
    task: TaskKey
    age_s: float | None
    run: int = 0
    has_begun: bool = True


@dataclass(kw_only=True, slots=True)
class JobCrashes:
    """The crashes of a job's tasks, by run, and when the last one was recorded."""

    recorded_at: float
    tasks: dict[TaskKey, dict[RunRef, Crash]] = field(default_factory=dict)


class CrashRecords:
    """The crashes by job and task. Times are in seconds, on the monotonic clock.

    ``open_jobs`` are the ids of jobs that have not ended; their crashes are never dropped.
    """

    def __init__(self, *, open_jobs: Container[str]) -> None:
        self._open_jobs = open_jobs
        self._jobs: dict[str, JobCrashes] = {}
        """By job id, in the order of the last crash."""
        self._unconfirmed_incarnations: set[str] = set()
        """Incarnations for which an unconfirmed end was recorded, so that
        :meth:`clear_unconfirmed` skips all others. A later confirmation does not remove them."""

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def record(self, job_id: str, task: TaskKey, crash: Crash, *, now: float) -> bool:
        """Record a crash; return whether it was new, or newly confirmed."""
        before = next((c for c in self.get(job_id, task) if c.ref == crash.ref), None)
        if before is not None and (before.is_confirmed or not crash.is_confirmed):
            if crash.is_lasting and not before.is_confirmed:
                self._jobs[job_id].tasks[task][crash.ref] = replace(before, is_lasting=True)
            return False
        known = self._jobs.pop(job_id, None) or JobCrashes(recorded_at=now)
        known.recorded_at = now
        known.tasks.setdefault(task, {})[crash.ref] = replace(crash, recorded_at=now)
        if crash.is_doubtful:
            self._unconfirmed_incarnations.add(crash.incarnation)
        self._jobs[job_id] = known
        self._evict_ended()
        return True

    def get(self, job_id: str, task: TaskKey) -> tuple[Crash, ...]:
        """Return the crashes recorded for a task."""
        known = self._jobs.get(job_id)
        return () if known is None else tuple(known.tasks.get(task, {}).values())

    def is_suspect(self, job_id: str, task: TaskKey) -> bool:
        """Return whether a worker has crashed while a task ran, or may have."""
        return bool(self.get(job_id, task))

    def has_unconfirmed(self, job_id: str, task: TaskKey) -> bool:
        """Return whether a worker may have crashed unnoticed while a task ran."""
        return any(not crash.is_confirmed for crash in self.get(job_id, task))

    def is_job_suspect(self, job_id: str) -> bool:
        """Return whether several tasks of a job may crash their workers.

        Tasks of a job mostly start together, so their workers crash at about the same age.
        """
        known = self._jobs.get(job_id)
        if known is None:
            return False
        crashes_by_incarnation = {
            crash.incarnation: crash
            for crashes in known.tasks.values()
            for crash in crashes.values()
        }
        return len(crashes_by_incarnation) >= MAX_CRASHES and _are_two_ages_alike(
            crashes_by_incarnation.values()
        )

    def should_give_up(self, job_id: str, task: TaskKey) -> bool:
        """Return whether a task should be given up."""
        ends = self.get(job_id, task)
        crashes = [end for end in ends if end.is_confirmed]
        stopped = [end for end in ends if end.is_stopped]
        if len(crashes) >= MAX_CRASHES or len(ends) >= MAX_STARTS:
            return True
        if len(ends) - len(stopped) >= MAX_ENDS:
            return True
        return _are_two_ages_alike(crashes)

    def list_latest(self) -> dict[Crash, list[CrashedTask]]:
        """Return the latest crashes with the tasks that ran there, to report them to a peer.

        A restarted entry has lost its records, and may be the next one to receive these jobs.
        """
        rows: dict[Crash, list[CrashedTask]] = {}
        for job_id in list(self._jobs)[-MAX_REPORTED_JOBS:]:
            for task, crashes in self._jobs[job_id].tasks.items():
                for crash in crashes.values():
                    row = CrashedTask(
                        job_id=job_id,
                        task=task,
                        age_s=crash.age_s,
                        run=crash.run,
                        has_begun=crash.has_begun,
                    )
                    end = replace(crash, age_s=None, run=0, has_begun=True, is_stopped=False)
                    rows.setdefault(end, []).append(row)
        return rows

    def withdraw(self, job_id: str, task: TaskKey, ref: RunRef) -> None:
        """Drop the unconfirmed end of a start that was not executed."""
        known = self._jobs.get(job_id)
        crash = None if known is None else known.tasks.get(task, {}).get(ref)
        if known is not None and crash is not None and not crash.is_confirmed:
            del known.tasks[task][ref]

    def clear_unconfirmed(self, incarnation: str, *, answered_at: float = math.inf) -> set[str]:
        """Drop the unconfirmed ends of an incarnation that has answered since; return their jobs.

        ``answered_at`` is the earliest time at which it can have given its last answer. It may have
        ended between that and a later report of its agent, which then has not noticed it yet.
        """
        if incarnation not in self._unconfirmed_incarnations:
            return set()
        doubtful = [
            (job_id, task, ref, crash)
            for job_id, known in self._jobs.items()
            for task, crashes in known.tasks.items()
            for ref, crash in crashes.items()
            if crash.incarnation == incarnation and crash.is_doubtful
        ]
        cleared = [row[:3] for row in doubtful if row[3].recorded_at <= answered_at]
        if len(cleared) == len(doubtful):
            self._unconfirmed_incarnations.discard(incarnation)
        for job_id, task, ref in cleared:
            del self._jobs[job_id].tasks[task][ref]
        return {job_id for job_id, _, _ in cleared}

    def tick(self, *, now: float) -> None:
        """Drop ended jobs whose last crash is older than ``RETENTION_S``."""
        for job_id, known in list(self._jobs.items()):
            if now - known.recorded_at < RETENTION_S:
                return
            if job_id not in self._open_jobs:
                del self._jobs[job_id]
        if not self._jobs:
            self._unconfirmed_incarnations.clear()

    def _evict_ended(self) -> None:
        if len(self._jobs) <= MAX_ENDED_JOBS:
            return
        ended = [job_id for job_id in self._jobs if job_id not in self._open_jobs]
        for job_id in ended[: max(0, len(ended) - MAX_ENDED_JOBS)]:
            del self._jobs[job_id]


def _are_two_ages_alike(crashes: Iterable[Crash]) -> bool:
    """Return whether two confirmed crashes happened at about the same age of the task."""
    ages = sorted(c.age_s for c in crashes if c.is_confirmed and c.age_s is not None)
    return any(later - age <= SAME_AGE_S for age, later in pairwise(ages))
