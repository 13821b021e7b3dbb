"""Preemption at the agent: which runs give way to more urgent work that finds no room.

It answers a burst of long, less urgent tasks: they fill all workers, and short urgent jobs, which
must begin within a tenth of a second, would wait for an end until they are late.

What is taken is bounded. A run gives way only while its job can still be on time after it, before
half of it is done, and only if that gains more than waiting for its end. Each priority keeps a
share of the worker's cores, and of the work that is done here a share at most is thrown away. The
words of owners are believed no further than that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dalemast.core.scheduling.actions import CapacityRequest
from dalemast.core.supervision.base import RunId
from dalemast.core.supervision.runs import MIN_AGE_S, Run, RunPhase

__all__ = ["PreemptionBudget", "PreemptionReservations", "VictimChoice", "get_lost_core_s"]

KEPT_SHARE = 0.25
"""Share of a worker's cores that each priority keeps: with the usual three priorities each has a
quarter for sure, and the most urgent work may take the last one."""
LOST_SHARE = 0.01
"""Share of the core-seconds of runs that end well which may be thrown away. Under overload other
callers wait for that room, so all of them together pay no more than a hundredth of it, however
urgent the others are."""
SAVED_S = 5.0
"""For how many seconds of a full worker that share may be saved up, so that a burst finds some."""
PROGRESS_SHARE = 0.5
"""Share of a run after which it does not give way: what is left is sooner done than done anew."""
LEAST_GAIN = 2.0
"""How many times the time of a stop a run must have left at least, so that stopping it gains."""
HOLD_S = 0.05
"""How long room that was taken is kept for its owner: two messages and their turns on busy hosts.
"""
LONGEST_S = 1.0
"""How long a takeover may last before it is given up: stops that get lost end with the lease."""
FRESH_S = 0.25
"""How old a wish may be, by when its owner last knew that it ran on. A later one is from a host
that stands still or a link that was cut, and its job is late or has begun elsewhere."""


def get_lost_core_s(run: Run, *, now: float) -> float:
    """Return the work that is lost if a run is stopped now, in core-seconds."""
    return max(now - run.started_at, 0.0) * run.request.resources.cpu / 1000


class PreemptionBudget:
    """How many core-seconds may be thrown away on one worker: a token bucket that its ends fill."""

    def __init__(self) -> None:
        self._core_s = 0.0

    @property
    def core_s(self) -> float:
        """What may be thrown away now, in core-seconds."""
        return self._core_s

    def note_done(self, core_s: float, *, capacity_cpu: int) -> None:
        """Note that a run has ended well after so much work."""
        most = LOST_SHARE * SAVED_S * capacity_cpu / 1000
        self._core_s = min(self._core_s + LOST_SHARE * core_s, max(most, 0.0))

    def spend(self, core_s: float) -> None:
        """Note that so much is thrown away."""
        self._core_s -= core_s


@dataclass(frozen=True, kw_only=True, slots=True)
class VictimChoice:
    """Chooses the runs that give way. ``stop_s`` is the longest time that a stop takes.

    ``free_cpu`` is what is free for the owner that wants room, ``capacity_cpu`` the worker's, both
    in thousandths of a core. ``budget_core_s`` is what may be thrown away.
    """

    stop_s: float
    free_cpu: int
    capacity_cpu: int
    budget_core_s: float

    def choose(self, runs: Iterable[Run], want: CapacityRequest, *, now: float) -> list[Run]:
        """Return the runs that make room for one task together, or none if they can't.

        Those that lose the least work go first.
        """
        needed = want.cpu - self.free_cpu
        if want.preempts_from is None or want.preempts_from < 1 or needed <= 0:
            return []
        going = [run for run in runs if run.phase is not RunPhase.STOPPING]
        fit = [run for run in going if self._may_give_way(run, want.preempts_from, now)]
        fit.sort(key=lambda run: get_lost_core_s(run, now=now))
        chosen = self._take_enough(fit, needed, spare_cpu=self._get_spare_cpu(going))
        lost_core_s = sum(get_lost_core_s(run, now=now) for run in chosen)
        return chosen if lost_core_s <= self.budget_core_s else []

    def _may_give_way(self, run: Run, preempts_from: int, now: float) -> bool:
        """Tell whether a run may give way. What can't be compared, such as NaN, says no."""
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
        return age_s <= PROGRESS_SHARE * total_s and left_s > LEAST_GAIN * self.stop_s

    def _get_spare_cpu(self, going: Iterable[Run]) -> dict[int, float]:
        """Return what each priority has beyond the share that it keeps."""
        used: Counter[int] = Counter()
        for run in going:
            used[run.request.priority] += run.request.resources.cpu
        kept = KEPT_SHARE * self.capacity_cpu
        return {priority: cpu - kept for priority, cpu in used.items()}

    def _take_enough(
        self, fit: Iterable[Run], needed: int, *, spare_cpu: Mapping[int, float]
    ) -> list[Run]:
        """Return the first runs that free enough, less those that are not needed for it."""
        spare = dict(spare_cpu)
        chosen: list[Run] = []
        freed = 0
        for run in fit:
            if freed >= needed:
                break
            cpu = run.request.resources.cpu
            if cpu <= 0 or cpu > spare[run.request.priority]:
                continue
            spare[run.request.priority] -= cpu
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
    """Return a run's whole time: at its pace, or as expected while progress says little."""
    if run.percent > 0 and run.seen_s >= MIN_AGE_S:
        return run.get_total_s()
    return run.request.expected_s


