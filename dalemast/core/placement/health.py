"""Tell workers that fail or crawl from those that are merely unlucky.

A worker is judged against the others: a failure counts only when the service works elsewhere, and a
run time only against what the service takes elsewhere.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from collections.abc import Sequence

from dalemast.core.placement.workers import WorkerStanding, WorkerView

__all__ = ["HealthMonitor", "ServiceObservations", "SlidingQuantiles"]

FAILURES_TO_EJECT = 4
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 6
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0
SERVICE_BROKEN_SHARE = 0.5
"""A service that fails this often everywhere says nothing about one worker."""


class SlidingQuantiles:
    """Quantiles of the last ``size`` values."""

    def __init__(self, *, size: int = 256) -> None:
        self._size = size
        self._order: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Add a value, forgetting the oldest one when full."""
        if len(self._order) >= self._size:
            oldest = self._order.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._order.append(value)
        bisect.insort(self._sorted, value)

    def get(self, quantile: float, default: float) -> float:
        """Return a quantile, or the default while nothing was seen."""
        if not self._sorted:
            return default
        position = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[position]


class ServiceObservations:
    """What this entry has seen of one service: run times in seconds and the share of failures."""

    def __init__(self) -> None:
        self.run_times = SlidingQuantiles()
        self.failure_share = 0.0

    def add(self, *, run_s: float, is_failure: bool) -> None:
        """Take one outcome."""
        self.failure_share += (float(is_failure) - self.failure_share) * 0.02
        if not is_failure:
            self.run_times.add(run_s)


class _Record:
    __slots__ = ("ejections", "failures", "log_ratios", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.log_ratios: deque[float] = deque(maxlen=SLOW_SAMPLES * 2)
        self.ejections = 0
        self.until = 0.0


class HealthMonitor:
    """Eject workers by outcome, a bounded share of them, and let them back by one task."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceObservations] = {}
        self._records: dict[str, _Record] = {}

    def get_service(self, service: str) -> ServiceObservations:
        """Return what was observed of a service."""
        return self._services.setdefault(service, ServiceObservations())

    def get_expected_run_s(self, service: str, default: float = 0.2) -> float:
        """Return the median run time of a service, in seconds."""
        return self.get_service(service).run_times.get(0.5, default)

    def observe(
        self,
        *,
        worker: WorkerView,
        service: str,
        run_s: float,
        is_failure: bool,
        now: float,
        pool: Sequence[WorkerView],
    ) -> None:
        """Take the outcome of a task and change the worker's standing where that is due."""
        observations = self.get_service(service)
        record = self._records.setdefault(worker.name, _Record())
        self._judge_failures(record, observations, is_failure)
        if not is_failure:
            self._judge_speed(record, observations, run_s)
        observations.add(run_s=run_s, is_failure=is_failure)
        if worker.standing is WorkerStanding.PROBATION:
            self._end_probation(worker, record, is_failure, now)
        elif worker.standing is WorkerStanding.GOOD and self._is_bad(record):
            self._eject(worker, record, now, pool)

    def observe_overdue(
        self,
        *,
        worker: WorkerView,
        service: str,
        running_s: float,
        now: float,
        pool: Sequence[WorkerView],
    ) -> None:
        """Take a task that has run for so long already that its worker may be a straggler."""
        record = self._records.setdefault(worker.name, _Record())
        self._judge_speed(record, self.get_service(service), running_s)
        if worker.standing is WorkerStanding.GOOD and self._is_bad(record):
            self._eject(worker, record, now, pool)

    def tick(self, *, now: float, pool: Sequence[WorkerView]) -> bool:
        """Put workers whose ejection is over on probation; tell whether any was."""
        is_changed = False
        for worker in pool:
            if worker.standing is not WorkerStanding.EJECTED:
                continue
            if now >= self._records[worker.name].until:
                worker.standing = WorkerStanding.PROBATION
                is_changed = True
        return is_changed

    def _judge_failures(
        self, record: _Record, observations: ServiceObservations, is_failure: bool
    ) -> None:
        if not is_failure:
            record.failures = 0
        elif observations.failure_share < SERVICE_BROKEN_SHARE:
            record.failures += 1

    def _judge_speed(
        self, record: _Record, observations: ServiceObservations, run_s: float
    ) -> None:
        if len(observations.run_times) < SLOW_SAMPLES * 4:
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

    def _eject(
        self, worker: WorkerView, record: _Record, now: float, pool: Sequence[WorkerView]
    ) -> None:
        ejected = sum(view.standing is not WorkerStanding.GOOD for view in pool)
        if ejected + 1 > MAX_EJECTED_SHARE * len(pool):
            return
        worker.standing = WorkerStanding.EJECTED
        record.until = now + min(FIRST_EJECTION_S * 2**record.ejections, LONGEST_EJECTION_S)
        record.ejections += 1

    def _end_probation(
        self, worker: WorkerView, record: _Record, is_failure: bool, now: float
    ) -> None:
        is_slow = bool(record.log_ratios) and record.log_ratios[-1] > math.log(SLOW_FACTOR)
        if is_failure or is_slow:
            worker.standing = WorkerStanding.EJECTED
            record.until = now + min(FIRST_EJECTION_S * 2**record.ejections, LONGEST_EJECTION_S)
            record.ejections += 1
            return
        worker.standing = WorkerStanding.GOOD
        record.failures = 0
        record.log_ratios.clear()
        record.ejections = max(0, record.ejections - 1)
