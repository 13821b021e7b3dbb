"""Supervision of one worker by its agent: capacity, leases, runs and reports to owners."""

from dalemast.core.supervision.actions import (
    Action,
    OrderStart,
    OrderStop,
    PreemptRun,
    ReportCapacity,
    ReportDeparture,
    ReportDepartureRisk,
    ReportEnd,
    ReportSlow,
)
from dalemast.core.supervision.base import (
    EndedRun,
    ListedRun,
    RunId,
    StartOutcome,
    StartRequest,
    WorkerIncarnation,
)
from dalemast.core.supervision.capacity_reports import (
    CapacitySubscriber,
    find_most_urgent,
    get_capacity_report_interval_s,
    get_report_order,
)
from dalemast.core.supervision.crashes import list_crashed
from dalemast.core.supervision.health import WorkerHealth
from dalemast.core.supervision.leases import WorkerLease
from dalemast.core.supervision.polls import PollPlan, PollSchedule
from dalemast.core.supervision.runs import Run, RunPhase
from dalemast.core.supervision.speeds import SpeedRecord
from dalemast.core.supervision.supervisor import Supervisor, SupervisorLimits

__all__ = [
    "Action",
    "CapacitySubscriber",
    "EndedRun",
    "ListedRun",
    "OrderStart",
    "OrderStop",
    "PollPlan",
    "PollSchedule",
    "PreemptRun",
    "ReportCapacity",
    "ReportDeparture",
    "ReportDepartureRisk",
    "ReportEnd",
    "ReportSlow",
    "Run",
    "RunId",
    "RunPhase",
    "SpeedRecord",
    "StartOutcome",
    "StartRequest",
    "Supervisor",
    "SupervisorLimits",
    "WorkerHealth",
    "WorkerIncarnation",
    "WorkerLease",
    "find_most_urgent",
    "get_capacity_report_interval_s",
    "get_report_order",
    "list_crashed",
]
