"""The gate of one endpoint: admits, queues and starts tasks.

The gate keeps each accepted task until its owner has confirmed the outcome. The frames of an owner
are processed once and in the order of their numbers, across all its connections, so a start can
neither be replayed nor be processed after its revoke. When the state of an owner is deleted, its
session ends too, and the next hello reports a new session to the owner.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from dalemast.core.fairness import FairQueue
from dalemast.core.gate.base import GateEffects, OutcomeKind, RunTask, TaskOutcome
from dalemast.core.gate.sessions import GateTask, OwnerRecord, TaskStage
from dalemast.core.wire import (
    AgentFrame,
    AgentHello,
    EntryFrame,
    EntryHello,
    JobStart,
    Load,
    RefusalReason,
    TaskAnswer,
    TaskRefusal,
)

__all__ = ["Gate"]

OWNER_RETENTION_S = 900.0
"""Seconds without a link after which the state of an owner without active tasks is deleted."""

RECONNECT_GRACE_S = 5.0
"""Seconds without a link after which draining no longer waits for an owner."""

SLOT_RESERVATION_S = 0.03
"""Seconds for which a free slot is reserved for the owner that it was offered to."""

SCARCE_FREE_SLOTS = 2
"""With this many free slots or fewer, answers are sent at once, since the owner may need the
slots that become free."""

WHOLE_MS_THRESHOLD = 20.0
"""Times of this length and more are rounded to whole milliseconds."""

EXPECTED_RUN_S = 0.2
"""Slot-seconds charged when a task starts; corrected when it ends."""


class Gate:
    """Accept, queue and start tasks; keep outcomes until they are confirmed.

    Up to ``slots`` tasks run at once and ``queue_limit`` more may wait. ``max_links`` limits the
    number of connected owners. Times are in seconds on the process's monotonic clock.
    """

    def __init__(
        self,
        *,
        worker: str,
        incarnation: str,
        slots: int,
        queue_limit: int,
        max_links: int = 56,
        is_holding_answers: bool = True,
    ) -> None:
        self._worker = worker
        self._incarnation = incarnation
        self._slots = slots
        self._queue_limit = queue_limit
        self._max_links = max_links
        self._is_holding_answers = is_holding_answers
        self._owners: dict[str, OwnerRecord] = {}
        self._queue: FairQueue[GateTask] = FairQueue()
        self._running = 0
        self._sessions = 0
        self._is_draining = False
        self._runs: list[RunTask] = []
        self._started = 0
        self._duplicate_starts = 0
        self._configuration_version = 0

    @property
    def incarnation(self) -> str:
        """The random identifier of this run of the agent process."""
        return self._incarnation

    @property
    def is_draining(self) -> bool:
        """Whether new starts are refused."""
        return self._is_draining

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return self._running

    @property
    def queued(self) -> int:
        """The number of accepted tasks that wait for a slot."""
        return len(self._queue)

    @property
    def started(self) -> int:
        """The number of tasks started since the agent started."""
        return self._started

    @property
    def duplicate_starts(self) -> int:
        """The number of repeated starts that were ignored."""
        return self._duplicate_starts

    @property
    def configuration_version(self) -> int:
        """The highest configuration version that any owner has sent."""
        return self._configuration_version

    @property
    def link_count(self) -> int:
        """The number of connected owners."""
        return sum(owner.is_linked for owner in self._owners.values())

    @property
    def owner_names(self) -> tuple[str, ...]:
        """The owner incarnations that the gate keeps state for."""
        return tuple(self._owners)

    @property
    def unconfirmed(self) -> int:
        """The number of sent frames with outcomes that are not confirmed."""
        return sum(len(owner.unconfirmed_frames) for owner in self._owners.values())

    def count_undelivered(self, now: float) -> int:
        """Return the number of unconfirmed frames for owners that are linked or may reconnect."""
        return sum(
            len(owner.unconfirmed_frames) + bool(owner.answers or owner.refusals)
            for owner in self._owners.values()
            if owner.is_linked or now - owner.unlinked_at < RECONNECT_GRACE_S
        )

    def is_idle(self, now: float) -> bool:
        """Return whether no task runs or waits and every reachable owner has its outcomes."""
        return not self._running and not len(self._queue) and not self.count_undelivered(now)

    def get_running(self) -> Iterator[RunTask]:
        """Yield the running tasks, without their payloads, for state dumps."""
        for owner in self._owners.values():
            for task in owner.tasks.values():
                if task.state is TaskStage.RUNNING:
                    yield RunTask(
                        owner=owner.incarnation,
                        job=task.job,
                        index=task.index,
                        service=task.service,
                        payload=msgspec.Raw(b"null"),
                    )

    def open_link(
        self, *, now: float, hello: EntryHello
    ) -> tuple[AgentHello, tuple[AgentFrame, ...]] | None:
        """Handle an owner's hello; return the reply and unconfirmed frames, or None to refuse.

        A link is refused if it is older than the current one or if ``max_links`` are open. If the
        hello does not carry the current session, a new one starts and queued tasks are dropped.
        """
        owner = self._owners.get(hello.owner)
        if owner is not None and hello.connection <= owner.connection:
            return None
        if (owner is None or not owner.is_linked) and self.link_count >= self._max_links:
            return None
        if owner is None:
            owner = self._add_owner(hello.owner)
        elif hello.session == owner.session:
            owner.confirm(hello.seen)
        else:
            self._start_session(owner)
        owner.connection = hello.connection
        owner.is_linked = True
        answer = AgentHello(
            worker=self._worker,
            session=owner.session,
            slots=self._slots,
            load=self._get_load(owner, now),
        )
        return answer, tuple(owner.unconfirmed_frames)

    def close_link(self, *, now: float, owner: str, connection: int) -> None:
        """Mark an owner as unlinked, unless the connection was already replaced by a newer one."""
        known = self._owners.get(owner)
        if known is not None and known.connection == connection:
            known.is_linked = False
            known.unlinked_at = now

    def receive(self, *, now: float, owner: str, frame: EntryFrame) -> None:
        """Process a frame of an owner once; ignore frames of other sessions."""
        known = self._owners.get(owner)
        if known is None or frame.session != known.session:
            return
        if frame.number <= known.last_processed:
            return
        known.last_processed = frame.number
        self._configuration_version = max(self._configuration_version, frame.configuration_version)
        known.confirm(frame.seen)
        for key in frame.revokes:
            self._revoke(known, key.job, key.index, RefusalReason.REVOKED, now=now)
        for job in frame.cancels:
            self._cancel(known, job, now=now)
        for start in frame.starts:
            self._accept(known, start, now=now)

    def complete(self, *, now: float, outcome: TaskOutcome) -> None:
        """Handle the outcome of a task that ran."""
        owner = self._owners.get(outcome.owner)
        task = owner.tasks.get((outcome.job, outcome.index)) if owner is not None else None
        if owner is None or task is None or task.state is not TaskStage.RUNNING:
            return
        task.state = TaskStage.ENDED
        owner.active -= 1
        self._running -= 1
        used = now - task.started_at
        self._queue.charge(account=task.account, slot_seconds=used - EXPECTED_RUN_S)
        if outcome.kind is OutcomeKind.UNREACHABLE:
            self._refuse(owner, task.job, task.index, RefusalReason.UNREACHABLE)
            return
        owner.answers.append(
            TaskAnswer(
                job=task.job,
                index=task.index,
                value=outcome.value,
                error=outcome.error,
                run_ms=_round_ms(outcome.run_ms),
                queued_ms=_round_ms((task.started_at - task.queued_at) * 1000.0),
            )
        )

    def start_draining(self, *, now: float) -> None:
        """Refuse new starts and all queued tasks, and report this to every owner."""
        self._is_draining = True
        for task in list(self._queue):
            self._drop_queued(task, RefusalReason.DRAINING)
        for owner in self._owners.values():
            owner.must_report = True

    def stop_draining(self) -> None:
        """Accept starts again, and report this to every owner."""
        self._is_draining = False
        for owner in self._owners.values():
            owner.must_report = True

    def tick(self, *, now: float) -> None:
        """Drop queued tasks whose deadline has passed and owners unlinked for too long."""
        for task in list(self._queue):
            if now >= task.deadline_at:
                self._drop_queued(task, RefusalReason.DEADLINE)
        for name, owner in list(self._owners.items()):
            is_away = not owner.is_linked and now - owner.unlinked_at >= OWNER_RETENTION_S
            if is_away and not owner.active:
                del self._owners[name]

    def collect(self, *, now: float) -> GateEffects:
        """Start queued tasks in free slots; return the tasks to run and the frames to send."""
        self._start_queued(now)
        self._offer_free_slots(now)
        runs = tuple(self._runs)
        self._runs.clear()
        frames = tuple(
            (owner.incarnation, self._make_frame(owner, now))
            for owner in self._owners.values()
            if self._is_due(owner)
        )
        return GateEffects(runs=runs, frames=frames)

    def _add_owner(self, incarnation: str) -> OwnerRecord:
        owner = OwnerRecord(incarnation=incarnation, session=self._make_session_id())
        self._owners[incarnation] = owner
        return owner

    def _make_session_id(self) -> str:
        self._sessions += 1
        return f"{self._incarnation}.{self._sessions}"

    def _start_session(self, owner: OwnerRecord) -> None:
        """Start a new session of an owner; running tasks continue, queued tasks are dropped."""
        for task in list(self._queue):
            if task.owner is owner:
                self._drop_queued(task, RefusalReason.REVOKED)
        owner.start_session(self._make_session_id())

    def _count_reserved(self, now: float, *, excluding: OwnerRecord) -> int:
        """Return the number of free slots reserved for other owners."""
        return sum(now < o.slot_reserved_until for o in self._owners.values() if o is not excluding)

    def _offer_free_slots(self, now: float) -> None:
        """Offer each free slot to one owner, those that have waited longest first.

        If the same slot were offered to all owners, all but one would be refused again.
        """
        free = self._slots - self._running - len(self._queue)
        free -= sum(now < owner.slot_reserved_until for owner in self._owners.values())
        waiting = [o for o in self._owners.values() if o.waiting_for_slot_since is not None]
        waiting.sort(key=lambda owner: owner.waiting_for_slot_since or 0.0)
        for owner in waiting[: max(0, free)]:
            owner.waiting_for_slot_since = None
            owner.slot_reserved_until = now + SLOT_RESERVATION_S
            owner.must_report = True

    def _accept(self, owner: OwnerRecord, start: JobStart, *, now: float) -> None:
        for item in start.tasks:
            key = (start.job, item.index)
            if key in owner.tasks:
                self._duplicate_starts += 1
                continue
            task = GateTask(
                owner=owner, start=start, index=item.index, payload=item.payload, now=now
            )
            owner.tasks[key] = task
            reason = self._get_refusal_reason(owner, start, now)
            owner.slot_reserved_until = 0.0
            if reason is not None:
                task.state = TaskStage.ENDED
                self._refuse(owner, start.job, item.index, reason)
                if reason is RefusalReason.FULL and owner.waiting_for_slot_since is None:
                    owner.waiting_for_slot_since = now
                continue
            owner.active += 1
            if self._running < self._slots and not len(self._queue):
                self._start(task, now=now)
            else:
                self._queue.push(account=start.account, item=task)

    def _get_refusal_reason(
        self, owner: OwnerRecord, start: JobStart, now: float
    ) -> RefusalReason | None:
        if self._is_draining:
            return RefusalReason.DRAINING
        if start.deadline_ms <= 0:
            return RefusalReason.DEADLINE
        taken = self._running + len(self._queue) + self._count_reserved(now, excluding=owner)
        if taken >= self._slots + self._queue_limit:
            return RefusalReason.FULL
        return None

    def _refuse(self, owner: OwnerRecord, job: int, index: int, reason: RefusalReason) -> None:
        owner.refusals.append(TaskRefusal(job=job, index=index, reason=reason))

    def _revoke(
        self, owner: OwnerRecord, job: int, index: int, reason: RefusalReason, *, now: float
    ) -> None:
        task = owner.tasks.get((job, index))
        if task is None:
            # The start has not arrived. Keep the revoke until the owner confirms the refusal,
            # so that a late start does not run.
            start = JobStart(job=job, service="", account="", deadline_ms=0, tasks=())
            task = GateTask(
                owner=owner, start=start, index=index, payload=msgspec.Raw(b"null"), now=now
            )
            task.state = TaskStage.ENDED
            owner.tasks[(job, index)] = task
            self._refuse(owner, job, index, reason)
        elif task.state is TaskStage.QUEUED:
            self._drop_queued(task, reason)

    def _cancel(self, owner: OwnerRecord, job: int, *, now: float) -> None:
        for task in list(owner.tasks.values()):
            if task.job == job and task.state is TaskStage.QUEUED:
                self._drop_queued(task, RefusalReason.CANCELLED)

    def _drop_queued(self, task: GateTask, reason: RefusalReason) -> None:
        if not self._queue.remove(account=task.account, item=task):
            return
        task.state = TaskStage.ENDED
        task.owner.active -= 1
        self._refuse(task.owner, task.job, task.index, reason)

    def _start_queued(self, now: float) -> None:
        while self._running < self._slots:
            account = self._queue.get_next_account()
            if account is None:
                return
            task = self._queue.pop(account)
            if now >= task.deadline_at:
                task.state = TaskStage.ENDED
                task.owner.active -= 1
                self._refuse(task.owner, task.job, task.index, RefusalReason.DEADLINE)
                continue
            self._start(task, now=now)

    def _start(self, task: GateTask, *, now: float) -> None:
        task.state = TaskStage.RUNNING
        task.started_at = now
        self._running += 1
        self._started += 1
        self._queue.charge(account=task.account, slot_seconds=EXPECTED_RUN_S)
        self._runs.append(
            RunTask(
                owner=task.owner.incarnation,
                job=task.job,
                index=task.index,
                service=task.service,
                payload=task.payload,
            )
        )
        task.payload = msgspec.Raw(b"null")

    def _is_due(self, owner: OwnerRecord) -> bool:
        """Return whether a frame must be sent to an owner now.

        Answers are held while another task of the same job is active here, to save frames, since
        the job needs all its answers. They are not held when slots are scarce, because the owner
        may have a task for the free slot.
        """
        if not owner.is_linked:
            return False
        if owner.refusals or owner.must_report:
            return True
        if not owner.answers:
            return False
        free = self._slots - self._running - len(self._queue)
        if not self._is_holding_answers or free <= SCARCE_FREE_SLOTS:
            return True
        return any(not self._has_active_tasks(owner, answer.job) for answer in owner.answers)

    def _has_active_tasks(self, owner: OwnerRecord, job: int) -> bool:
        return any(t.job == job and t.state is not TaskStage.ENDED for t in owner.tasks.values())

    def _make_frame(self, owner: OwnerRecord, now: float) -> AgentFrame:
        owner.last_sent += 1
        owner.must_report = False
        frame = AgentFrame(
            session=owner.session,
            number=owner.last_sent,
            load=self._get_load(owner, now),
            answers=tuple(owner.answers),
            refusals=tuple(owner.refusals),
        )
        owner.answers.clear()
        owner.refusals.clear()
        if frame.answers or frame.refusals:
            owner.unconfirmed_frames.append(frame)
        return frame

    def _get_load(self, owner: OwnerRecord, now: float) -> Load:
        return Load(
            running=self._running + self._count_reserved(now, excluding=owner),
            queued=len(self._queue),
            yours=owner.active,
            draining=self._is_draining,
        )


def _round_ms(value: float) -> float:
    """Round a time to a useful precision, to save bytes on the wire."""
    return round(value) if value >= WHOLE_MS_THRESHOLD else round(value, 1)
