"""What an agent tells entries of its worker: its life, and how much room it has."""

from __future__ import annotations

from collections.abc import Mapping

from dalemast import clock
from dalemast.core.scheduling import LoadPolicy, Want
from dalemast.core.supervision import RunId, Supervisor, find_neediest, get_room_pause, get_turn
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import (
    CapacityReleaseRow,
    CapacityReleases,
    CapacityReport,
    CapacityRequestRow,
    RunRow,
    WorkerLeaving,
    WorkerReport,
    WorkerSlowness,
)
from dalemast.observability import Metrics, log_event

__all__ = ["WorkerReports", "make_departure", "to_row", "to_capacity_request"]

STAYS = -1.0
"""How a message says that a worker stays after all."""


def to_row(run_id: RunId) -> RunRow:
    """Return how a message names a run."""
    return RunRow(
        job=run_id.job_id,
        step=run_id.task.step,
        position=run_id.task.position,
        run=run_id.run,
    )


def to_capacity_request(row: CapacityRequestRow | None) -> Want | None:
    """Return what an entry's message says that it lacks room for."""
    if row is None:
        return None
    preempts_from = None if row.preempts_from < 0 else row.preempts_from
    return Want(rank=row.rank, cpu=row.cpu, preempts_from=preempts_from)


def make_departure(in_s: float | None) -> WorkerLeaving:
    """Return how a message tells the least time that the worker has left; None if it stays."""
    return WorkerLeaving(in_s=STAYS if in_s is None else round(in_s, 3))


