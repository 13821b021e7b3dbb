"""Queues, jobs, steps and tasks as callers request them on a platform with leased workers."""

from dalemast.core.workloads.base import JobRequest, Resources, StepRequest, TaskKey
from dalemast.core.workloads.exceptions import (
    CancelNotConfirmed,
    JobGivenUp,
    JobNotSupported,
    JobNotTaken,
    JobShapeInvalid,
    QueuesUnknown,
    QueueUnknown,
)
from dalemast.core.workloads.queues import Queue, QueueTable

__all__ = [
    "CancelNotConfirmed",
    "JobGivenUp",
    "JobNotSupported",
    "JobNotTaken",
    "JobRequest",
    "JobShapeInvalid",
    "Queue",
    "QueueTable",
    "QueueUnknown",
    "QueuesUnknown",
    "Resources",
    "StepRequest",
    "TaskKey",
]
