"""Separates a worker's reports from foreign reports under the same id.

An incarnation always reports the same service and labels, and its report numbers rise. Reports that
do not continue the accepted sequence are rejected, unless they turn out to be the worker's own: a
candidate sequence replaces the accepted one if several of its reports arrive in a row. A foreign
report thus cannot displace the worker, and one that arrived first is soon replaced.

A changed capacity is accepted with the second report in a row that declares a change, a second or
more after the first. The worker's own reports in between contradict a foreign one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from dalemast.core.workloads import Resources
from dalemast.platform.foreign import Fault, ForeignInput
from dalemast.platform.incarnations import parse_incarnation_id

__all__ = ["WorkerProperties", "ReportSequence", "ReportSequences"]

MAX_NUMBER_GAP = 8
"""Maximum gap to the last accepted number when no time has passed. Numbers are missing when reports
went to other processes."""
MAX_NUMBERS_PER_S = 20
"""Increase of the maximum gap for each second since the last accepted report. Covers the retries of
unanswered reports."""
CANDIDATE_REPORTS = 3
"""Number of reports in a row after which a candidate replaces the accepted sequence."""
RESIZE_REPORTS = 2
"""Number of reports in a row after which a changed capacity is accepted."""
MIN_CANDIDATE_S = 1.0
"""Minimum time between the first and the last report of a candidate, in seconds. Prevents a burst
of delayed reports from replacing the accepted sequence."""
MAX_SEQUENCES = 32
"""Maximum number of incarnations that are tracked. Bounds the memory that foreign reports with
ever new ids can take."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerProperties:
    """Properties that an incarnation reports. Only the capacity may change."""

    service: str
    capacity: Resources
    labels: frozenset[str]

    def is_resized(self, known: WorkerProperties) -> bool:
        """Return whether the capacity, and nothing else, differs from the known properties."""
        is_same = (self.service, self.labels) == (known.service, known.labels)
        return is_same and self.capacity != known.capacity

    def describe_change(self, known: WorkerProperties) -> str:
        """Describe the differences from the known properties."""
        pairs = {
            "service": (self.service, known.service),
            "capacity": (self.capacity, known.capacity),
            "labels": (sorted(self.labels), sorted(known.labels)),
        }
        changes = [f"{name} {new} for {old}" for name, (new, old) in pairs.items() if new != old]
        return ", ".join(changes)


@dataclass(frozen=True, kw_only=True, slots=True)
class CandidateSequence:
    """Reports in a row that do not continue the accepted sequence."""

    properties: WorkerProperties
    number: int
    count: int
    since: float


def extend_candidate(
    candidate: CandidateSequence | None,
    properties: WorkerProperties,
    number: int,
    *,
    now: float,
    needed: int = CANDIDATE_REPORTS,
) -> tuple[bool, CandidateSequence]:
    """Add a report to a candidate; return whether it is to be accepted, and the new candidate.

    A report that does not continue the candidate starts a new one.
    """
    if candidate is None or candidate.properties != properties or number <= candidate.number:
        return False, CandidateSequence(properties=properties, number=number, count=1, since=now)
    count = candidate.count + 1
    extended = CandidateSequence(
        properties=properties, number=number, count=count, since=candidate.since
    )
    return count >= needed and now - candidate.since >= MIN_CANDIDATE_S, extended


