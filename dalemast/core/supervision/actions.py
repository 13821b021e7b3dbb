"""What the supervisor asks its surroundings to do."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.scheduling.actions import EndReason
from dalemast.core.supervision.base import RunId, StartRequest

__all__ = [
    "Action",
    "OrderStart",
    "OrderStop",
    "PreemptRun",
    "ReportDepartureRisk",
    "ReportEnd",
    "ReportDeparture",
    "ReportCapacity",
    "ReportSlow",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderStart:
    """Tell the worker to start a run."""

    request: StartRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderStop:
    """Tell the worker to stop a run."""

    run_id: RunId


@dataclass(frozen=True, kw_only=True, slots=True)
class PreemptRun:
    """Tell the worker to stop a run, so that a more urgent job can begin.

    ``age_s`` is how long it ran and ``lost_core_s`` the work that is lost, in core-seconds;
    ``preempts_from`` is the lowest priority whose runs give way to that job.
    """

    run_id: RunId
    priority: int
    preempts_from: int
    age_s: float
    lost_core_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportEnd:
    """Tell an owner how a run ended. ``run_s`` is how long it was seen to run, in seconds."""

    owner: str
    run_id: RunId
    reason: EndReason
    run_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportSlow:
    """Tell an owner that a run crawls or stands still.

    ``total_s`` is its whole run time at its pace so far. ``worker_pace`` is how slow several
    jobs on this worker show it to be for sure; 0 if there are too few.
    """

    owner: str
    run_id: RunId
    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportCapacity:
    """Tell the owners what is free."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportDeparture:
    """Tell the owners the least time that the worker has left, in seconds; None if it stays."""

    in_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportDepartureRisk:
    """Tell an owner of a run that its worker can't end, as in ``DepartureRisk``.

    Times are seconds.
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
