"""Run the owner core: drive its clock, its links and the callers that wait for its jobs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from dalemast import clock
from dalemast.core.configuration import Configuration, ConfigurationHolder
from dalemast.core.dispatch import (
    CallerGone,
    JobCancelled,
    JobRequest,
    JobResult,
    Owner,
    OwnerPolicy,
)
from dalemast.core.exceptions import DalemastError
from dalemast.core.submissions import (
    LedgerEntry,
    SubmissionHandler,
    SubmissionKey,
    SubmissionLedger,
)
from dalemast.core.wire import AgentFrame, AgentHello, EntryFrame, EntryHello
from dalemast.observability import Metrics

__all__ = ["EntryEngine"]

BUSY_TICK_S = 0.02
"""Interval of the timer while jobs are open."""
IDLE_TICK_S = 0.5

Sender = Callable[[bytes], None]

_encode = msgspec.json.Encoder().encode
_decode_frame = msgspec.json.Decoder(AgentFrame).decode


class EntryEngine:
    """Connects the owner core and the submission ledger to the clock, links and callers.

    All methods must be called from the entry's event loop.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        name: str,
        policy: OwnerPolicy,
        ticket_life_s: float,
        caller_grace_s: float,
        metrics: Metrics,
    ) -> None:
        self.configuration = ConfigurationHolder()
        self.ledger = SubmissionLedger(ticket_life_s=ticket_life_s)
        self.metrics = metrics
        self._caller_grace_s = caller_grace_s
        self._owner = Owner(
            incarnation=incarnation,
            entry=name,
            configuration=self.configuration,
            policy=policy,
            rng=random.Random(incarnation),
            now=clock.monotonic(),
        )
        self._desk = SubmissionHandler(
            owner=self._owner, ledger=self.ledger, configuration=self.configuration
        )
        self._senders: dict[str, Sender] = {}
        self._waiters: dict[int, set[asyncio.Future[JobResult]]] = {}
        self._is_collect_scheduled = False
        self._ticker: asyncio.Task[None] | None = None
        self._on_configuration: list[Callable[[], None]] = []

    @property
    def incarnation(self) -> str:
        """The random identifier of this run of the entry process."""
        return self._owner.incarnation

    @property
    def owner(self) -> Owner:
        """The owner core, for state dumps."""
        return self._owner

    @property
    def is_draining(self) -> bool:
        """Whether new jobs are refused."""
        return self._desk.is_draining

    @property
    def open_jobs(self) -> int:
        """The number of jobs without a result."""
        return self._owner.open_jobs

    def start(self) -> None:
        """Start the timer."""
        self._ticker = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Stop the timer."""
        if self._ticker is not None:
            self._ticker.cancel()

    def start_draining(self) -> None:
        """Refuse new jobs from now on."""
        self._desk.start_draining()

    # Configuration

    def on_configuration(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after each new configuration."""
        self._on_configuration.append(callback)

    def offer_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was."""
        if not self.configuration.offer(configuration):
            return False
        self._owner.apply_configuration()
        for callback in self._on_configuration:
            callback()
        self._schedule_collect()
        return True

    def set_membership(self, *, entries: int, leaving_workers: set[str]) -> None:
        """Apply the number of entries and the leaving workers from the host list."""
        self._owner.set_entry_count(entries)
        self._owner.set_leaving_hosts(leaving_workers)

    # Submissions

    async def submit(self, *, key: SubmissionKey, digest: bytes, request: JobRequest) -> JobResult:
        """Start a submission, or join it if it was started already, and wait for its result.

        Raise the error of a refused submission; a refused key stays refused.
        """
        try:
            entry = self._desk.submit(
                now=clock.monotonic(), key=key, digest=digest, request=request
            )
        except DalemastError as error:
            self.metrics.count(f"submissions.refused.{error.code}")
            raise
        self.metrics.count("submissions.taken")
        self._schedule_collect()
        return await self.wait(entry)

    async def wait(self, entry: LedgerEntry) -> JobResult:
        """Wait for the result of a submission.

        Cancelling the wait cancels the job only if no caller waits for it after the grace period
        and not all of its tasks have been started.
        """
        if entry.result is not None:
            return entry.result
        job = entry.submission.job
        future: asyncio.Future[JobResult] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job, set()).add(future)
        try:
            return await future
        finally:
            waiting = self._waiters.get(job)
            if waiting is not None:
                waiting.discard(future)
                if not waiting:
                    self._schedule_abandonment(job)

    async def wait_for(self, entry: LedgerEntry, *, timeout_s: float) -> JobResult | None:
        """Wait for a result for at most ``timeout_s`` seconds."""
        try:
            return await asyncio.wait_for(self.wait(entry), timeout_s)
        except TimeoutError:
            return None

    def cancel(self, entry: LedgerEntry) -> JobResult:
        """Cancel a job and return its result; a job that has ended keeps the result it has."""
        if entry.result is None:
            error = JobCancelled("the account cancelled the job")
            self._owner.cancel(job=entry.submission.job, error=error)
            self._collect()
        assert entry.result is not None
        return entry.result

    def _schedule_abandonment(self, job: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._caller_grace_s, self._drop_abandoned, job)

    def _drop_abandoned(self, job: int) -> None:
        """Cancel a job that no caller waits for, unless all of its tasks have been started."""
        if self._waiters.get(job) or not self._owner.is_waiting(job):
            return
        self._owner.cancel(job=job, error=CallerGone("all callers disconnected"))
        self.metrics.count("jobs.abandoned")
        self._schedule_collect()

    # Links

    def make_hello(self, worker: str) -> EntryHello | None:
        """Return the first message for a new connection, or None if it should be closed."""
        return self._owner.make_hello(worker)

    def open_link(self, worker: str, hello: AgentHello, sender: Sender) -> None:
        """Register a link whose hello messages have been exchanged."""
        self._senders[worker] = sender
        self._owner.open_link(now=clock.monotonic(), worker=worker, hello=hello)
        self._schedule_collect()

    def close_link(self, worker: str) -> None:
        """Unregister a closed link."""
        self._senders.pop(worker, None)
        self._owner.close_link(worker=worker)

    def lose_worker(self, worker: str) -> None:
        """Treat an unreachable worker's tasks as lost."""
        self.metrics.count("workers.lost")
        self._owner.lose_worker(worker=worker)
        self._schedule_collect()

    def receive(self, worker: str, data: bytes | str) -> None:
        """Handle a message from an agent."""
        frame = _decode_frame(data)
        kind = "answers" if frame.answers else "other"
        self.metrics.count(f"frames.received.{kind}")
        self.metrics.count(f"bytes.received.{kind}", len(data))
        if frame.refusals:
            self.metrics.count("tasks.refused", len(frame.refusals))
            if not frame.answers:
                self.metrics.count("frames.received.refusals")
        self._owner.receive(now=clock.monotonic(), worker=worker, frame=frame)
        self._schedule_collect()

    # Event loop

    def _schedule_collect(self) -> None:
        if not self._is_collect_scheduled:
            self._is_collect_scheduled = True
            asyncio.get_running_loop().call_soon(self._collect)

    def _collect(self) -> None:
        self._is_collect_scheduled = False
        now = clock.monotonic()
        effects = self._owner.collect(now=now)
        for worker, frame in effects.frames:
            self._send(worker, frame)
        for result in effects.results:
            self._finish(result, now)

    def _send(self, worker: str, frame: EntryFrame) -> None:
        data = _encode(frame)
        kind = "starts" if frame.starts else "other"
        self.metrics.count(f"frames.sent.{kind}")
        self.metrics.count(f"bytes.sent.{kind}", len(data))
        if frame.starts:
            self.metrics.count("tasks.sent", sum(len(start.tasks) for start in frame.starts))
        sender = self._senders.get(worker)
        if sender is not None:
            sender(data)

    def _finish(self, result: JobResult, now: float) -> None:
        self._desk.finish(now=now, result=result)
        self.metrics.count("jobs.complete" if result.is_complete else "jobs.failed")
        if result.error is not None:
            self.metrics.count(f"jobs.failed.{result.error.code}")
        for future in self._waiters.pop(result.job, ()):
            if not future.done():
                future.set_result(result)

    async def _tick(self) -> None:
        while True:
            is_busy = bool(self._owner.open_jobs)
            await asyncio.sleep(BUSY_TICK_S if is_busy else IDLE_TICK_S)
            now = clock.monotonic()
            self._owner.tick(now=now)
            self.ledger.tick(now=now)
            self._schedule_collect()
