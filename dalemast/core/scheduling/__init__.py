"""Scheduling of jobs at their owner: placement and retries of tasks, and refusal of jobs."""

from dalemast.core.scheduling.actions import (
    NEVER_STARTED,
    Action,
    CapacityRequest,
    EndReason,
    JobFinished,
    JobRefused,
    JobState,
    RefusalCause,
    RequestCapacity,
    RunMoved,
    RunPresumedOver,
    StartTask,
    StopTask,
    TaskGivenUp,
)
from dalemast.core.scheduling.balance import BalancedPlacement
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.crashes import Crash, CrashedTask, RunRef
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.exclusions import WorkerExclusions
from dalemast.core.scheduling.forecasts import DemandElsewhere, Forecast
from dalemast.core.scheduling.load import (
    DEFAULT_LOAD_POLICY,
    CapacityRelease,
    DepartureRisk,
    LoadPolicy,
    QueuedDemand,
    WorkerSpeed,
)
from dalemast.core.scheduling.orders import LeastSlackOrder, PriorityOrder
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.scheduler import Scheduler, SchedulerLimits
from dalemast.core.scheduling.workers import CapacityReport, SlowRun, WorkerView

__all__ = [
    "NEVER_STARTED",
    "DEFAULT_LOAD_POLICY",
    "Action",
    "RequestCapacity",
    "BalancedPlacement",
    "BaseOrder",
    "BasePlacement",
    "CapacityRelease",
    "Crash",
    "CrashedTask",
    "DepartureRisk",
    "DemandElsewhere",
    "EndReason",
    "FastestPlacement",
    "Forecast",
    "JobFinished",
    "JobRefused",
    "JobState",
    "LeastSlackOrder",
    "WorkerExclusions",
    "LoadPolicy",
    "QueuedDemand",
    "PriorityOrder",
    "RefusalCause",
    "CapacityReport",
    "RunMoved",
    "RunPresumedOver",
    "RunRef",
    "RunTimes",
    "Scheduler",
    "SchedulerLimits",
    "SlowRun",
    "StartTask",
    "StopTask",
    "TaskGivenUp",
    "CapacityRequest",
    "WorkerSpeed",
    "WorkerView",
]
