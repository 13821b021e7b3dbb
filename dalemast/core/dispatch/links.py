"""The owner's side of a link to an agent: messages to send and unresolved tasks."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from dalemast.core.dispatch.jobs import Job
from dalemast.core.placement import WorkerView
from dalemast.core.wire import AgentFrame, EntryFrame, EntryHello, JobStart, TaskKey, TaskStart

__all__ = ["OutstandingTask", "WorkerLink"]


@dataclass(frozen=True, kw_only=True, slots=True)
class OutstandingTask:
    """A task that was sent and is unresolved. ``sent_at`` is on the owner's clock, in seconds.

    ``trial`` is the number of the health trial that the task is part of, or 0.
    """

    job: Job
    index: int
    sent_at: float
    trial: int


class WorkerLink:
    """The link to one agent: pending messages and the unresolved tasks of its session."""

    def __init__(
        self,
        *,
        view: WorkerView,
        connections: Iterator[int],
        on_due: Callable[[WorkerLink], None],
        on_watched: Callable[[WorkerLink], None],
    ) -> None:
        self._on_due = on_due
        self._on_watched = on_watched
        self.view = view
        self.outstanding: dict[tuple[int, int], OutstandingTask] = {}
        self.revoking: set[tuple[int, int]] = set()
        self.overdue: set[tuple[int, int]] = set()
        self.seen = 0
        self.confirmed = 0
        self.unconfirmed_since = 0.0
        self._connections = connections
        self._number = 0
        self._starts: dict[int, list[int]] = {}
        self._jobs: dict[int, Job] = {}
        self._revokes: list[TaskKey] = []
        self._cancels: list[int] = []
        self._is_confirmation_due = False

    @property
    def has_content(self) -> bool:
        """Whether there is anything to send."""
        return bool(self._starts or self._revokes or self._cancels or self._is_confirmation_due)

    @property
    def needs_watching(self) -> bool:
        """Whether the link must be checked for overdue tasks or a late confirmation."""
        return bool(self.outstanding) or self.is_unconfirmed

    @property
    def is_unconfirmed(self) -> bool:
        """Whether a processed frame is not confirmed yet, so that the agent still keeps it."""
        return self.seen > self.confirmed

    def make_hello(self, *, owner: str, entry: str, data_centre: str) -> EntryHello:
        """Return the first message of a new connection."""
        return EntryHello(
            owner=owner,
            entry=entry,
            connection=next(self._connections),
            session=self.view.session,
            seen=self.seen,
            data_centre=data_centre,
        )

    def add_start(self, job: Job, index: int, *, trial: int, now: float) -> None:
        """Add a start to the next frame and track the task as outstanding."""
        key = (job.number, index)
        if key not in self.outstanding:
            self.view.own += 1
        self.outstanding[key] = OutstandingTask(job=job, index=index, sent_at=now, trial=trial)
        self._starts.setdefault(job.number, []).append(index)
        self._jobs[job.number] = job
        self._on_due(self)
        self._on_watched(self)

    def add_revoke(self, key: tuple[int, int]) -> None:
        """Add a revoke to the next frame; it is sent again on a new connection."""
        self.revoking.add(key)
        self._revokes.append(TaskKey(job=key[0], index=key[1]))
        self._on_due(self)

    def add_cancel(self, job: int) -> None:
        """Cancel all tasks of a job at this agent with the next frame."""
        self._cancels.append(job)
        self._on_due(self)

    def request_confirmation(self) -> None:
        """Send a frame even if it carries nothing but ``seen``, the confirmation."""
        self._is_confirmation_due = True
        self._on_due(self)

    def resolve(self, key: tuple[int, int]) -> OutstandingTask | None:
        """Stop tracking a task and return it, or None if it was not outstanding."""
        found = self.outstanding.pop(key, None)
        if found is not None:
            self.view.own -= 1
        self.revoking.discard(key)
        self.overdue.discard(key)
        self.view.overdue = len(self.overdue)
        return found

    def accept_number(self, frame: AgentFrame, now: float) -> bool:
        """Return whether a frame is new and of this session, and record its number.

        Frames without outcomes are not kept by the agent, so they need no number check.
        """
        if frame.session != self.view.session:
            return False
        if not frame.answers and not frame.refusals:
            return True
        if frame.number <= self.seen:
            return False
        if not self.is_unconfirmed:
            self.unconfirmed_since = now
        self.seen = frame.number
        self._on_watched(self)
        return True

    def reset_session(self, session: str) -> list[OutstandingTask]:
        """Start a new session and return the tasks that were lost with the old one."""
        lost = list(self.outstanding.values())
        for key in list(self.outstanding):
            self.resolve(key)
        self._drop_pending()
        self.view.session = session
        self.seen = 0
        self.confirmed = 0
        self._number = 0
        return lost

    def prepare_resend(self, now: float) -> None:
        """Queue again every message that may have been lost with the previous connection."""
        self._drop_pending()
        self._on_due(self)
        for key, item in self.outstanding.items():
            if key in self.revoking:
                self._revokes.append(TaskKey(job=key[0], index=key[1]))
            elif item.job.is_open:
                self._starts.setdefault(item.job.number, []).append(item.index)
                self._jobs[item.job.number] = item.job
            else:
                self.revoking.add(key)
                self._revokes.append(TaskKey(job=key[0], index=key[1]))

    def take_frames(
        self, *, now: float, configuration_version: int, is_task_by_task: bool
    ) -> Iterable[EntryFrame]:
        """Return the frames to send now: one, or one per task with ``is_task_by_task``."""
        starts = [
            self._make_start(self._jobs[number], indexes, now)
            for number, indexes in self._starts.items()
        ]
        revokes = tuple(self._revokes)
        cancels = tuple(self._cancels)
        self._drop_pending()
        if not is_task_by_task:
            groups: list[tuple[JobStart, ...]] = [tuple(starts)]
        else:
            groups = [
                (_with_tasks(start, (task,)),) for start in starts for task in start.tasks
            ] or [()]
        for position, group in enumerate(groups):
            is_first = position == 0
            self._number += 1
            yield EntryFrame(
                session=self.view.session,
                number=self._number,
                seen=self.seen,
                configuration_version=configuration_version,
                starts=group,
                revokes=revokes if is_first else (),
                cancels=cancels if is_first else (),
            )
        self.confirmed = self.seen

    def _make_start(self, job: Job, indexes: list[int], now: float) -> JobStart:
        payloads = job.request.payloads
        return JobStart(
            job=job.number,
            service=job.request.service,
            account=job.request.account,
            deadline_ms=int((job.deadline_at - now) * 1000),
            tasks=tuple(TaskStart(index=index, payload=payloads[index]) for index in indexes),
        )

    def _drop_pending(self) -> None:
        self._starts.clear()
        self._jobs.clear()
        self._revokes.clear()
        self._cancels.clear()
        self._is_confirmation_due = False


def _with_tasks(start: JobStart, tasks: tuple[TaskStart, ...]) -> JobStart:
    return JobStart(
        job=start.job,
        service=start.service,
        account=start.account,
        deadline_ms=start.deadline_ms,
        tasks=tasks,
    )
