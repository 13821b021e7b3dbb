"""Reports of an agent to entries about its worker: incarnation, capacity and speed."""

from __future__ import annotations

import math
from collections.abc import Mapping

from dalemast import clock
from dalemast.core.scheduling import CapacityRequest, LoadPolicy
from dalemast.core.supervision import (
    RunId,
    Supervisor,
    find_most_urgent,
    get_capacity_report_interval_s,
    get_report_order,
)
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import (
    CapacityReleaseRow,
    CapacityReleases,
    CapacityReport,
    CapacityRequestRow,
    RunRow,
    WorkerDeparture,
    WorkerReport,
    WorkerSlowness,
)
from dalemast.observability import Metrics, log_event

__all__ = ["WorkerReports", "make_departure", "to_capacity_request", "to_row"]

MAX_ANSWER_AGE_S = 3600.0
"""Reported age of a worker's last answer, in seconds, if there was none or it is older."""
STAYS = -1.0
"""Value in messages for a worker that is not stopping."""


def to_row(run_id: RunId) -> RunRow:
    """Convert a run id to a row of a frame."""
    return RunRow(
        job=run_id.job_id,
        step=run_id.task.step,
        position=run_id.task.position,
        run=run_id.run,
    )


def to_capacity_request(row: CapacityRequestRow | None) -> CapacityRequest | None:
    """Convert a row of a frame to a capacity request."""
    if row is None:
        return None
    preempts_from = None if row.preempts_from < 0 else row.preempts_from
    return CapacityRequest(rank=row.rank, cpu=row.cpu, preempts_from=preempts_from)


def make_departure(in_s: float | None) -> WorkerDeparture:
    """Return the message about the time until the worker stops; None if it stays."""
    return WorkerDeparture(in_s=STAYS if in_s is None else round(in_s, 3))


