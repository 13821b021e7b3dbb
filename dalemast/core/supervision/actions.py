"""Actions that the supervisor returns for its agent to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.scheduling.actions import EndReason
from dalemast.core.supervision.base import RunId, StartRequest

__all__ = [
    "Action",
    "OrderStart",
    "OrderStop",
    "PreemptRun",
    "ReportCapacity",
    "ReportDeparture",
    "ReportDepartureRisk",
    "ReportEnd",
    "ReportSlow",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderStart:
    """Start a run on the worker."""

    request: StartRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderStop:
    """Stop a run on the worker."""

    run_id: RunId


@dataclass(frozen=True, kw_only=True, slots=True)
class PreemptRun:
    """Stop a run on the worker to free its capacity for a more urgent job.

    ``age_s`` is how long it has run, in seconds, and ``lost_core_s`` the work that is lost, in
    core-seconds. Runs whose priority number is ``preempts_from`` or higher may be preempted for
    that job.
    """

    run_id: RunId
    priority: int
    preempts_from: int
    age_s: float
    lost_core_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportEnd:
    """Report to an owner how a run ended. ``run_s`` is its observed run time, in seconds.

    ``is_confirmed`` tells that the worker's answers show the end, and not the loss of the worker.
    """

    owner: str
    run_id: RunId
    reason: EndReason
    run_s: float
    is_confirmed: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportSlow:
    """Report to an owner that a run is slow or makes no progress.

    ``total_s`` is its estimated total run time at its pace so far. ``worker_pace`` is a lower
    estimate of the worker's pace over several jobs, or 0 if there are too few of them.
    """

    owner: str
    run_id: RunId
    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportCapacity:
    """Report the free capacity to the owners."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportDeparture:
    """Report in how many seconds the worker leaves at the earliest; None if it stays."""

    in_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportDepartureRisk:
    """Report to an owner whether a run is likely to outlast its leaving worker.

    ``left_s`` is the run's remaining time and ``leaves_in_s`` the worker's, both in seconds.
    """

    owner: str
    run_id: RunId
    left_s: float
    leaves_in_s: float


Action = (
    OrderStart
    | OrderStop
    | PreemptRun
    | ReportEnd
    | ReportSlow
    | ReportCapacity
    | ReportDeparture
    | ReportDepartureRisk
)
