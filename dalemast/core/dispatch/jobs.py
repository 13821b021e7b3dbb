"""The state of one open job."""

from __future__ import annotations

from collections import deque

import msgspec

from dalemast.core.dispatch.base import JobRequest, JobResult
from dalemast.core.exceptions import DalemastError
from dalemast.core.selectors import Selector
from dalemast.core.verdicts import (
    ALLOWED_TRANSITIONS,
    IllegalTransition,
    Run,
    TaskState,
    get_verdict,
)

__all__ = ["Job"]


class Job:
    """The tasks of a job, their states and the answers received so far.

    Only :meth:`set_state` changes a state, and only by an allowed transition.
    """

    def __init__(
        self,
        *,
        number: int,
        request: JobRequest,
        selectors: tuple[Selector, Selector],
        now: float,
    ) -> None:
        self.number = number
        self.request = request
        self.selectors = selectors
        self.submitted_at = now
        self.deadline_at = now + request.deadline_s
        self.waiting: deque[int] = deque(range(len(request.payloads)))
        self.is_queued = False
        self.result: JobResult | None = None
        self._states = [TaskState.WAITING] * len(request.payloads)
        self._answers: list[msgspec.Raw | None] = [None] * len(request.payloads)
        self._missing = len(request.payloads)

    @property
    def is_open(self) -> bool:
        """Whether the job has no result yet."""
        return self.result is None

    @property
    def is_answered(self) -> bool:
        """Whether every task has its answer."""
        return self._missing == 0

    @property
    def run(self) -> Run:
        """Whether any task ran, as far as the task states prove it."""
        return get_verdict(self._states)

    @property
    def has_started_work(self) -> bool:
        """Whether any task was sent and not returned unstarted by its agent."""
        return self.run is not Run.NOT_RUN

    def get_state(self, index: int) -> TaskState:
        """Return the state of a task."""
        return self._states[index]

    def get_unresolved(self) -> list[int]:
        """Return the indexes of the tasks that are at an agent."""
        return [i for i, state in enumerate(self._states) if state is TaskState.SENT]

    def set_state(self, index: int, state: TaskState) -> None:
        """Set the state of a task; raise :class:`IllegalTransition` if it is not allowed."""
        current = self._states[index]
        if state not in ALLOWED_TRANSITIONS[current]:
            raise IllegalTransition(
                f"task {self.number}/{index} from {current.value} to {state.value}"
            )
        self._states[index] = state
        if state is TaskState.WAITING:
            self.waiting.append(index)

    def take_waiting(self, count: int) -> list[int]:
        """Remove and return up to ``count`` waiting tasks, in order."""
        return [self.waiting.popleft() for _ in range(min(count, len(self.waiting)))]

    def answer(self, index: int, value: msgspec.Raw) -> None:
        """Store the answer of a task."""
        self.set_state(index, TaskState.DONE)
        self._answers[index] = value
        self._missing -= 1

    def finish(self) -> JobResult:
        """Close the job with its answers and return the result."""
        answers = tuple(answer for answer in self._answers if answer is not None)
        self.result = JobResult(
            job=self.number, account=self.request.account, run=Run.RAN, answers=answers
        )
        return self.result

    def fail(self, error: DalemastError) -> JobResult:
        """Close the job with an error and return the result; waiting tasks are never started."""
        for index in self.waiting:
            self.set_state(index, TaskState.REVOKED)
        self.waiting.clear()
        self.result = JobResult(
            job=self.number, account=self.request.account, run=self.run, error=error
        )
        return self.result
