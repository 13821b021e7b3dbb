"""Detect failing and slow workers by outlier ejection, separately for each account.

A failure counts only if the service works on other workers, and a run time is compared with the
service's median. Each account uses only its own tasks, since failures and run times depend on
payloads too: an account with bad payloads must not get a worker ejected for the others.
"""

from __future__ import annotations

import bisect
import enum
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
"""A run time above this multiple of the median is slow."""

SLOW_SAMPLES = 3
SLOW_WINDOW = 5
"""A worker is ejected for SLOW_SAMPLES slow run times among this many recent ones."""

SAMPLES_TO_JUDGE = 20
MIN_TYPICAL_RUN_S = 0.005
"""Lower bound of a typical run time, in seconds, since shorter ones are mostly call overhead."""

MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 4.0
MAX_EJECTION_S = 60.0
SERVICE_BROKEN_SHARE = 0.3
"""Above this share of failures the service itself is at fault, not one worker."""

FAILURE_STEP = 0.02
"""Weight of one outcome in the failure share of a service."""

FIRST_FAILURE_SHARE = 1.0
"""Initial share: a service counts as broken until it has succeeded, since its first failures
cannot be attributed to a worker."""

NO_TRIAL = 0
"""Trial number of a task that is not part of a trial."""


class WorkerStanding(enum.Enum):
    """Whether a worker gets an account's tasks: all, none, or one at a time on trial."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBATION = "probation"


class SlidingQuantiles:
    """Quantiles and mean of the last ``size`` values."""

    def __init__(self, *, size: int = 256) -> None:
        self._size = size
        self._order: deque[float] = deque()
        self._sorted: list[float] = []
        self._sum = 0.0

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Add a value and drop the oldest one when full."""
        if len(self._order) >= self._size:
            oldest = self._order.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._sum -= oldest
        self._order.append(value)
        bisect.insort(self._sorted, value)
        self._sum += value

    def get_mean(self, default: float) -> float:
        """Return the mean, or the default if there are no values."""
        return self._sum / len(self._sorted) if self._sorted else default

    def get(self, quantile: float, default: float) -> float:
        """Return a quantile, or the default if there are no values."""
        if not self._sorted:
            return default
        position = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[position]


class ServiceObservations:
    """Observed run times, in seconds, and share of failures of one service."""

    def __init__(self) -> None:
        self.run_times = SlidingQuantiles()
        self.failure_share = FIRST_FAILURE_SHARE

    @property
    def is_broken(self) -> bool:
        """Whether the service fails too often to attribute failures to a worker."""
        return self.failure_share > SERVICE_BROKEN_SHARE

    def is_slow(self, run_s: float) -> bool:
        """Return whether a run time is far above the median, given enough samples."""
        if len(self.run_times) < SAMPLES_TO_JUDGE:
            return False
        typical = max(self.run_times.get(0.5, run_s), MIN_TYPICAL_RUN_S)
        return run_s > SLOW_FACTOR * typical

    def add(self, *, run_s: float, is_failure: bool) -> None:
        """Record an outcome; while the service counts as broken, a success has more weight."""
        step = FAILURE_STEP if is_failure or not self.is_broken else 5 * FAILURE_STEP
        self.failure_share += (float(is_failure) - self.failure_share) * step
        if not is_failure:
            self.run_times.add(run_s)


class _Record:
    """Recent failures, slow run times and ejections of a worker; healthy workers have none.

    ``window`` has a bit for each recent run time, set if it was slow. ``trial`` is the number of
    the last trial, and ``pending_trial_tasks`` the number of its unresolved tasks.
    """

    __slots__ = (
        "ejections",
        "failures",
        "pending_trial_tasks",
        "standing",
        "trial",
        "until",
        "window",
    )

    def __init__(self) -> None:
        self.standing = WorkerStanding.GOOD
        self.failures = 0
        self.window = 0
        self.ejections = 0
        self.until = 0.0
        self.trial = NO_TRIAL
        self.pending_trial_tasks = 0

    @property
    def is_bad(self) -> bool:
        """Whether the worker should be ejected."""
        return self.failures >= FAILURES_TO_EJECT or self.window.bit_count() >= SLOW_SAMPLES

    def start_trial(self) -> None:
        """Put the worker on probation, with a new trial of one task."""
        self.standing = WorkerStanding.PROBATION
        self.trial += 1
        self.pending_trial_tasks = 0

    def is_decided_by(self, trial: int) -> bool:
        """Return whether a task of this trial decides the current probation."""
        return self.standing is WorkerStanding.PROBATION and trial == self.trial

    @property
    def is_clean(self) -> bool:
        """Whether the record can be deleted."""
        return (
            self.standing is WorkerStanding.GOOD
            and not self.failures
            and not self.window
            and not self.ejections
        )


