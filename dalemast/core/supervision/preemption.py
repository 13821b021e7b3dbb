"""Preemption at the agent: which runs are stopped for more urgent work that finds no capacity.

When long, less urgent tasks fill all workers, short urgent jobs would wait for an end until they
are late.

Preemption is bounded whatever owners request. A run is preempted only if its job can still be on
time, less than half of the run is done, and stopping it is faster than waiting for its end. Each
priority keeps a share of the worker's cores, and only a small share of all work may be lost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dalemast.core.scheduling.actions import CapacityRequest
from dalemast.core.supervision.base import RunId
from dalemast.core.supervision.runs import (
    MIN_AGE_S,
    Run,
    RunPhase,
)

__all__ = ["PreemptionBudget", "PreemptionReservations", "VictimChoice", "get_lost_core_s"]

KEPT_SHARE = 0.25
"""Share of a worker's cores that each priority keeps under preemption."""
LOST_SHARE = 0.01
"""Share of the core-seconds of successful runs that may be lost to preemption. Under overload other
callers wait for this capacity, so the cost to them is bounded."""
BUDGET_CAP_S = 5.0
"""Upper bound of the saved budget: what a fully used worker earns in this many seconds."""
PROGRESS_SHARE = 0.5
"""Share of a run after which it is not preempted, since finishing it takes less than a restart."""
MIN_GAIN = 2.0
"""Minimum remaining time of a run that is preempted, as a multiple of the time a stop takes."""
HOLD_S = 0.05
"""Time for which freed capacity is reserved for the owner that requested it, in seconds. Within it,
the owner must receive the report and the agent the owner's start."""
MAX_RESERVATION_S = 1.0
"""Maximum duration of a reservation, since a stop may be lost."""
MAX_REQUEST_AGE_S = 0.25
"""Maximum age of a capacity request. An older one comes from a paused host or over a link that was
cut, and its job is late or has started elsewhere."""


def get_lost_core_s(run: Run, *, now: float) -> float:
    """Return the work that is lost if the run is stopped now, in core-seconds."""
    return max(now - run.started_at, 0.0) * run.request.resources.cpu / 1000


class PreemptionBudget:
    """The core-seconds that may be lost to preemption on one worker.

    This is a token bucket that successful runs refill.
    """

    def __init__(self) -> None:
        self._core_s = 0.0

    @property
    def core_s(self) -> float:
        """The work that may be lost now, in core-seconds."""
        return self._core_s

    def record_work(self, core_s: float, *, capacity_cpu: int) -> None:
        """Record the work of a successful run."""
        max_core_s = LOST_SHARE * BUDGET_CAP_S * capacity_cpu / 1000
        self._core_s = min(self._core_s + LOST_SHARE * core_s, max(max_core_s, 0.0))

    def spend(self, core_s: float) -> None:
        """Subtract work that is lost."""
        self._core_s -= core_s


@dataclass(frozen=True, kw_only=True, slots=True)
class VictimChoice:
    """Chooses the runs that are preempted. ``stop_s`` is the maximum time that a stop takes.

    ``free_cpu`` is the capacity free for the requesting owner and ``capacity_cpu`` the worker's,
    both in thousandths of a core. ``budget_core_s`` is the work that may be lost.
    """

    stop_s: float
    free_cpu: int
    capacity_cpu: int
    budget_core_s: float

    def choose(
        self, runs: Iterable[Run], capacity_request: CapacityRequest, *, now: float
    ) -> list[Run]:
        """Return the runs that together free enough capacity for one task, or none.

        Runs that lose the least work are chosen first.
        """
        needed = capacity_request.cpu - self.free_cpu
        if (
            capacity_request.preempts_from is None
            or capacity_request.preempts_from < 1
            or needed <= 0
        ):
            return []
        active = [run for run in runs if run.phase is not RunPhase.STOPPING]
        candidates = [
            run for run in active if self._is_preemptible(run, capacity_request.preempts_from, now)
        ]
        candidates.sort(key=lambda run: get_lost_core_s(run, now=now))
        chosen = self._select_enough(
            candidates, needed, preemptible_cpu=self._get_preemptible_cpu(active)
        )
        lost_core_s = sum(get_lost_core_s(run, now=now) for run in chosen)
        return chosen if lost_core_s <= self.budget_core_s else []

    def _is_preemptible(self, run: Run, preempts_from: int, now: float) -> bool:
        """Return whether a run may be preempted. Comparisons with NaN must yield False."""
        request = run.request
        if run.phase is not RunPhase.RUNNING or run.is_order_open or not run.was_listed:
            return False
        if request.restart_slack_s is None or request.priority < preempts_from:
            return False
        if not now + self.stop_s <= request.sent_at + request.restart_slack_s:
            return False
        age_s = now - run.started_at
        total_s = _get_total_s(run)
        left_s = total_s - age_s
        return age_s <= PROGRESS_SHARE * total_s and left_s > MIN_GAIN * self.stop_s

    def _get_preemptible_cpu(self, active: Iterable[Run]) -> dict[int, float]:
        """Return by priority the used capacity beyond the share that it keeps."""
        used: Counter[int] = Counter()
        for run in active:
            used[run.request.priority] += run.request.resources.cpu
        kept = KEPT_SHARE * self.capacity_cpu
        return {priority: cpu - kept for priority, cpu in used.items()}

    def _select_enough(
        self, candidates: Iterable[Run], needed: int, *, preemptible_cpu: Mapping[int, float]
    ) -> list[Run]:
        """Return the first runs that free enough, without those that turn out unnecessary."""
        preemptible = dict(preemptible_cpu)
        chosen: list[Run] = []
        freed = 0
        for run in candidates:
            if freed >= needed:
                break
            cpu = run.request.resources.cpu
            if cpu <= 0 or cpu > preemptible[run.request.priority]:
                continue
            preemptible[run.request.priority] -= cpu
            chosen.append(run)
            freed += cpu
        if freed < needed:
            return []
        for run in reversed(chosen[:]):
            cpu = run.request.resources.cpu
            if freed - cpu >= needed:
                chosen.remove(run)
                freed -= cpu
        return chosen