class WorkerReports:
    """Reports to each entry when its pause is over, and at once when it helps the entry.

    ``sessions`` are the links with entries, by owner; their keeper adds to them and takes away.
    ``policy`` says which of the further words entries hear.
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
        self._coming: tuple[float, tuple[CapacityReleaseRow, ...]] = (float("-inf"), ())
        """When room comes free, as of a moment: owners that are told together are told the same."""
        self._ended_for: OwnerSession | None = None
        """The entry whose run has ended since room was last offered."""
        self._was_accepting = False
        self._announced: tuple[str, Resources | None] = ("", None)
        """The worker's life that entries were told of, once nothing unknown runs there, and its
        capacity, which may change."""

    def greet(self, session: OwnerSession, *, now: float) -> None:
        """Tell an entry that was just met of the worker and its room."""
        self._tell_worker(session)
        session.subscriber.hasten()
        self.send_due(now=now)

    def note_end(self, session: OwnerSession) -> None:
        """Note that a run of this entry has ended; the change of room is noted after it."""
        self._ended_for = session

    def note_change(self, *, now: float) -> None:
        """Note that the room has changed, and send the reports that are due."""
        self.refresh(now=now)
        for session in self._sessions.values():
            session.subscriber.note_change()
        self._offer_room()
        self.send_due(now=now)

    def handle_capacity_request(
        self, session: OwnerSession, want: CapacityRequestRow | None, *, now: float
    ) -> None:
        """Take in what an entry lacks room for; if it wants none, the next one is offered it."""
        session.subscriber.take_want(
            to_capacity_request(want), hears_coming=self._policy.shares_demand
        )
        self._offer_room()
        self.send_due(now=now)

    def _offer_room(self) -> None:
        """Let one entry hear at once: the neediest, or else the one whose run has ended."""
        ended_for, self._ended_for = self._ended_for, None
        audiences = [session.subscriber for session in self._sessions.values()]
        for owner in self._supervisor.takeovers.take_ready():
            # Runs were stopped for this entry, and others are told of less meanwhile.
            ready = self._sessions.get(owner)
            if ready is not None:
                ready.subscriber.hasten()
        first = find_neediest(audiences, free_cpu=self._supervisor.get_free().cpu)
        if first is None and ended_for is not None:
            first = ended_for.subscriber
        if first is not None and first.is_due:
            first.hasten()

    def refresh(self, *, now: float) -> None:
        """Take in whether the worker's life has changed, or whether it takes starts."""
        self._announce_worker()
        self._check_accepting(now)
        if self._policy.learns_speeds:
            self._announce_speed(now)

    def send_due(self, *, now: float) -> None:
        """Send the room reports that are due."""
        due = [session for session in self._sessions.values() if session.subscriber.is_due]
        if not due:
            return
        if self._policy.shares_demand:
            due.sort(key=lambda session: get_turn(session.subscriber))
        told: list[OwnerSession] = []
        near = sum(session.is_near for session in self._sessions.values())
        far = len(self._sessions) - near
        for session in due:
            audience = session.subscriber
            pause_s = get_room_pause(
                is_near=session.is_near,
                owners=near if session.is_near else far,
                is_content=audience.is_content,
            )
            if audience.take_due(now=now, pause_s=pause_s):
                self._send_room(session, now)
                told.append(session)
        if len(told) > 1:
            told[0].subscriber.note_first(now=now)

    def _announce_worker(self) -> None:
        """Tell all entries of the worker's life if it or its room has changed, or become known."""
        known = self._get_known()
        if known == self._announced:
            return
        self._announced = known
        for session in self._sessions.values():
            self._tell_worker(session)
            session.subscriber.hasten()

    def _announce_speed(self, now: float) -> None:
        """Tell all entries how fast the worker is, if that is known by now or has changed."""
        if not self._announced[0]:
            return
        before = self._supervisor.speeds.told
        speed = self._supervisor.speeds.take_news(now=now)
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
            self._tell_speed(session)

    def _check_accepting(self, now: float) -> None:
        """Hurry all reports when the worker begins or ceases to take starts."""
        is_accepting = self._supervisor.is_accepting(now=now)
        if is_accepting == self._was_accepting:
            return
        self._was_accepting = is_accepting
        for session in self._sessions.values():
            session.subscriber.hasten()

    def _send_room(self, session: OwnerSession, now: float) -> None:
        if self._policy.shares_demand:
            # Before the room, which the entry decides by as soon as it hears of it.
            self._send_coming(session, now)
        free = self._supervisor.get_free_for(session.owner)
        session.link.send(
            CapacityReport(
                seen=session.seen,
                cpu=free.cpu,
                memory_mb=free.memory_mb,
                gpu=free.gpu,
                is_accepting=self._supervisor.is_accepting(now=now),
                pace=round(self._supervisor.get_pace(), 1),
            )
        )

    def _send_coming(self, session: OwnerSession, now: float) -> None:
        """Tell an entry that lacks room when some comes free, and once when none does any more."""
        is_content = session.subscriber.is_content
        rows = () if is_content else self._get_coming_rows(now)
        if not rows and not session.has_releases:
            return
        session.has_releases = bool(rows)
        session.link.send(CapacityReleases(rows=rows))
        self._metrics.count("room.coming-told")

    def _get_coming_rows(self, now: float) -> tuple[CapacityReleaseRow, ...]:
        if self._coming[0] != now:
            steps = self._supervisor.get_coming(now=now)
            self._coming = (
                now,
                tuple(CapacityReleaseRow(in_s=step.in_s, cpu=step.cpu) for step in steps),
            )
        return self._coming[1]

    def _get_known(self) -> tuple[str, Resources | None]:
        """Return the worker's life and capacity, or no id while owners are not told of it."""
        life = self._supervisor.life
        if life is None or not self._supervisor.has_settled:
            return "", None
        return life.id, life.capacity

    def _tell_worker(self, session: OwnerSession) -> None:
        """Tell an entry of the worker, and which of its runs are there."""
        number = session.begin_report()
        life = self._supervisor.life
        if life is None or not self._supervisor.has_settled:
            news = WorkerReport(
                id="", service="", cpu=0, memory_mb=0, gpu=0, labels=(), number=number
            )
            session.link.send(news)
            return
        runs = self._supervisor.get_owner_runs(session.owner)
        news = WorkerReport(
            id=life.id,
            service=life.service,
            cpu=life.capacity.cpu,
            memory_mb=life.capacity.memory_mb,
            gpu=life.capacity.gpu,
            labels=tuple(sorted(life.labels)),
            runs=tuple(to_row(run_id) for run_id in runs),
            number=number,
        )
        session.link.send(news)
        left_s = self._supervisor.get_left_s(now=clock.monotonic())
        if left_s is not None:
            session.link.send(make_departure(left_s))
        if self._policy.learns_speeds:
            self._tell_speed(session)

    def _tell_speed(self, session: OwnerSession) -> None:
        """Tell an entry the worker's speed as it was told last, so that all believe alike."""
        speed = self._supervisor.speeds.told
        if speed is not None:
            session.link.send(WorkerSlowness(slowness=speed.slowness, runs=speed.runs))
