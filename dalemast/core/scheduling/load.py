"""What is told of load beyond a worker's free room, and which decisions a deployment asks for."""

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
    """The decisions under load that a deployment asks for; each is off unless it is asked for."""

    shares_demand: bool = False
    """Entries tell one another what waits, and agents when room comes free."""
    forecasts: bool = False
    """A job that can't begin in time is refused as it arrives, and one with room is not refused."""
    preempts: bool = False
    """More urgent jobs take room from less urgent ones that have begun."""
    learns_speeds: bool = False
    """Agents keep how fast their worker is, and slow ones serve the jobs whose slack allows it."""
    balances: bool = False
    """Whole jobs go to the data centre where they begin soonest, and wanted racks keep room."""
    plans_departures: bool = False
    """What a leaving worker can't end is moved before it is lost."""


DEFAULT_LOAD_POLICY = LoadPolicy()


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityRelease:
    """Room that is expected to come free on a worker in so many seconds, in one step.

    ``cpu`` is thousandths of a core, and does not count what earlier steps free.
    """

    in_s: float
    cpu: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerSpeed:
    """An agent's word on its worker's run times over the usual ones: 2 takes twice as long.

    ``runs`` is how many ended runs it rests on.
    """

    slowness: float
    runs: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DepartureRisk:
    """An agent's word on a run that its worker is expected to leave before it ends.

    ``left_s`` is the rest of the run at its pace, ``leaves_in_s`` the least time that the worker
    has left, both in seconds.
    """

    left_s: float
    leaves_in_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuedDemand:
    """What one entry has waiting for a service, at one priority.

    ``jobs`` have not begun and can still be on time; ``core_s`` is what all their tasks take, in
    core-seconds. ``data_centre`` is the entry's own.
    """

    service: str
    priority: int
    data_centre: str
    jobs: int
    core_s: float
