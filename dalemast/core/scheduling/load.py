"""Load reports beyond the free capacity of a worker, and the load policy of a deployment."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "DEFAULT_LOAD_POLICY",
    "CapacityRelease",
    "DepartureRisk",
    "LoadPolicy",
    "QueuedDemand",
    "WorkerSpeed",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPolicy:
    """Optional scheduling features of a deployment, all disabled by default."""

    shares_demand: bool = False
    """Entries exchange reports of their queued work; agents report expected capacity releases."""
    forecasts: bool = False
    """A job that is forecast to start too late is refused on arrival.

    A job that is due for refusal is started instead if a worker has capacity for it.
    """
    preempts: bool = False
    """More urgent jobs may stop runs of less urgent ones to get their capacity."""
    learns_speeds: bool = False
    """Agents measure the speed of their worker; slow workers get jobs that have enough slack."""
    balances: bool = False
    """Each job is placed in one data centre, the one where it is expected to end first.

    Racks whose data is in demand keep capacity for the tasks that need it.
    """
    plans_departures: bool = False
    """Runs that a leaving worker can't finish are moved to other workers in time."""


DEFAULT_LOAD_POLICY = LoadPolicy()


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityRelease:
    """Capacity that a worker is expected to release at once, ``in_s`` seconds after the report.

    ``cpu`` is in thousandths of a core and excludes what earlier releases free.
    """

    in_s: float
    cpu: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerSpeed:
    """The measured speed of a worker.

    ``slowness`` is the ratio of its run times to the expected ones: at 2, tasks take twice as
    long. ``runs`` is the number of ended runs that it is based on.
    """

    slowness: float
    runs: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DepartureRisk:
    """An agent's report of a run that its worker is not expected to finish before it leaves.

    ``left_s`` is the expected remaining run time and ``leaves_in_s`` the minimum time until the
    worker leaves, both in seconds.
    """

    left_s: float
    leaves_in_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuedDemand:
    """The queued work of one entry for a service, at one priority.

    ``jobs`` is the number of jobs that have not started and can still be on time, ``core_s`` the
    expected work of all their tasks, in core-seconds. ``data_centre`` is that of the entry.
    """

    service: str
    priority: int
    data_centre: str
    jobs: int
    core_s: float
