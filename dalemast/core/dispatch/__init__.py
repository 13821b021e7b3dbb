"""The owner of jobs: accepts them, dispatches their tasks and returns one result for each."""

from dalemast.core.dispatch.base import (
    JobRequest,
    JobResult,
    OwnerEffects,
    OwnerPolicy,
)
from dalemast.core.dispatch.exceptions import (
    CallerGone,
    DeadlinePassed,
    EndpointFailed,
    JobCancelled,
    NothingCanRun,
    UnknownService,
    WorkerLost,
)
from dalemast.core.dispatch.owner import Owner

__all__ = [
    "CallerGone",
    "DeadlinePassed",
    "EndpointFailed",
    "JobCancelled",
    "JobRequest",
    "JobResult",
    "NothingCanRun",
    "Owner",
    "OwnerEffects",
    "OwnerPolicy",
    "UnknownService",
    "WorkerLost",
]