class ReportSequence:
    """The reports of one incarnation. Times are on the agent's monotonic clock, in seconds."""

    def __init__(self, *, properties: WorkerProperties, number: int, now: float) -> None:
        self._candidate: CandidateSequence | None = None
        self._resize_candidate: CandidateSequence | None = None
        """Reports in a row that declare a changed capacity, whatever it is."""
        self._is_restored = False
        self._has_ended = False
        self._staying_candidate: CandidateSequence | None = None
        """Reports in a row after a deregistration in which the incarnation is not leaving."""
        self.is_leaving = False
        """Whether the incarnation was leaving in its last accepted report."""
        self._accept(properties, number, now)

    @property
    def accepted_at(self) -> float:
        """Time of the last accepted report."""
        return self._accepted_at

    @property
    def is_restored(self) -> bool:
        """Whether the last report proved the deregistration or the earlier reports foreign."""
        return self._is_restored

    def record_deregistration(self) -> None:
        """Record a deregistration under this id, which may be foreign."""
        self._has_ended = True
        self._staying_candidate = None

    def record_state(self, *, is_leaving: bool, now: float) -> None:
        """Record whether the incarnation is leaving by its last report.

        A deregistration proves foreign if reports continue in which the incarnation is not leaving.
        """
        self.is_leaving = is_leaving
        if is_leaving:
            self._staying_candidate = None
        elif self._has_ended:
            is_accepted, self._staying_candidate = extend_candidate(
                self._staying_candidate, self._properties, self._number, now=now
            )
            self._has_ended = not is_accepted
            self._is_restored = self._is_restored or is_accepted

    def accept(self, properties: WorkerProperties, number: int, *, now: float) -> bool:
        """Record a report; return whether it is newer. Raises :class:`ForeignInput` if foreign."""
        limit = self._number + MAX_NUMBER_GAP + MAX_NUMBERS_PER_S * (now - self._accepted_at)
        is_next = self._number < number <= limit
        if properties == self._properties and is_next:
            self._is_restored = False
        else:
            is_resized = is_next and properties.is_resized(self._properties)
            # Both candidates are extended: the report may be the first in order of a worker whose
            # id foreign reports have used so far.
            is_resize_accepted = is_resized and self._extend_resize(properties, number, now)
            is_candidate_accepted = self._extend_candidate(properties, number, now)
            if not (is_resize_accepted or is_candidate_accepted):
                return self._reject_or_ignore(properties, number, limit)
        self._accept(properties, number, now)
        return True

    def _extend_resize(self, properties: WorkerProperties, number: int, now: float) -> bool:
        """Return whether the report before declared a changed capacity, too.

        The two capacities may differ, since the capacity may change with each report.
        """
        resized = replace(properties, capacity=Resources())
        is_accepted, self._resize_candidate = extend_candidate(
            self._resize_candidate, resized, number, now=now, needed=RESIZE_REPORTS
        )
        return is_accepted

    def _extend_candidate(self, properties: WorkerProperties, number: int, now: float) -> bool:
        """Add a report to the candidate; return whether the candidate is to be accepted."""
        self._is_restored, self._candidate = extend_candidate(
            self._candidate, properties, number, now=now
        )
        return self._is_restored

    def _reject_or_ignore(self, properties: WorkerProperties, number: int, limit: float) -> bool:
        """Raise :class:`ForeignInput` for a foreign report; return False for a late one."""
        if properties != self._properties:
            raise ForeignInput(
                Fault.PROPERTIES_CHANGED, properties.describe_change(self._properties)
            )
        if number > limit:
            raise ForeignInput(Fault.NUMBER_JUMPED, f"from {self._number} to {number}")
        return False

    def _accept(self, properties: WorkerProperties, number: int, now: float) -> None:
        self._properties = properties
        self._number = number
        self._accepted_at = now
        self._candidate = None
        self._resize_candidate = None


class ReportSequences:
    """The report sequences of the incarnations that reported last."""

    def __init__(self) -> None:
        self._sequences: dict[str, ReportSequence] = {}
        self._without_start_time: CandidateSequence | None = None
        """Reports in a row that lack a process start time that others under their id have."""

    def __len__(self) -> int:
        return len(self._sequences)

    def accept(
        self,
        incarnation_id: str,
        properties: WorkerProperties,
        number: int,
        *,
        is_leaving: bool,
        now: float,
    ) -> bool:
        """Record a report; return whether it is newer. Raises :class:`ForeignInput` if foreign."""
        sequence = self._sequences.get(incarnation_id)
        if sequence is None:
            self._check_start_time(incarnation_id, properties, number, now)
            sequence = self._add(incarnation_id, properties, number, now)
        elif not sequence.accept(properties, number, now=now):
            return False
        sequence.record_state(is_leaving=is_leaving, now=now)
        return True

    def record_deregistration(self, incarnation_id: str) -> None:
        """Record that the deregistration of an incarnation was passed to the observer."""
        self._sequences[incarnation_id].record_deregistration()

    def is_restored(self, incarnation_id: str) -> bool:
        """Return whether the last report proved the deregistration or earlier reports foreign."""
        sequence = self._sequences.get(incarnation_id)
        return sequence is not None and sequence.is_restored

    def find_leaving_incarnation(self, worker_id: str) -> str:
        """Return the leaving incarnation of a worker that reported last.

        A deregistration does not name the incarnation. Raises :class:`ForeignInput` if none is
        leaving.
        """
        incarnations = [
            incarnation_id
            for incarnation_id in self._sequences
            if parse_incarnation_id(incarnation_id)[0] == worker_id
        ]
        leaving = [
            incarnation_id
            for incarnation_id in incarnations
            if self._sequences[incarnation_id].is_leaving
        ]
        if not leaving:
            raise ForeignInput(Fault.UNANNOUNCED, "not leaving" if incarnations else "unknown")
        return max(leaving, key=lambda incarnation_id: self._sequences[incarnation_id].accepted_at)

    def _check_start_time(
        self, incarnation_id: str, properties: WorkerProperties, number: int, now: float
    ) -> None:
        """Raise :class:`ForeignInput` if a report lacks a start time that others under its id have.

        Such reports are accepted if they continue, since the others may be foreign.
        """
        worker_id, born_ms = parse_incarnation_id(incarnation_id)
        if born_ms is not msgspec.UNSET:
            return
        if not any(parse_incarnation_id(known)[0] == worker_id for known in self._sequences):
            return
        is_accepted, self._without_start_time = extend_candidate(
            self._without_start_time, properties, number, now=now
        )
        if not is_accepted:
            raise ForeignInput(Fault.FIELD_MISSING, "born")

    def _add(
        self, incarnation_id: str, properties: WorkerProperties, number: int, now: float
    ) -> ReportSequence:
        if len(self._sequences) >= MAX_SEQUENCES:
            oldest = min(self._sequences, key=lambda known: self._sequences[known].accepted_at)
            del self._sequences[oldest]
        sequence = ReportSequence(properties=properties, number=number, now=now)
        self._sequences[incarnation_id] = sequence
        return sequence
