"""Tell workers that fail or crawl from those that are merely unlucky, for one account.

A worker is judged against the others: a failure counts only when the service works elsewhere, and a
run time only against what the service takes elsewhere. Each account is judged by its own tasks
alone, since payloads decide about failures and run times too: an account that sends rubbish must
not be able to take a worker from the others.
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
SLOW_SAMPLES = 3
SLOW_WINDOW = 5
"""SLOW_SAMPLES slow run times among this many last ones eject a worker."""

SAMPLES_TO_JUDGE = 20
MIN_TYPICAL_RUN_S = 0.005
"""Below this a run time is mostly the call itself and says nothing of a worker, in seconds."""

MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 4.0
MAX_EJECTION_S = 60.0
SERVICE_BROKEN_SHARE = 0.3
"""A service that fails this often everywhere says nothing about one worker."""

FAILURE_STEP = 0.02
FIRST_FAILURE_SHARE = 1.0
"""A service is taken as broken until it has worked: the first failures prove nothing."""

NO_TRIAL = 0
"""The trial of a task that went to a worker which was trusted."""


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

    def is_slow(self, run_s: float) -> bool:
        """Tell whether a run time is far above the usual, once there is a usual."""
        if len(self.run_times) < SAMPLES_TO_JUDGE:
            return False
        typical = max(self.run_times.get(0.5, run_s), MIN_TYPICAL_RUN_S)
        return run_s > SLOW_FACTOR * typical

    def add(self, *, run_s: float, is_failure: bool) -> None:
        """Take one outcome; the first successes count for more, so that trust is gained quickly."""
        step = FAILURE_STEP if is_failure or not self.is_broken else 5 * FAILURE_STEP
        self.failure_share += (float(is_failure) - self.failure_share) * step
        if not is_failure:
            self.run_times.add(run_s)


class _Record:
    """What speaks against a worker. There is none for a worker that has shown nothing bad.

    ``window`` has a bit for each of the last run times, set where it was slow. ``trial`` is the
    number of the last trial, and ``out`` how many of its tasks are out.
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
        """Whether the worker is to be ejected."""
        return self.failures >= FAILURES_TO_EJECT or self.window.bit_count() >= SLOW_SAMPLES

    def start_trial(self) -> None:
        """Let one task tell whether the worker is still bad."""
        self.standing = WorkerStanding.PROBATION
        self.trial += 1
        self.pending_trial_tasks = 0

    def is_decided_by(self, trial: int) -> bool:
        """Tell whether a task of this trial decides about the worker now."""
        return self.standing is WorkerStanding.PROBATION and trial == self.trial

    @property
    def is_clean(self) -> bool:
        """Whether nothing speaks against the worker any more."""
        return (
            self.standing is WorkerStanding.GOOD
            and not self.failures
            and not self.window
            and not self.ejections
        )


class HealthMonitor:
    """Eject workers by outcome, a bounded share of them, and let them back by one task."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceObservations] = {}
        self._records: dict[str, _Record] = {}
        self._restricted: set[str] = set()

    @property
    def ejected(self) -> tuple[str, ...]:
        """The workers that get nothing, or one task on trial."""
        return tuple(self._restricted)

    def get_service(self, service: str) -> ServiceObservations:
        """Return what was observed of a service."""
        return self._services.setdefault(service, ServiceObservations())

    def get_expected_run_s(self, service: str, default: float = 0.2) -> float:
        """Return the median run time of a service, in seconds."""
        return self.get_service(service).run_times.get(0.5, default)

    def get_allowance(self, worker: str, capacity: int) -> int:
        """Return how many of the tasks that a worker has room for it may get."""
        record = self._records.get(worker)
        if record is None or record.standing is WorkerStanding.GOOD:
            return capacity
        if record.standing is WorkerStanding.EJECTED:
            return 0
        return min(capacity, max(0, 1 - record.pending_trial_tasks))

    def note_sent(self, worker: str, count: int) -> int:
        """Note that tasks went to a worker; return the number of the trial that they are for."""
        record = self._records.get(worker)
        if record is None or record.standing is not WorkerStanding.PROBATION:
            return NO_TRIAL
        record.pending_trial_tasks += count
        return record.trial

    def note_resolved(self, worker: str, *, trial: int) -> None:
        """Note that a task came back from a worker, in whatever way."""
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
        """Take the outcome of a task; ``workers`` is how many there are to choose from.

        ``trial`` is what :meth:`note_sent` returned for it. Only a trial's own task ends it: others
        come back that the worker got before.

        Tell whether a task on trial showed the worker to be bad still.
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
        """Put a trial off, because another account's has just failed.

        This only ever concerns a worker that this account has found to be bad itself.
        """
        record = self._records.get(worker)
        if record is not None and record.standing is not WorkerStanding.GOOD:
            self._eject(worker, record, now)

    def observe_overdue(
        self, *, worker: str, service: str, running_s: float, now: float, workers: int
    ) -> None:
        """Take a task that has run for so long already that its worker may be a straggler."""
        if self.get_service(service).is_slow(running_s):
            record = self._record_outcome(worker, is_slow=True, is_failure=False, is_bad=True)
            self._update_standing(worker, record, now, workers)

    def tick(self, *, now: float) -> bool:
        """Put workers whose ejection is over on probation; tell whether any was."""
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
        """Eject a worker that is bad, within the bound, and forget one that is not any more."""
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
        trial: int,
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
            trial=trial,
        )
        if not has_failed_trial:
            return
        for monitor in self._monitors.values():
            if monitor is not own:
                monitor.postpone_trial(worker=worker, now=now)

    def tick(self, *, now: float) -> bool:
        """Put workers whose ejection is over on probation; tell whether any was."""
        changes = [monitor.tick(now=now) for monitor in self._monitors.values()]
        return any(changes)