@dataclass(kw_only=True, slots=True)
class _Takeover:
    """Room that is being made for an owner. ``until`` is when it is given up."""

    cpu: int
    """What is wanted, in thousandths of a core; 0 once it is not wanted any more."""
    preempts_from: int
    victims: dict[RunId, int]
    """The runs that have not ended yet, with their thousandths of a core."""
    until: float
    is_told: bool = False
    """Whether its owner is being told that its room is free."""

    @property
    def held_cpu(self) -> int:
        """What is kept for the owner by now."""
        return max(self.cpu - sum(self.victims.values()), 0)


class PreemptionReservations:
    """Room that is made for owners, one takeover each. Times are the agent's steady clock.

    What was freed is kept for its owner for a moment, or less urgent work would take it again.
    """

    def __init__(self) -> None:
        self._open: dict[str, _Takeover] = {}

    def __len__(self) -> int:
        return len(self._open)

    def has_open(self, owner: str) -> bool:
        """Tell whether room is being made for an owner, or kept for it."""
        return owner in self._open

    def begin(
        self, owner: str, want: CapacityRequest, victims: Iterable[Run], *, now: float
    ) -> None:
        """Note that these runs are stopped for an owner."""
        assert want.preempts_from is not None
        self._open[owner] = _Takeover(
            cpu=want.cpu,
            preempts_from=want.preempts_from,
            victims={run.request.run_id: run.request.resources.cpu for run in victims},
            until=now + LONGEST_S,
        )

    def note_end(self, run_id: RunId, *, now: float) -> None:
        """Note that a run has surely ended; with the last one its owner is given a moment."""
        for owner, takeover in list(self._open.items()):
            if takeover.victims.pop(run_id, None) is None or takeover.victims:
                continue
            takeover.until = now + HOLD_S
            if takeover.cpu == 0:
                del self._open[owner]

    def note_start(self, owner: str, priority: int) -> None:
        """Note that an owner has begun a task; with an urgent one it has used its room."""
        takeover = self._open.get(owner)
        if takeover is not None and not takeover.victims and priority < takeover.preempts_from:
            del self._open[owner]

    def give_up(self, owner: str) -> bool:
        """Note that an owner wants no room any more; return whether some was kept for it.

        What is being stopped for it still counts as its takeover: no more is, should it ask again.
        """
        takeover = self._open.get(owner)
        if takeover is None or takeover.cpu == 0:
            return False
        takeover.cpu = 0
        if not takeover.victims:
            del self._open[owner]
        return True

    def clear(self) -> None:
        """Note that the worker is another one."""
        self._open.clear()

    def drop_overdue(self, *, now: float) -> bool:
        """Give up what its owner has not used in time; return whether there was any."""
        overdue = [owner for owner, takeover in self._open.items() if now > takeover.until]
        for owner in overdue:
            del self._open[owner]
        return bool(overdue)

    def get_held_cpu(self, owner: str) -> int:
        """Return what is kept from an owner for others, in thousandths of a core."""
        return sum(t.held_cpu for other, t in self._open.items() if other != owner)

    def get_held_from(self, owner: str, priority: int) -> int:
        """Return what is kept from an owner's start of this priority."""
        return sum(
            takeover.held_cpu
            for other, takeover in self._open.items()
            if other != owner and priority >= takeover.preempts_from
        )

    def take_ready(self) -> list[str]:
        """Return the owners whose room has become free since the last call."""
        ready = []
        for owner, takeover in self._open.items():
            if not takeover.victims and not takeover.is_told:
                takeover.is_told = True
                ready.append(owner)
        return ready
