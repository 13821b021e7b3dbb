"""Tell workers that fail or crawl from those that are merely unlucky, for one account.

A worker is judged against the others: a failure counts only when the service works elsewhere, and a
run time only against what the service takes elsewhere. Each account is judged by its own tasks
alone, since payloads decide about failures and run times too: an account that sends rubbish must
not be able to take a worker from the others.
"""

from __future__ import annotations

import bisect
import enum
import math
from collections import deque

__all__ = [
    "AccountHealth",
    "HealthMonitor",
    "ServiceObservations",
    "SlidingQuantiles",
    "WorkerStanding",
]

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 3
SLOW_WINDOW = 5
"""Of this many last run times the middle one counts, once there are SLOW_SAMPLES."""

SAMPLES_TO_JUDGE = 20
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 4.0
LONGEST_EJECTION_S = 60.0
SERVICE_BROKEN_SHARE = 0.3
"""A service that fails this often everywhere says nothing about one worker."""

FAILURE_STEP = 0.02
FIRST_FAILURE_SHARE = 1.0
"""A service is taken as broken until it has worked: the first failures prove nothing."""


class WorkerStanding(enum.Enum):
    """How far a worker is trusted with an account's tasks."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBATION = "probation"


class SlidingQuantiles:
    """Quantiles of the last ``size`` values."""

    def __init__(self, *, size: int = 256) -> None:
        self._size = size
        self._order: deque[float] = deque()
        self._sorted: list[float] = []
        self._sum = 0.0

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Add a value, forgetting the oldest one when full."""
        if len(self._order) >= self._size:
            oldest = self._order.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._sum -= oldest
        self._order.append(value)
        bisect.insort(self._sorted, value)
        self._sum += value

    def get_mean(self, default: float) -> float:
        """Return the mean, or the default while nothing was seen."""
        return self._sum / len(self._sorted) if self._sorted else default

    def get(self, quantile: float, default: float) -> float:
        """Return a quantile, or the default while nothing was seen."""
        if not self._sorted:
            return default
        position = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[position]


class ServiceObservations:
    """What was seen of one service: run times in seconds and the share of failures."""

    def __init__(self) -> None:
        self.run_times = SlidingQuantiles()
        self.failure_share = FIRST_FAILURE_SHARE

    @property
    def is_broken(self) -> bool:
        """Whether the service fails so often that no worker can be blamed."""
        return self.failure_share > SERVICE_BROKEN_SHARE

    def add(self, *, run_s: float, is_failure: bool) -> None:
        """Take one outcome; the first successes count for more, so that trust is gained quickly."""
        step = FAILURE_STEP if is_failure or not self.is_broken else 5 * FAILURE_STEP
        self.failure_share += (float(is_failure) - self.failure_share) * step
        if not is_failure:
            self.run_times.add(run_s)


class _Record:
    __slots__ = ("ejections", "failures", "log_ratios", "out", "standing", "until")

    def __init__(self) -> None:
        self.standing = WorkerStanding.GOOD
        self.failures = 0
        self.log_ratios: deque[float] = deque(maxlen=SLOW_WINDOW)
        self.ejections = 0
        self.until = 0.0
        self.out = 0