def _get_total_s(run: Run) -> float:
    """Return a run's total time, estimated by progress if possible, else the expected time."""
    if run.percent > 0 and run.observed_s >= MIN_AGE_S:
        return run.get_total_s()
    return run.request.expected_s


@dataclass(kw_only=True, slots=True)
class _Reservation:
    """Capacity that is being freed for an owner. ``until`` is when the reservation expires."""

    cpu: int
    """The requested capacity, in thousandths of a core; 0 once the request is withdrawn."""
    preempts_from: int
    victims: dict[RunId, int]
    """The preempted runs that have not ended yet, with their thousandths of a core."""
    until: float
    is_reported: bool = False
    """Whether the owner has been returned by ``take_ready``."""

    @property
    def reserved_cpu(self) -> int:
        """The capacity freed for the owner so far, in thousandths of a core."""
        return max(self.cpu - sum(self.victims.values()), 0)


class PreemptionReservations:
    """Capacity that is freed for owners by preemption, at most one reservation for each.

    Freed capacity is reserved for a short time, or less urgent work would use it again. Times are
    readings of the agent's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._open: dict[str, _Reservation] = {}

    def __len__(self) -> int:
        return len(self._open)

    def has_open(self, owner: str) -> bool:
        """Return whether an owner has a reservation."""
        return owner in self._open

    def begin(
        self, owner: str, capacity_request: CapacityRequest, victims: Iterable[Run], *, now: float
    ) -> None:
        """Add a reservation for an owner for which these runs are stopped."""
        assert capacity_request.preempts_from is not None
        self._open[owner] = _Reservation(
            cpu=capacity_request.cpu,
            preempts_from=capacity_request.preempts_from,
            victims={run.request.run_id: run.request.resources.cpu for run in victims},
            until=now + MAX_RESERVATION_S,
        )

    def note_end(self, run_id: RunId, *, now: float) -> None:
        """Record that a run has certainly ended. With the last one, the hold time begins."""
        for owner, reservation in list(self._open.items()):
            if reservation.victims.pop(run_id, None) is None or reservation.victims:
                continue
            reservation.until = now + HOLD_S
            if reservation.cpu == 0:
                del self._open[owner]

    def note_start(self, owner: str, priority: int) -> None:
        """Record a start by an owner; an urgent one uses up its reservation."""
        reservation = self._open.get(owner)
        if (
            reservation is not None
            and not reservation.victims
            and priority < reservation.preempts_from
        ):
            del self._open[owner]

    def cancel(self, owner: str) -> bool:
        """Withdraw an owner's request; return whether capacity was reserved for it.

        The reservation stays until its victims have ended, so that a new request by the owner does
        not preempt further runs.
        """
        reservation = self._open.get(owner)
        if reservation is None or reservation.cpu == 0:
            return False
        reservation.cpu = 0
        if not reservation.victims:
            del self._open[owner]
        return True

    def clear(self) -> None:
        """Drop all reservations, since the incarnation of the worker has changed."""
        self._open.clear()

    def drop_expired(self, *, now: float) -> bool:
        """Drop reservations that were not used in time; return whether there were any."""
        overdue = [owner for owner, reservation in self._open.items() if now > reservation.until]
        for owner in overdue:
            del self._open[owner]
        return bool(overdue)

    def get_reserved_cpu(self, owner: str) -> int:
        """Return the capacity reserved for other owners, in thousandths of a core."""
        return sum(t.reserved_cpu for other, t in self._open.items() if other != owner)

    def get_cpu_reserved_from(self, owner: str, priority: int) -> int:
        """Return the capacity reserved for others that a start of this priority must not use."""
        return sum(
            reservation.reserved_cpu
            for other, reservation in self._open.items()
            if other != owner and priority >= reservation.preempts_from
        )

    def take_ready(self) -> list[str]:
        """Return the owners whose capacity has become free since the last call."""
        ready = []
        for owner, reservation in self._open.items():
            if not reservation.victims and not reservation.is_reported:
                reservation.is_reported = True
                ready.append(owner)
        return ready
