"""Scheduling of jobs at their owner: placement and retries of tasks, and refusal of jobs."""

from dalemast.core.scheduling.actions import (
    Action,
    AskRoom,
    EndReason,
    JobFinished,
    JobRefused,
    JobState,
    RefusalCause,
    RunMoved,
    RunPresumedOver,
    StartTask,
    StopTask,
    TaskGivenUp,
    Want,
)
from dalemast.core.scheduling.balance import BalancedPlacement
from dalemast.core.scheduling.base import BaseOrder, BasePlacement
from dalemast.core.scheduling.crashes import Crash, CrashedTask
from dalemast.core.scheduling.estimates import RunTimes
from dalemast.core.scheduling.forecasts import DemandElsewhere, Forecast
from dalemast.core.scheduling.left_out import LeftOut
from dalemast.core.scheduling.load import (
    NOTHING_ASKED,
    ComingRoom,
    CutShort,
    LoadPolicy,
    LoadWord,
    WorkerSpeed,
)
from dalemast.core.scheduling.orders import LeastSlackOrder, PriorityOrder
from dalemast.core.scheduling.placements import FastestPlacement
from dalemast.core.scheduling.scheduler import Scheduler, SchedulerLimits
from dalemast.core.scheduling.workers import CapacityReport, SlowRun, WorkerView

__all__ = [
    "NOTHING_ASKED",
    "Action",
    "AskRoom",
    "BalancedPlacement",
    "BaseOrder",
    "BasePlacement",
    "ComingRoom",
    "Crash",
    "CrashedTask",
    "CutShort",
    "DemandElsewhere",
    "EndReason",
    "FastestPlacement",
    "Forecast",
    "JobFinished",
    "JobRefused",
    "JobState",
    "LeastSlackOrder",
    "LeftOut",
    "LoadPolicy",
    "LoadWord",
    "PriorityOrder",
    "RefusalCause",
    "CapacityReport",
    "RunMoved",
    "RunPresumedOver",
    "RunTimes",
    "Scheduler",
    "SchedulerLimits",
    "SlowRun",
    "StartTask",
    "StopTask",
    "TaskGivenUp",
    "Want",
    "WorkerSpeed",
    "WorkerView",
]
