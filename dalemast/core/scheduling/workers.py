"""An owner's view of a worker.

The view may be outdated: the agent of the worker decides whether a task fits.
"""

from __future__ import annotations

from dataclasses import dataclass

from dalemast.core.scheduling.capacity_releases import age_releases, are_releases_valid
from dalemast.core.scheduling.load import CapacityRelease, WorkerSpeed
from dalemast.core.workloads import Resources

__all__ = ["CapacityReport", "SlowRun", "WorkerView"]

SPEED_LEARNING_RATE = 0.1
"""Weight of the latest task in a worker's slowness: an average over about ten tasks."""
SLOWNESS_HALF_LIFE_S = 2.0
"""Half-life of the slowness above the threshold. Without decay a worker that was slow for a while
would get no more tasks, and so could never show that it has recovered."""
TEMPORARY_SLOWNESS_FACTOR = 1.5
"""Slowness above this multiple of the baseline is considered temporary and decays."""
SLOWNESS_RANGE = (0.3, 20.0)
"""Limits of a single slowness sample, so that an outlier does not dominate the average."""
MAX_SINGLE_RUN_FACTOR = 3.0
"""Limit of a single sample, as a multiple of a known baseline. One long task must not make the
worker look slow; three of them in a row do."""

FAILURE_WEIGHT = 0.3
"""Weight of the latest task in a worker's failure share: one failure makes the worker suspect, and
two successes after it clear it. A sound worker fails about one task in 500."""
SUSPECT_FAILURE_SHARE = 0.2
"""Failure share from which a worker gets no tasks that have already failed elsewhere."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityReport:
    """An agent's report on the free capacity of its worker.

    ``seen`` is the number of this owner's last start that ``free`` accounts for. ``is_accepting``
    is false while the worker is leaving or its agent suspects it. ``pace`` is a lower bound on the
    slowness of the worker, estimated from the jobs that are running there, or 0 if there are too
    few of them. ``answered_ago_s`` is how long ago the agent sent the last call that the worker
    has answered, in seconds.
    """

    seen: int
    free: Resources
    is_accepting: bool
    pace: float = 0.0
    answered_ago_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowRun:
    """An agent's report on a slow or stalled run. Times are in seconds.

    ``total_s`` is the run time extrapolated from the progress so far; ``worker_pace`` is the pace
    of the worker, as in :class:`CapacityReport`.
    """

    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


class WorkerView:
    """One owner's view of one incarnation of a worker."""

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
        """Whether its data centre is evacuated. Its agent may not have been notified yet."""
        self._free = capacity
        self._is_accepting = False
        self._reported_at: float | None = None
        self._unconfirmed_starts: dict[int, Resources] = {}
        self._slowness = 1.0
        self._learned_at = 0.0
        self._failure_share = 0.0
        self.releases: tuple[CapacityRelease, ...] = ()
        """Capacity releases from the agent's last report, earliest first."""
        self.releases_reported_at = 0.0
        """Time of that report, by the owner's monotonic clock."""
        self.reported_speed: WorkerSpeed | None = None
        """Speed that its agent has measured, if it was reported."""
        self.baseline_slowness: float | None = None
        """Long-term slowness relative to the median worker of its service, or None if unknown."""
        self.leaves_at: float | None = None
        """Earliest time at which it may leave, by the owner's monotonic clock, or None."""

    @property
    def name(self) -> str:
        """The worker's id, which is different for each incarnation."""
        return self._name

    @property
    def service(self) -> str:
        """The service whose tasks it runs."""
        return self._service

    @property
    def capacity(self) -> Resources:
        """Its total capacity, which may change."""
        return self._capacity

    @property
    def labels(self) -> frozenset[str]:
        """Its labels, including the rack."""
        return self._labels

    @property
    def is_same_data_centre(self) -> bool:
        """Whether it is in the owner's data centre."""
        return self._is_same_data_centre

    @property
    def data_centre(self) -> str:
        """The name of its data centre."""
        return self._data_centre

    @property
    def is_accepting(self) -> bool:
        """Whether its agent accepts starts and its data centre is not evacuated."""
        return self._is_accepting and not self.is_evacuated

    @property
    def free(self) -> Resources:
        """Capacity that was free at the last report, minus that of starts sent since then."""
        return self._free

    @property
    def is_suspect(self) -> bool:
        """Whether many of this owner's recent tasks on it have failed.

        The agent suspects a worker only after consecutive failures. A worker that fails half of
        its tasks still accepts starts, but must not get tasks that have failed elsewhere.
        """
        return self._failure_share >= SUSPECT_FAILURE_SHARE

    @property
    def used_share(self) -> float:
        """The share of its processors that is in use."""
        if not self._capacity.cpu:
            return 0.0
        return 1.0 - self._free.cpu / self._capacity.cpu

    def reserve(self, resources: Resources, *, number: int) -> None:
        """Subtract the resources of a start that is being sent. Numbers increase with each start.

        They stay subtracted until a report accounts for that start.
        """
        self._unconfirmed_starts[number] = resources
        self._free -= resources

    def get_age_s(self, now: float) -> float:
        """Return the age of the last report, or 0 if there was none."""
        return 0.0 if self._reported_at is None else now - self._reported_at

    def update(self, report: CapacityReport, *, now: float) -> None:
        """Apply a report, minus the starts that the agent had not received yet."""
        self._reported_at = now
        self._is_accepting = report.is_accepting
        for number in [number for number in self._unconfirmed_starts if number <= report.seen]:
            del self._unconfirmed_starts[number]
        self._free = report.free
        for resources in self._unconfirmed_starts.values():
            self._free -= resources

    def resize(self, capacity: Resources) -> None:
        """Set its total capacity. The free capacity may become negative, since runs continue."""
        self._free += capacity - self._capacity
        self._capacity = capacity

    def set_releases(self, rows: tuple[CapacityRelease, ...], *, now: float) -> None:
        """Store the expected capacity releases; an invalid report counts as empty."""
        self.releases = rows if are_releases_valid(rows) else ()
        self.releases_reported_at = now

    def get_releases(self, now: float) -> tuple[CapacityRelease, ...]:
        """Return the pending capacity releases, relative to now; none if it accepts no starts."""
        if not self.is_accepting:
            return ()
        max_cpu = self._capacity.cpu - max(self._free.cpu, 0)
        return age_releases(self.releases, age_s=now - self.releases_reported_at, max_cpu=max_cpu)

    def suspend(self) -> None:
        """Send it no starts until the next report."""
        self._is_accepting = False

    def record_outcome(self, *, is_failure: bool) -> None:
        """Update its failure share with the outcome of a task."""
        newest = 1.0 if is_failure else 0.0
        self._failure_share += FAILURE_WEIGHT * (newest - self._failure_share)

    def learn_slowness(
        self, ratio: float, *, now: float, weight: float = SPEED_LEARNING_RATE
    ) -> None:
        """Update its slowness with the ratio of an actual to an expected run time.

        A ``weight`` above the default is for a ratio that is based on several tasks.
        """
        lowest, highest = SLOWNESS_RANGE
        if self.baseline_slowness is not None and weight <= SPEED_LEARNING_RATE:
            highest = MAX_SINGLE_RUN_FACTOR * self.baseline_slowness
        ratio = min(max(ratio, lowest), highest)
        slowness = self._get_observed_slowness(now)
        self._slowness = slowness + weight * (ratio - slowness)
        self._learned_at = now

    def get_slowness(self, now: float) -> float:
        """Return the ratio of its run times to the usual ones: 2 means twice as long."""
        observed = self._get_observed_slowness(now)
        if self.baseline_slowness is None or self.has_turned_slow(now):
            return observed
        return self.baseline_slowness

    def has_turned_slow(self, now: float) -> bool:
        """Return whether it is currently much slower than its baseline."""
        return self._get_observed_slowness(now) > self._temporary_slowness_threshold

    @property
    def _temporary_slowness_threshold(self) -> float:
        """Slowness above which the worker is considered temporarily slow."""
        return TEMPORARY_SLOWNESS_FACTOR * (self.baseline_slowness or 1.0)

    def _get_observed_slowness(self, now: float) -> float:
        """Return the slowness observed by this owner, which decays down to the threshold."""
        threshold = self._temporary_slowness_threshold
        if self._slowness <= threshold:
            return self._slowness
        age_s = now - self._learned_at
        decayed = self._slowness * float(0.5 ** (age_s / SLOWNESS_HALF_LIFE_S))
        return max(threshold, decayed)