class WorkerReports:
    """Sends reports to each entry, at intervals or immediately if the entry can use them.

    ``sessions`` maps owners to their sessions and is updated by the caller. ``policy`` enables
    optional reports.
    """

    def __init__(
        self,
        *,
        supervisor: Supervisor,
        sessions: Mapping[str, OwnerSession],
        policy: LoadPolicy,
        metrics: Metrics,
    ) -> None:
        self._supervisor = supervisor
        self._sessions = sessions
        self._policy = policy
        self._metrics = metrics
        self._releases: tuple[float, tuple[CapacityReleaseRow, ...]] = (float("-inf"), ())
        """The expected capacity releases and when they were computed, shared by reports that are
        sent at the same time."""
        self._ended_for: OwnerSession | None = None
        """The entry whose run ended last, until the free capacity is offered."""
        self._was_accepting = False
        self._announced: tuple[str, Resources | None] = ("", None)
        """The id of the worker last sent to entries, and its capacity. The id is empty while
        orphaned runs may still be on the worker."""

    def send_initial_reports(self, session: OwnerSession, *, now: float) -> None:
        """Send the worker and its capacity to an entry that has just connected."""
        self._send_worker(session)
        session.subscriber.mark_urgent()
        self.send_due(now=now)

    def note_end(self, session: OwnerSession) -> None:
        """Record that a run of this entry has ended; ``note_change`` follows."""
        self._ended_for = session

    def note_change(self, *, now: float) -> None:
        """Handle a change of capacity, and send the reports that are due."""
        self.refresh(now=now)
        for session in self._sessions.values():
            session.subscriber.note_change()
        self._offer_capacity()
        self.send_due(now=now)

    def handle_capacity_request(
        self, session: OwnerSession, request: CapacityRequestRow | None, *, now: float
    ) -> None:
        """Apply an entry's capacity request, or offer the capacity to others if it has none."""
        session.subscriber.set_request(
            to_capacity_request(request), receives_releases=self._policy.shares_demand
        )
        self._offer_capacity()
        self.send_due(now=now)

    def _offer_capacity(self) -> None:
        """Report immediately to one entry: the most urgent, or the one whose run has ended."""
        ended_for, self._ended_for = self._ended_for, None
        subscribers = [session.subscriber for session in self._sessions.values()]
        for owner in self._supervisor.reservations.take_ready():
            # Runs were preempted for this entry, and their capacity is reserved for it.
            ready = self._sessions.get(owner)
            if ready is not None:
                ready.subscriber.mark_urgent()
        first = find_most_urgent(subscribers, free_cpu=self._supervisor.get_free().cpu)
        if first is None and ended_for is not None:
            first = ended_for.subscriber
        if first is not None and first.is_due:
            first.mark_urgent()

    def refresh(self, *, now: float) -> None:
        """Report changes of the worker incarnation, its speed and whether it accepts starts."""
        self._announce_worker()
        self._check_accepting(now)
        if self._policy.learns_speeds:
            self._announce_speed(now)

    def send_due(self, *, now: float) -> None:
        """Send the capacity reports that are due."""
        due = [session for session in self._sessions.values() if session.subscriber.is_due]
        if not due:
            return
        if self._policy.shares_demand:
            due.sort(key=lambda session: get_report_order(session.subscriber))
        sent: list[OwnerSession] = []
        local = sum(session.is_same_data_centre for session in self._sessions.values())
        remote = len(self._sessions) - local
        for session in due:
            subscriber = session.subscriber
            pause_s = get_capacity_report_interval_s(
                is_same_data_centre=session.is_same_data_centre,
                owners=local if session.is_same_data_centre else remote,
                is_satisfied=subscriber.is_satisfied,
            )
            if subscriber.take_due(now=now, interval_s=pause_s):
                self._send_capacity(session, now)
                sent.append(session)
        if len(sent) > 1:
            sent[0].subscriber.record_first(now=now)

    def _announce_worker(self) -> None:
        """Send the worker to all entries if its incarnation or capacity has changed."""
        known = self._get_known()
        if known == self._announced:
            return
        self._announced = known
        for session in self._sessions.values():
            self._send_worker(session)
            session.subscriber.mark_urgent()

    def _announce_speed(self, now: float) -> None:
        """Send the worker's slowness to all entries if it has changed."""
        if not self._announced[0]:
            return
        before = self._supervisor.speeds.reported
        speed = self._supervisor.speeds.take_report(now=now)
        if speed is None:
            return
        log_event(
            "worker:speed",
            worker=self._announced[0],
            slowness=speed.slowness,
            slowness_before=before.slowness if before else None,
            runs=speed.runs,
        )
        for session in self._sessions.values():
            self._send_speed(session)

    def _check_accepting(self, now: float) -> None:
        """Make all reports due when the worker starts or stops accepting starts."""
        is_accepting = self._supervisor.is_accepting(now=now)
        if is_accepting == self._was_accepting:
            return
        self._was_accepting = is_accepting
        for session in self._sessions.values():
            session.subscriber.mark_urgent()

    def _send_capacity(self, session: OwnerSession, now: float) -> None:
        if self._policy.shares_demand:
            # Before the capacity report, on which the entry schedules jobs immediately.
            self._send_releases(session, now)
        free = self._supervisor.get_free_for(session.owner)
        session.link.send(
            CapacityReport(
                seen=session.seen,
                cpu=free.cpu,
                memory_mb=free.memory_mb,
                gpu=free.gpu,
                is_accepting=self._supervisor.is_accepting(now=now),
                pace=round(self._supervisor.get_pace(), 1),
                answered_ago_s=self._get_answered_ago_s(now),
            )
        )

    def _get_answered_ago_s(self, now: float) -> float:
        """Return the age of the worker's last answer in seconds, rounded up."""
        return math.ceil(min(now - self._supervisor.answered_at, MAX_ANSWER_AGE_S) * 10) / 10

    def _send_releases(self, session: OwnerSession, now: float) -> None:
        """Send expected releases to an entry that lacks capacity; no rows withdraw earlier ones."""
        is_content = session.subscriber.is_satisfied
        rows = () if is_content else self._get_release_rows(now)
        if not rows and not session.has_releases:
            return
        session.has_releases = bool(rows)
        session.link.send(CapacityReleases(rows=rows))
        self._metrics.count("room.coming-told")

    def _get_release_rows(self, now: float) -> tuple[CapacityReleaseRow, ...]:
        if self._releases[0] != now:
            steps = self._supervisor.get_releases(now=now)
            self._releases = (
                now,
                tuple(CapacityReleaseRow(in_s=step.in_s, cpu=step.cpu) for step in steps),
            )
        return self._releases[1]

    def _get_known(self) -> tuple[str, Resources | None]:
        """Return the worker's id and capacity; no id while the worker must not be reported."""
        incarnation = self._supervisor.incarnation
        if incarnation is None or not self._supervisor.has_settled:
            return "", None
        return incarnation.id, incarnation.capacity

    def _send_worker(self, session: OwnerSession) -> None:
        """Send the worker to an entry, with the list of its runs there."""
        number = session.begin_report()
        incarnation = self._supervisor.incarnation
        if incarnation is None or not self._supervisor.has_settled:
            report = WorkerReport(
                id="", service="", cpu=0, memory_mb=0, gpu=0, labels=(), number=number
            )
            session.link.send(report)
            return
        runs = self._supervisor.get_owner_runs(session.owner)
        report = WorkerReport(
            id=incarnation.id,
            service=incarnation.service,
            cpu=incarnation.capacity.cpu,
            memory_mb=incarnation.capacity.memory_mb,
            gpu=incarnation.capacity.gpu,
            labels=tuple(sorted(incarnation.labels)),
            runs=tuple(to_row(run_id) for run_id in runs),
            number=number,
            answered_ago_s=self._get_answered_ago_s(clock.monotonic()),
        )
        session.link.send(report)
        left_s = self._supervisor.get_remaining_s(now=clock.monotonic())
        if left_s is not None:
            session.link.send(make_departure(left_s))
        if self._policy.learns_speeds:
            self._send_speed(session)

    def _send_speed(self, session: OwnerSession) -> None:
        """Send the last reported slowness, so that all entries have the same value."""
        speed = self._supervisor.speeds.reported
        if speed is not None:
            session.link.send(WorkerSlowness(slowness=speed.slowness, runs=speed.runs))