class HealthMonitor:
    """Eject a bounded share of workers by their outcomes, and readmit each after one trial task."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceObservations] = {}
        self._records: dict[str, _Record] = {}
        self._restricted: set[str] = set()

    @property
    def ejected(self) -> tuple[str, ...]:
        """The workers that are ejected or on probation."""
        return tuple(self._restricted)

    def get_service(self, service: str) -> ServiceObservations:
        """Return the observations of a service."""
        return self._services.setdefault(service, ServiceObservations())

    def get_expected_run_s(self, service: str, default: float = 0.2) -> float:
        """Return the median run time of a service, in seconds."""
        return self.get_service(service).run_times.get(0.5, default)

    def get_allowance(self, worker: str, capacity: int) -> int:
        """Return how many tasks a worker may get, given its free capacity."""
        record = self._records.get(worker)
        if record is None or record.standing is WorkerStanding.GOOD:
            return capacity
        if record.standing is WorkerStanding.EJECTED:
            return 0
        return min(capacity, max(0, 1 - record.pending_trial_tasks))

    def note_sent(self, worker: str, count: int) -> int:
        """Record that tasks were sent to a worker; return the number of their trial."""
        record = self._records.get(worker)
        if record is None or record.standing is not WorkerStanding.PROBATION:
            return NO_TRIAL
        record.pending_trial_tasks += count
        return record.trial

    def note_resolved(self, worker: str, *, trial: int) -> None:
        """Record that a task of a worker ended, with any outcome."""
        record = self._records.get(worker)
        if record is not None and record.is_decided_by(trial):
            record.pending_trial_tasks -= 1

    def observe(
        self,
        *,
        worker: str,
        service: str,
        run_s: float,
        is_failure: bool,
        now: float,
        workers: int,
        trial: int = NO_TRIAL,
    ) -> bool:
        """Record the outcome of a task and return whether it failed a trial.

        ``workers`` is the number of workers in the pool. ``trial`` is the number that
        :meth:`note_sent` returned for the task. Only the trial's own task decides it: tasks sent
        before the ejection may end during the trial.
        """
        observations = self.get_service(service)
        is_slow = not is_failure and observations.is_slow(run_s)
        is_bad = is_slow or (is_failure and not observations.is_broken)
        record = self._records.get(worker)
        if record is None or not is_failure or record.standing is WorkerStanding.GOOD:
            observations.add(run_s=run_s, is_failure=is_failure)
        if record is None and not is_bad:
            return False
        record = self._record_outcome(worker, is_slow=is_slow, is_failure=is_failure, is_bad=is_bad)
        if record.is_decided_by(trial):
            return self._end_probation(worker, record, is_bad or is_failure, now)
        self._update_standing(worker, record, now, workers)
        return False

    def postpone_trial(self, *, worker: str, now: float) -> None:
        """Postpone a trial after another account's trial of the worker has failed.

        Does nothing for a worker that this account has not ejected itself.
        """
        record = self._records.get(worker)
        if record is not None and record.standing is not WorkerStanding.GOOD:
            self._eject(worker, record, now)

    def observe_overdue(
        self, *, worker: str, service: str, running_s: float, now: float, workers: int
    ) -> None:
        """Record a task that is still running as a slow run time, if it is slow already."""
        if self.get_service(service).is_slow(running_s):
            record = self._record_outcome(worker, is_slow=True, is_failure=False, is_bad=True)
            self._update_standing(worker, record, now, workers)

    def tick(self, *, now: float) -> bool:
        """Start the probation of workers whose ejection has ended; return whether any did."""
        is_changed = False
        for name in self._restricted:
            record = self._records[name]
            if record.standing is WorkerStanding.EJECTED and now >= record.until:
                record.start_trial()
                is_changed = True
        return is_changed

    def _record_outcome(
        self, worker: str, *, is_slow: bool, is_failure: bool, is_bad: bool
    ) -> _Record:
        record = self._records.setdefault(worker, _Record())
        if not is_failure:
            record.failures = 0
            record.window = (record.window << 1 | is_slow) & ((1 << SLOW_WINDOW) - 1)
        elif is_bad:
            record.failures += 1
        return record

    def _update_standing(self, worker: str, record: _Record, now: float, workers: int) -> None:
        """Eject a bad worker if the share allows it; delete the record of a healthy one."""
        if record.standing is WorkerStanding.GOOD and record.is_bad:
            if len(self._restricted) + 1 <= MAX_EJECTED_SHARE * workers:
                self._eject(worker, record, now)
        elif record.is_clean:
            del self._records[worker]

    def _eject(self, worker: str, record: _Record, now: float) -> None:
        self._restricted.add(worker)
        record.standing = WorkerStanding.EJECTED
        record.until = now + min(FIRST_EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejections += 1

    def _end_probation(self, worker: str, record: _Record, is_bad: bool, now: float) -> bool:
        if is_bad:
            self._eject(worker, record, now)
            return True
        self._restricted.discard(worker)
        record.standing = WorkerStanding.GOOD
        record.failures = 0
        record.window = 0
        record.pending_trial_tasks = 0
        record.ejections = max(0, record.ejections - 1)
        return False


class AccountHealth:
    """A health monitor for each account; only failed trials are shared between them."""

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
        trial: int,
    ) -> None:
        """Record the outcome of a task of an account."""
        own = self.get(account)
        has_failed_trial = own.observe(
            worker=worker,
            service=service,
            run_s=run_s,
            is_failure=is_failure,
            now=now,
            workers=workers,
            trial=trial,
        )
        if not has_failed_trial:
            return
        for monitor in self._monitors.values():
            if monitor is not own:
                monitor.postpone_trial(worker=worker, now=now)

    def tick(self, *, now: float) -> bool:
        """Start the probation of workers whose ejection has ended; return whether any did."""
        changes = [monitor.tick(now=now) for monitor in self._monitors.values()]
        return any(changes)
