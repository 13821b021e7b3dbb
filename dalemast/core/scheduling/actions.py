"""What the scheduler asks its surroundings to do, and the words it reads from agents."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from dalemast.core.scheduling.crashes import Crash
from dalemast.core.scheduling.exclusions import WorkerExclusions
from dalemast.core.scheduling.forecasts import Forecast
from dalemast.core.workloads import JobRequest, TaskKey

__all__ = [
    "Action",
    "RequestCapacity",
    "EndReason",
    "JobFinished",
    "JobRefused",
    "JobState",
    "RefusalCause",
    "RunMoved",
    "RunPresumedOver",
    "StartTask",
    "StopTask",
    "TaskGivenUp",
    "CapacityRequest",
]


class JobState(enum.Enum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"


class EndReason(enum.Enum):
    """How one run of a task ended, or why it never began."""

    DONE = "done"
    FAILED = "failed"
    """It ran and failed, by its own fault or the worker's."""
    STOPPED = "stopped"
    """It was stopped on request, lapsed with its lease, or left with a worker that leaves."""
    CRASHED = "crashed"
    """Its worker's process ended under it without a word."""
    NO_ROOM = "no-room"
    """The agent did not start it: too little was free."""
    NOT_TAKEN = "not-taken"
    """The agent did not start it: the worker leaves, fails, or did not answer."""
    PREEMPTED = "preempted"
    """Its agent stopped it so that a more urgent job can begin; it has surely ended."""
    RUN_USED = "run-used"
    """The worker has already seen this run, so another number is needed."""


NEVER_STARTED = frozenset({EndReason.NO_ROOM, EndReason.NOT_TAKEN, EndReason.RUN_USED})


class RefusalCause(enum.Enum):
    """Why a job that has not run is refused."""

    OVERLOAD = "overload"
    NO_WORKERS = "no-workers"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityRequest:
    """What an owner lacks room for: the first of its waiting jobs.

    ``rank`` is that job's key of the order, which compares across owners; the least goes first.
    ``cpu`` is what its next task takes, in thousandths of a core. ``preempts_from`` is the lowest
    priority whose runs may give way to it, or None if none may.
    """

    rank: tuple[float, ...]
    cpu: int
    preempts_from: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCapacity:
    """Tell agents what this owner wants room for, or that it wants none any more."""

    workers: tuple[str, ...]
    request: CapacityRequest | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """Start a task on a worker. ``number`` counts the owner's starts.

    ``restart_slack_s`` is for how long from now the task could still begin anew and its job be on
    time; None if it must not be preempted.
    """

    worker: str
    job: JobRequest
    task: TaskKey
    run: int
    expected_s: float
    number: int
    restart_slack_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop one run of a task on a worker."""

    worker: str
    job_id: str
    task: TaskKey
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RunPresumedOver:
    """Note that a run out of reach counts as ended by now, though nobody has said so.

    ``lost_s`` is for how long it was out of reach.
    """

    worker: str
    job_id: str
    task: TaskKey
    run: int
    lost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskGivenUp:
    """Note that a task is not started any more, for the workers' lives that ended under it."""

    job: JobRequest
    task: TaskKey
    crashes: tuple[Crash, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobFinished:
    """A job has ended.

    ``waited_s`` is the time until its first task was started, ``spread_s`` that from there until
    its last one was, ``objective_s`` that within which its answer is on time, by its true run times
    if it ended well; ``refused_starts`` counts starts that agents did not take, mostly since
    another owner was quicker to use the room. ``preemptions`` counts runs that gave way to more
    urgent jobs.
    """

    job: JobRequest
    state: JobState
    cause: str
    waited_s: float
    spread_s: float
    objective_s: float
    runs: int
    refused_starts: int
    preemptions: int
    workers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRefused:
    """A job of which no task was ever started is given up. ``retry_after_s`` is in seconds.

    ``workers`` of its service were in reach. ``needed_cpu`` is what its largest waiting task takes
    and ``free_cpu`` the most that was free on one accepting worker, or -1 without any; both count
    thousandths of a core. ``view_age_s`` is the age of the oldest word on one of the workers.
    ``left_out`` tells which rule left each of them out for the first of its waiting tasks.
    ``forecast`` is what was expected of it, if forecasts are asked for and one could be made.
    """

    job: JobRequest
    cause: RefusalCause
    retry_after_s: float
    waited_s: float
    waiting_jobs: int
    workers: int
    needed_cpu: int
    free_cpu: int
    view_age_s: float
    left_out: WorkerExclusions
    forecast: Forecast | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RunMoved:
    """Note that a run is stopped so that its task can run elsewhere, and for which cause.

    ``age_s`` is how long it ran, ``left_s`` what was left of it and ``leaves_in_s`` the least time
    that its worker has left, in seconds; ``cpu`` is thousandths of a core.
    """

    worker: str
    job_id: str
    task: TaskKey
    run: int
    cause: str
    age_s: float
    cpu: int
    left_s: float
    leaves_in_s: float


Action = (
    StartTask
    | StopTask
    | RunMoved
    | RunPresumedOver
    | TaskGivenUp
    | JobFinished
    | JobRefused
    | RequestCapacity
)
