"""A simulated system of entries and agents that runs the real core on a simulated clock.

Links may be cut and reopened. Frames may be lost, duplicated, or delivered late from a connection
that was already replaced. Agents and entries may crash and restart.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

from dalemast.core.configuration import (
    Account,
    Configuration,
    ConfigurationHolder,
    Endpoint,
    EndpointState,
    Service,
)
from dalemast.core.dispatch import JobCancelled, JobRequest, JobResult, Owner, OwnerPolicy
from dalemast.core.exceptions import DalemastError
from dalemast.core.gate import Gate, RunTask, TaskOutcome
from dalemast.core.gate.base import OutcomeKind
from dalemast.core.submissions import (
    AnswerForgotten,
    SubmissionHandler,
    SubmissionLedger,
    TicketKey,
)
from dalemast.core.verdicts import Run
from dalemast.core.wire import AgentFrame, EntryFrame, EntryHello

SLOTS = 2
TASK_TEXT = "{}/{}/{}"


def make_configuration(version: int, workers: list[str], leaving: frozenset[str]) -> Configuration:
    """Return a configuration with one service on the given workers."""
    return Configuration(
        version=version,
        accounts=(Account(name="a"), Account(name="b")),
        services=(Service(name="s"),),
        endpoints=tuple(
            Endpoint(
                name=name,
                worker=name,
                data_centre="dc",
                agent="127.0.0.1:1",
                services=("s",),
                slots=SLOTS,
                state=EndpointState.LEAVING if name in leaving else EndpointState.LIVE,
            )
            for name in workers
        ),
    )


class ModelEntry:
    """One entry incarnation, with a real owner, ledger and submission handler."""

    def __init__(self, name: str, incarnation: str, configuration: Configuration, now: float):
        self.name = name
        self.holder = ConfigurationHolder()
        self.holder.offer(configuration)
        self.owner = Owner(
            incarnation=incarnation,
            entry=name,
            configuration=self.holder,
            policy=OwnerPolicy(queue_limit=2, placement="spreading", admission="deadline"),
            rng=random.Random(incarnation),
            now=now,
        )
        self.ledger = SubmissionLedger(ticket_life_s=60.0)
        self.submission_handler = SubmissionHandler(
            owner=self.owner, ledger=self.ledger, configuration=self.holder
        )
        self.owner.apply_configuration()


@dataclass
class Connection:
    """A connection between an entry and an agent, with its undelivered frames."""

    entry: ModelEntry
    worker: str
    gate: Gate
    hello: EntryHello
    to_agent: deque[EntryFrame] = field(default_factory=deque)
    to_entry: deque[AgentFrame] = field(default_factory=deque)
    is_open: bool = True


@dataclass
class Submitted:
    """A submission as known to its caller, with the outcomes that the caller received."""

    entry: ModelEntry
    key: TicketKey
    tasks: int
    account: str
    job: int | None = None
    received: list[tuple[str, Run, tuple[bytes, ...]]] = field(default_factory=list)


class Model:
    """The simulated entries, agents and links, and a record of every task start."""

    def __init__(self, entries: int = 2, workers: int = 3) -> None:
        self.now = 100.0
        self.version = 1
        self.leaving: frozenset[str] = frozenset()
        self.workers = [f"w{number}" for number in range(workers)]
        self.names = [f"e{number}" for number in range(entries)]
        self.incarnations = 0
        self.starts: Counter[str] = Counter()
        self.late_starts: list[str] = []
        self.submitted: list[Submitted] = []
        self.running: dict[str, list[RunTask]] = {name: [] for name in self.workers}
        self.connections: list[Connection] = []
        self.old_frames: list[tuple[Connection, EntryFrame]] = []
        self.entries = [self._make_entry(name) for name in self.names]
        self.gates = {name: self._make_gate(name) for name in self.workers}
        for entry in self.entries:
            for worker in self.workers:
                self.connect(entry, worker)

    def _next(self) -> str:
        self.incarnations += 1
        return f"i{self.incarnations}"

    def _make_entry(self, name: str) -> ModelEntry:
        configuration = make_configuration(self.version, self.workers, self.leaving)
        return ModelEntry(name, self._next(), configuration, self.now)

    def _make_gate(self, worker: str) -> Gate:
        return Gate(worker=worker, incarnation=self._next(), slots=SLOTS, queue_limit=2)

    # Links

    def connect(self, entry: ModelEntry, worker: str) -> None:
        """Open a new connection and cut the previous one."""
        for connection in self.connections:
            if connection.entry is entry and connection.worker == worker:
                self.cut(connection)
        gate = self.gates[worker]
        hello = entry.owner.make_hello(worker)
        if hello is None:
            return
        opened = gate.open_link(now=self.now, hello=hello)
        if opened is None:
            return
        answer, frames = opened
        connection = Connection(entry=entry, worker=worker, gate=gate, hello=hello)
        connection.to_entry.extend(frames)
        self.connections.append(connection)
        entry.owner.open_link(now=self.now, worker=worker, hello=answer)
        self.collect()

    def cut(self, connection: Connection) -> None:
        """Cut a connection; frames to the entry are lost, those to the agent may arrive late."""
        connection.is_open = False
        self.connections = [other for other in self.connections if other is not connection]
        self.old_frames += [(connection, frame) for frame in connection.to_agent]
        connection.entry.owner.close_link(worker=connection.worker)
        connection.gate.close_link(
            now=self.now,
            owner=connection.hello.owner,
            connection=connection.hello.connection,
        )

    def deliver_to_agent(self, connection: Connection, *, is_duplicated: bool = False) -> None:
        """Deliver the next frame to an agent, optionally twice."""
        if not connection.to_agent:
            return
        frame = connection.to_agent.popleft()
        for _ in range(1 + is_duplicated):
            self._receive(connection, frame)

    def deliver_old(self, position: int) -> None:
        """Deliver a frame of a connection that was cut."""
        if self.old_frames:
            connection, frame = self.old_frames.pop(position % len(self.old_frames))
            self._receive(connection, frame)

    def _receive(self, connection: Connection, frame: EntryFrame) -> None:
        if connection.gate is self.gates[connection.worker]:
            connection.gate.receive(now=self.now, owner=connection.hello.owner, frame=frame)
            self.collect()

    def deliver_to_entry(self, connection: Connection) -> None:
        """Deliver the next frame to an entry."""
        if connection.to_entry:
            frame = connection.to_entry.popleft()
            connection.entry.owner.receive(now=self.now, worker=connection.worker, frame=frame)
            self.collect()

    # Faults

    def crash_agent(self, worker: str) -> None:
        """Crash and restart an agent; the outcomes of its running tasks are lost."""
        for connection in list(self.connections):
            if connection.worker == worker:
                self.cut(connection)
        self.gates[worker] = self._make_gate(worker)
        self.running[worker] = []

    def crash_entry(self, position: int) -> None:
        """Crash an entry and start a new incarnation."""
        entry = self.entries[position]
        for connection in list(self.connections):
            if connection.entry is entry:
                self.cut(connection)
        self.entries[position] = self._make_entry(entry.name)

    def set_leaving(self, worker: str, *, is_leaving: bool) -> None:
        """Change the state of an endpoint in the configuration of every live entry."""
        self.version += 1
        self.leaving = self.leaving | {worker} if is_leaving else self.leaving - {worker}
        configuration = make_configuration(self.version, self.workers, self.leaving)
        for entry in self.entries:
            entry.holder.offer(configuration)
            entry.owner.apply_configuration()
        self.collect()

    # Work

    def submit(self, position: int, tasks: int, account: str, deadline_s: float) -> None:
        """Submit a new job under a new ticket."""
        entry = self.entries[position]
        key = TicketKey(number=entry.ledger.issue())
        submitted = Submitted(entry=entry, key=key, tasks=tasks, account=account)
        self.submitted.append(submitted)
        self.send(submitted, deadline_s)

    def send(self, submitted: Submitted, deadline_s: float = 30.0) -> None:
        """Send a submission to its owner, as the first request or as a repeat."""
        if submitted.entry not in self.entries:
            return
        request = JobRequest(
            account=submitted.account,
            service="s",
            selector="",
            deadline_s=deadline_s,
            is_repeatable=False,
            payloads=tuple(msgspec.Raw(b"%d" % n) for n in range(submitted.tasks)),
            size_bytes=submitted.tasks,
        )
        submission_handler = submitted.entry.submission_handler
        try:
            entry = submission_handler.submit(
                now=self.now, key=submitted.key, digest=b"", request=request
            )
        except AnswerForgotten as error:
            submitted.received.append(("forgotten", error.run, ()))
        except DalemastError as error:
            submitted.received.append(("refused", error.run, ()))
        else:
            submitted.job = entry.submission.job
            if entry.result is not None:
                self._record_received(submitted, entry.result)
        self.collect()

    def cancel(self, submitted: Submitted) -> None:
        """Cancel a job."""
        if submitted.entry in self.entries and submitted.job is not None:
            submitted.entry.owner.cancel(job=submitted.job, error=JobCancelled("cancelled"))
            self.collect()

    def complete(self, worker: str, position: int, kind: OutcomeKind) -> None:
        """End a running task."""
        running = self.running[worker]
        if not running:
            return
        run = running.pop(position % len(running))
        self.gates[worker].complete(
            now=self.now,
            outcome=TaskOutcome(
                owner=run.owner,
                job=run.job,
                index=run.index,
                kind=kind,
                value=msgspec.Raw(b'"%d/%d"' % (run.job, run.index)),
                error="" if kind is OutcomeKind.ANSWERED else "broken",
                run_ms=10.0,
            ),
        )
        if kind is OutcomeKind.UNREACHABLE:
            self.starts[TASK_TEXT.format(run.owner, run.job, run.index)] -= 1
        self.collect()

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds
        for entry in self.entries:
            entry.owner.tick(now=self.now)
            entry.ledger.tick(now=self.now)
        for gate in self.gates.values():
            gate.tick(now=self.now)
        self.collect()

    def collect(self) -> None:
        """Carry out the effects that the owners and gates return."""
        for entry in self.entries:
            effects = entry.owner.collect(now=self.now)
            for worker, frame in effects.frames:
                connection = self._find(entry, worker)
                if connection is not None:
                    connection.to_agent.append(frame)
            for result in effects.results:
                self._finish(entry, result)
        for worker, gate in self.gates.items():
            gate_effects = gate.collect(now=self.now)
            for run in gate_effects.runs:
                self._start(worker, run)
            for owner, agent_frame in gate_effects.frames:
                for connection in self.connections:
                    if connection.gate is gate and connection.hello.owner == owner:
                        connection.to_entry.append(agent_frame)

    def _start(self, worker: str, run: RunTask) -> None:
        name = TASK_TEXT.format(run.owner, run.job, run.index)
        self.starts[name] += 1
        self.running[worker].append(run)
        if self.gates[worker].is_draining:
            self.late_starts.append(name)

    def _find(self, entry: ModelEntry, worker: str) -> Connection | None:
        for connection in self.connections:
            if connection.entry is entry and connection.worker == worker:
                return connection
        return None

    def _finish(self, entry: ModelEntry, result: JobResult) -> None:
        entry.submission_handler.finish(now=self.now, result=result)
        for submitted in self.submitted:
            if submitted.entry is entry and submitted.job == result.job:
                self._record_received(submitted, result)

    def _record_received(self, submitted: Submitted, result: JobResult) -> None:
        outcome = "complete" if result.is_complete else "failed"
        answers = tuple(bytes(answer) for answer in result.answers)
        submitted.received.append((outcome, result.run, answers))

    # Checks

    def count_starts(self, submitted: Submitted) -> int:
        """Return the number of task starts of a submission."""
        if submitted.job is None:
            return 0
        prefix = f"{submitted.entry.owner.incarnation}/{submitted.job}/"
        return sum(count for name, count in self.starts.items() if name.startswith(prefix))
