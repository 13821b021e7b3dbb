"""What an owner believes of a worker. The worker's agent has the last word on room."""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.scheduling.capacity_releases import age_releases, are_releases_valid
from dalemast.core.scheduling.load import CapacityRelease, WorkerSpeed
from dalemast.core.workloads import Resources

__all__ = ["CapacityReport", "SlowRun", "WorkerView"]

SPEED_LEARNING_RATE = 0.1
"""Weight of the newest task in a worker's slowness: about the last ten tasks count."""
SLOWNESS_HALF_LIFE_S = 2.0
"""Evidence of slowness halves in this time: workers turn slow for about 6 s, and one that gets no
tasks gives no new evidence."""
USUAL_SLOWNESS = 1.5
"""Up to which slowness a worker may simply be of a slower kind, which does not fade."""
SLOWNESS_RANGE = (0.3, 20.0)
"""Bounds on what one task may say of a worker's slowness, so that no outlier decides alone."""
MOST_BY_ONE = 3.0
"""How many times slower than its kind one task may show a worker whose kind is known: a single one
is simply long, and three of them in a row show that the worker has turned slow."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest task in a worker's share of failures: one failure makes it suspect, and two
tasks that end well after it clear it. Sound workers fail about one task in 500."""
SUSPECT_SHARE = 0.2
"""Share of failures from which a worker is no place for the last attempt of a task."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityReport:
    """An agent's word on its worker.

    ``seen`` is the number of the last start of this owner that ``free`` takes account of.
    ``is_accepting`` is false while the worker leaves or its agent doubts it. ``pace`` is how slow
    the jobs that run there now show it to be for sure, by their whole run times at their pace over
    the expected ones, or 0 if there are too few to tell.
    """

    seen: int
    free: Resources
    is_accepting: bool
    pace: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowRun:
    """An agent's word on a run that crawls or stands still. Times are seconds.

    ``total_s`` is its whole run time at its pace so far; ``worker_pace`` is how slow the jobs
    on the worker show it to be for sure, as in :class:`CapacityReport`, or 0 if there are too few.
    """

    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


class WorkerView:
    """One life of a worker, seen from one owner."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        capacity: Resources,
        labels: frozenset[str],
        is_same_data_centre: bool,
        data_centre: str = "",
    ) -> None:
        self._name = name
        self._service = service
        self._capacity = capacity
        self._labels = labels
        self._is_same_data_centre = is_same_data_centre
        self._data_centre = data_centre
        self.is_evacuated = False
        """Whether nothing may be started in its data centre; its agent may not know yet."""
        self._free = capacity
        self._is_accepting = False
        self._reported_at: float | None = None
        self._sent: dict[int, Resources] = {}
        self._slowness = 1.0
        self._learned_at = 0.0
        self._failed_share = 0.0
        self.releases: tuple[CapacityRelease, ...] = ()
        """Room that comes free, by the agent's last word, soonest first."""
        self.releases_reported_at = 0.0
        """When that was told, by the owner's steady clock."""
        self.reported_speed: WorkerSpeed | None = None
        """What its agent has learned of its speed."""
        self.baseline_slowness: float | None = None
        """How slow it is for good, over the middle worker of its service, if that is known. What
        this owner sees beyond it is in passing, and fades."""
        self.leaves_at: float | None = None
        """When it may leave at the soonest, by the owner's steady clock; None if it stays."""

    @property
    def name(self) -> str:
        """The worker's id, new with each of its lives."""
        return self._name

    @property
    def service(self) -> str:
        """The service whose tasks it runs."""
        return self._service

    @property
    def capacity(self) -> Resources:
        """What it has in all, which may change."""
        return self._capacity

    @property
    def labels(self) -> frozenset[str]:
        """Its labels, the rack among them."""
        return self._labels

    @property
    def is_same_data_centre(self) -> bool:
        """Whether it is in the owner's data centre."""
        return self._is_same_data_centre

    @property
    def data_centre(self) -> str:
        """Where it is."""
        return self._data_centre

    @property
    def is_accepting(self) -> bool:
        """Whether its agent takes starts, and its data centre is not evacuated."""
        return self._is_accepting and not self.is_evacuated

    @property
    def free(self) -> Resources:
        """What was free at the last report, less what was sent since."""
        return self._free

    @property
    def is_suspect(self) -> bool:
        """Whether many of this owner's latest tasks there have failed.

        Its agent doubts a worker only after failures in a row. One that fails half of its tasks
        gets new ones meanwhile, and must not get those that have failed elsewhere already.
        """
        return self._failed_share >= SUSPECT_SHARE

    @property
    def used_share(self) -> float:
        """The share of its processors in use."""
        if not self._capacity.cpu:
            return 0.0
        return 1.0 - self._free.cpu / self._capacity.cpu

    def reserve(self, resources: Resources, *, number: int) -> None:
        """Count a start that is being sent; numbers rise from start to start."""
        self._sent[number] = resources
        self._free -= resources

    def get_age_s(self, now: float) -> float:
        """Return how old the last report is; 0 before the first."""
        return 0.0 if self._reported_at is None else now - self._reported_at

    def update(self, report: CapacityReport, *, now: float) -> None:
        """Take in a report."""
        self._reported_at = now
        self._is_accepting = report.is_accepting
        for number in [number for number in self._sent if number <= report.seen]:
            del self._sent[number]
        self._free = report.free
        for resources in self._sent.values():
            self._free -= resources

    def resize(self, capacity: Resources) -> None:
        """Note what it has in all by now; runs go on also if they take more than that."""
        self._free += capacity - self._capacity
        self._capacity = capacity

    def set_releases(self, rows: tuple[CapacityRelease, ...], *, now: float) -> None:
        """Take in an agent's word on room that comes free; one that can't be true says nothing."""
        self.releases = rows if are_releases_valid(rows) else ()
        self.releases_reported_at = now

    def get_releases(self, now: float) -> tuple[CapacityRelease, ...]:
        """Return the room that still comes free, counted from now; none if it takes no starts."""
        if not self.is_accepting:
            return ()
        max_cpu = self._capacity.cpu - max(self._free.cpu, 0)
        return age_releases(self.releases, age_s=now - self.releases_reported_at, max_cpu=max_cpu)

    def suspend(self) -> None:
        """Send it nothing until the next report."""
        self._is_accepting = False

    def record_outcome(self, *, is_failure: bool) -> None:
        """Take in that a task failed or ended well there."""
        newest = 1.0 if is_failure else 0.0
        self._failed_share += FAILURE_WEIGHT * (newest - self._failed_share)

    def learn_slowness(
        self, ratio: float, *, now: float, weight: float = SPEED_LEARNING_RATE
    ) -> None:
        """Take in one task's run time over the expected one, or with more weight several tasks'."""
        lowest, highest = SLOWNESS_RANGE
        if self.baseline_slowness is not None and weight <= SPEED_LEARNING_RATE:
            highest = MOST_BY_ONE * self.baseline_slowness
        ratio = min(max(ratio, lowest), highest)
        slowness = self._get_seen_slowness(now)
        self._slowness = slowness + weight * (ratio - slowness)
        self._learned_at = now

    def get_slowness(self, now: float) -> float:
        """Return its run times over the usual ones: 1 is usual, 2 takes twice as long."""
        seen = self._get_seen_slowness(now)
        if self.baseline_slowness is None or self.has_turned_slow(now):
            return seen
        return self.baseline_slowness

    def has_turned_slow(self, now: float) -> bool:
        """Tell whether this owner has seen lately that it is slower than its kind."""
        return self._get_seen_slowness(now) > self._lasting_bound

    @property
    def _lasting_bound(self) -> float:
        """Up to which slowness it may simply be of its kind, and above which it turned slow."""
        return USUAL_SLOWNESS * (self.baseline_slowness or 1.0)

    def _get_seen_slowness(self, now: float) -> float:
        """Return what this owner has seen by itself, of which too much fades."""
        bound = self._lasting_bound
        if self._slowness <= bound:
            return self._slowness
        age_s = now - self._learned_at
        faded = self._slowness * float(0.5 ** (age_s / SLOWNESS_HALF_LIFE_S))
        return max(bound, faded)