class HealthMonitor:
    """Eject workers by outcome, a bounded share of them, and let them back by one task."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceObservations] = {}
        self._records: dict[str, _Record] = {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """The workers that get nothing, or one task on trial."""
        return tuple(
            name
            for name, record in self._records.items()
            if record.standing is not WorkerStanding.GOOD
        )

    def get_service(self, service: str) -> ServiceObservations:
        """Return what was observed of a service."""
        return self._services.setdefault(service, ServiceObservations())

    def get_expected_run_s(self, service: str, default: float = 0.2) -> float:
        """Return the median run time of a service, in seconds."""
        return self.get_service(service).run_times.get(0.5, default)

    def get_allowance(self, worker: str, room: int) -> int:
        """Return how many of the tasks that a worker has room for it may get."""
        record = self._records.get(worker)
        if record is None or record.standing is WorkerStanding.GOOD:
            return room
        if record.standing is WorkerStanding.EJECTED:
            return 0
        return min(room, max(0, 1 - record.out))

    def note_sent(self, worker: str, count: int) -> None:
        """Note that tasks went to a worker."""
        self._get_record(worker).out += count

    def note_resolved(self, worker: str) -> None:
        """Note that a task came back from a worker, in whatever way."""
        self._get_record(worker).out -= 1

    def observe(
        self,
        *,
        worker: str,
        service: str,
        run_s: float,
        is_failure: bool,
        now: float,
        workers: int,
    ) -> bool:
        """Take the outcome of a task; ``workers`` is how many there are to choose from.

        Tell whether a task on trial showed the worker to be bad still.
        """
        observations = self.get_service(service)
        record = self._get_record(worker)
        self._judge_failures(record, observations, is_failure)
        if not is_failure:
            self._judge_speed(record, observations, run_s)
        if record.standing is WorkerStanding.GOOD or not is_failure:
            observations.add(run_s=run_s, is_failure=is_failure)
        if record.standing is WorkerStanding.PROBATION:
            return self._end_probation(record, is_failure, now)
        if record.standing is WorkerStanding.GOOD and self._is_bad(record):
            self._eject(record, now, workers)
        return False

    def postpone(self, *, worker: str, now: float) -> None:
        """Put a trial off, because another account's has just failed.

        This only ever concerns a worker that this account has found to be bad itself.
        """
        record = self._records.get(worker)
        if record is not None and record.standing is not WorkerStanding.GOOD:
            self._close(record, now)

    def observe_overdue(
        self, *, worker: str, service: str, running_s: float, now: float, workers: int
    ) -> None:
        """Take a task that has run for so long already that its worker may be a straggler."""
        record = self._get_record(worker)
        self._judge_speed(record, self.get_service(service), running_s)
        if record.standing is WorkerStanding.GOOD and self._is_bad(record):
            self._eject(record, now, workers)

    def tick(self, *, now: float) -> bool:
        """Put workers whose ejection is over on probation; tell whether any was."""
        is_changed = False
        for record in self._records.values():
            if record.standing is WorkerStanding.EJECTED and now >= record.until:
                record.standing = WorkerStanding.PROBATION
                is_changed = True
        return is_changed

    def _get_record(self, worker: str) -> _Record:
        record = self._records.get(worker)
        if record is None:
            record = _Record()
            self._records[worker] = record
        return record

    def _judge_failures(
        self, record: _Record, observations: ServiceObservations, is_failure: bool
    ) -> None:
        if not is_failure:
            record.failures = 0
        elif not observations.is_broken:
            record.failures += 1

    def _judge_speed(
        self, record: _Record, observations: ServiceObservations, run_s: float
    ) -> None:
        if len(observations.run_times) < SAMPLES_TO_JUDGE:
            return
        usual = max(observations.run_times.get(0.5, run_s), 0.001)
        record.log_ratios.append(math.log(max(run_s, 0.001) / usual))

    def _is_bad(self, record: _Record) -> bool:
        if record.failures >= FAILURES_TO_EJECT:
            return True
        if len(record.log_ratios) < SLOW_SAMPLES:
            return False
        middle = sorted(record.log_ratios)[len(record.log_ratios) // 2]
        return middle > math.log(SLOW_FACTOR)

    def _eject(self, record: _Record, now: float, workers: int) -> None:
        if len(self.ejected) + 1 > MAX_EJECTED_SHARE * workers:
            return
        self._close(record, now)

    def _close(self, record: _Record, now: float) -> None:
        record.standing = WorkerStanding.EJECTED
        record.until = now + min(FIRST_EJECTION_S * 2**record.ejections, LONGEST_EJECTION_S)
        record.ejections += 1

    def _end_probation(self, record: _Record, is_failure: bool, now: float) -> bool:
        is_slow = bool(record.log_ratios) and record.log_ratios[-1] > math.log(SLOW_FACTOR)
        if is_failure or is_slow:
            self._close(record, now)
            return True
        record.standing = WorkerStanding.GOOD
        record.failures = 0
        record.log_ratios.clear()
        record.ejections = max(0, record.ejections - 1)
        return False


class AccountHealth:
    """A monitor for each account; only the failure of a trial is shared between them."""

    def __init__(self) -> None:
        self._monitors: dict[str, HealthMonitor] = {}

    def get(self, account: str) -> HealthMonitor:
        """Return the monitor of an account."""
        monitor = self._monitors.get(account)
        if monitor is None:
            monitor = HealthMonitor()
            self._monitors[account] = monitor
        return monitor

    def observe(
        self,
        *,
        account: str,
        worker: str,
        service: str,
        run_s: float,
        is_failure: bool,
        now: float,
        workers: int,
    ) -> None:
        """Take the outcome of a task of an account."""
        own = self.get(account)
        has_failed_trial = own.observe(
            worker=worker,
            service=service,
            run_s=run_s,
            is_failure=is_failure,
            now=now,
            workers=workers,
        )
        if not has_failed_trial:
            return
        for monitor in self._monitors.values():
            if monitor is not own:
                monitor.postpone(worker=worker, now=now)

    def tick(self, *, now: float) -> bool:
        """Put workers whose ejection is over on probation; tell whether any was."""
        changes = [monitor.tick(now=now) for monitor in self._monitors.values()]
        return any(changes)
