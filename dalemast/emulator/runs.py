"""The runs of an emulated worker: leases, run numbers, fencing tokens. No input or output."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EmulatedRuns", "Order"]

LEASE_MAX_S = 1.0
"""The platform's longest lease."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A start as it arrives. ``until_s`` is on the worker's clock."""

    task: str
    run: int
    until_s: float
    fence: int
    run_s: float
    fails: bool = False
    stands_still: bool = False


class ActiveRun:
    """One run that is going."""

    def __init__(self, *, order: Order, started_at: float) -> None:
        self.order = order
        self.started_at = started_at

    def get_percent(self, now: float) -> int:
        """Return the progress."""
        if self.order.stands_still:
            return 1
        return min(99, int(100 * (now - self.started_at) / self.order.run_s))

    def get_end(self) -> float | None:
        """Return when it ends by itself."""
        return None if self.order.stands_still else self.started_at + self.order.run_s


class EmulatedRuns:
    """What runs on one life of a worker. ``now`` is the worker's steady clock, in seconds."""

    def __init__(self) -> None:
        self._active: dict[str, ActiveRun] = {}
        self._last_run: dict[str, int] = {}
        self._ended: list[tuple[int, str, int, str]] = []
        self._ends = 0
        self._ends_seen = 0
        """Up to which number ends are taken note of, also such as are still to come."""
        self._fence = 0
        self._until_s = 0.0
        self.done: set[str] = set()
        """Tasks that have ended well here."""

    @property
    def active(self) -> dict[str, ActiveRun]:
        """The runs that are going, by task."""
        return self._active

    def start(self, order: Order, *, now: float) -> str:
        """Start a run; return an empty text, or why not."""
        self.advance(now)
        if order.fence < self._fence:
            return "fence"
        self._fence = order.fence
        active = self._active.get(order.task)
        if active is not None and active.order.run == order.run:
            self._renew(order.until_s, now)
            return ""
        if order.run <= self._last_run.get(order.task, 0):
            self._renew(order.until_s, now)
            return "old"
        if order.until_s <= now:
            return "late"
        self._renew(order.until_s, now)
        self._last_run[order.task] = order.run
        self._active[order.task] = ActiveRun(order=order, started_at=now)
        return ""

    def stop(self, task: str, run: int, fence: int, *, now: float) -> str:
        """Stop a run, or bar it if it is not there yet; return why not, or an empty text."""
        self.advance(now)
        if fence < self._fence:
            return "fence"
        self._fence = fence
        active = self._active.get(task)
        if active is not None and active.order.run == run:
            self._end(task, "stopped")
        self._last_run[task] = max(self._last_run.get(task, 0), run)
        return ""

    def hold(self, *, fence: int, ends_seen: int, until_s: float | None, now: float) -> str:
        """Renew the lease and forget ends; return why not, or an empty text."""
        self.advance(now)
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._ends_seen = max(self._ends_seen, ends_seen)
        if until_s is not None:
            self._renew(until_s, now)
        return ""

    def get_ended(self) -> list[tuple[int, str, int, str]]:
        """Return the ends that nobody has taken note of: number, task, run, how."""
        self._ended = [end for end in self._ended if end[0] > self._ends_seen]
        return list(self._ended)

    def advance(self, now: float) -> None:
        """Let runs end whose time is over, and all of them once the lease is."""
        lapses_at = self._until_s
        for task, active in list(self._active.items()):
            ends_at = active.get_end()
            if ends_at is not None and ends_at <= min(now, lapses_at):
                self._end(task, "failed" if active.order.fails else "done")
        if now > lapses_at:
            for task in list(self._active):
                self._end(task, "lapsed")

    def _renew(self, until_s: float, now: float) -> None:
        self._until_s = max(self._until_s, min(until_s, now + LEASE_MAX_S))

    def _end(self, task: str, how: str) -> None:
        active = self._active.pop(task)
        if how == "done":
            self.done.add(task)
        self._ends += 1
        self._ended.append((self._ends, task, active.order.run, how))
