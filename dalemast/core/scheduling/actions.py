"""Actions that the scheduler returns for its caller to carry out."""

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
    """How one run of a task ended, or why it was not started."""

    DONE = "done"
    FAILED = "failed"
    """The task ran and failed, whether the task or the worker caused it."""
    STOPPED = "stopped"
    """It was stopped on request, its lease expired, or its worker left the fleet."""
    CRASHED = "crashed"
    """The worker process ended during the run without reporting a result."""
    NO_ROOM = "no-room"
    """The agent did not start it: the worker had too little free capacity."""
    NOT_TAKEN = "not-taken"
    """The agent did not start it: the worker is leaving, failing, or did not answer."""
    PREEMPTED = "preempted"
    """Its agent stopped it in favour of a more urgent job; the run is known to have ended."""
    RUN_USED = "run-used"
    """The worker has already received this run number; the task needs a new one."""


NEVER_STARTED = frozenset({EndReason.NO_ROOM, EndReason.NOT_TAKEN, EndReason.RUN_USED})


class RefusalCause(enum.Enum):
    """Why a job is refused before any of its tasks has started."""

    OVERLOAD = "overload"
    NO_WORKERS = "no-workers"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityRequest:
    """The capacity that an owner needs for the first of its waiting jobs.

    ``rank`` is the job's sort key; the lowest of all owners is served first. ``cpu`` is what its
    smallest waiting task needs, in thousandths of a core. Runs whose priority number is
    ``preempts_from`` or higher may be preempted for it; with None, no run may.
    """

    rank: tuple[float, ...]
    cpu: int
    preempts_from: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCapacity:
    """Send a capacity request to agents, or withdraw the last one if ``request`` is None."""

    workers: tuple[str, ...]
    request: CapacityRequest | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """Start a task on a worker. ``number`` counts the owner's starts.

    ``has_hidden_end`` tells that the task may have crashed a worker without anybody observing it.
    ``restart_slack_s`` is for how many seconds from now the task can still be restarted with its
    job on time; None if it must not be preempted.
    """

    worker: str
    job: JobRequest
    task: TaskKey
    run: int
    expected_s: float
    number: int
    restart_slack_s: float | None = None
    has_hidden_end: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop one run of a task on a worker."""

    worker: str
    job_id: str
    task: TaskKey
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RunPresumedOver:
    """Report that an unreachable run is presumed over without a confirmation.

    ``lost_s`` is how long it was unreachable, in seconds. ``is_lasting`` is as in ``Crash``.
    """

    worker: str
    job_id: str
    task: TaskKey
    run: int
    lost_s: float
    is_lasting: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskGivenUp:
    """Report that a task is not started again because too many workers crashed while it ran."""

    job: JobRequest
    task: TaskKey
    crashes: tuple[Crash, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobFinished:
    """Report that a job has ended.

    ``waited_s`` is the time from its arrival to its first start, ``spread_s`` the time from its
    first start to its last, ``objective_s`` the time within which its answer is on time, computed
    from the actual run times if the job succeeded. ``refused_starts`` counts starts that agents
    rejected, mostly because another owner had taken the capacity first. ``preemptions`` counts
    runs that were preempted by more urgent jobs.
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
    """Report that a job is refused before any of its tasks has started.

    ``retry_after_s`` is when its caller should retry, in seconds. ``workers`` is how many workers
    of its service were reachable. ``needed_cpu`` is what its largest waiting task needs and
    ``free_cpu`` the most that was free on one accepting worker, or -1 if there was none, both in
    thousandths of a core. ``view_age_s`` is the age of the oldest worker report in use.
    ``left_out`` counts, by rule, the workers that were excluded for its first waiting task.
    ``forecast`` is the forecast of its start, if forecasts are enabled and one could be made.
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
    """Report that a run is stopped so that its task can run on another worker.

    ``cause`` is why it is moved. ``age_s`` is how long it had run, ``left_s`` its expected
    remaining run time and ``leaves_in_s`` the minimum time until its worker leaves, in seconds.
    ``cpu`` is in thousandths of a core.
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
