"""The guarantees to callers and operators, under random interleavings of events and faults.

Each invariant checks one guarantee. ``make soak`` runs the same state machine with new seeds.
"""

from __future__ import annotations

import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from dalemast.core.gate.base import OutcomeKind
from dalemast.core.verdicts import Run
from tests.core.model import Model

ENTRIES = st.integers(0, 1)
WORKERS = st.sampled_from(["w0", "w1", "w2"])
ANY = st.integers(0, 50)
SOAK_ROUND = 200


class PromisesMachine(RuleBasedStateMachine):
    """A state machine in which hypothesis draws the order of calls, deliveries and faults."""

    def __init__(self) -> None:
        super().__init__()
        self.model = Model()
        self.versions = {entry.name: 0 for entry in self.model.entries}

    # Callers

    @rule(
        entry=ENTRIES,
        tasks=st.integers(1, 6),
        account=st.sampled_from(["a", "b"]),
        deadline_s=st.sampled_from([0.2, 5.0, 30.0]),
    )
    def submit(self, entry: int, tasks: int, account: str, deadline_s: float) -> None:
        self.model.submit(entry, tasks, account, deadline_s)

    @rule(which=ANY)
    def resubmit(self, which: int) -> None:
        if self.model.submitted:
            self.model.send(self.model.submitted[which % len(self.model.submitted)])

    @rule(which=ANY)
    def cancel(self, which: int) -> None:
        if self.model.submitted:
            self.model.cancel(self.model.submitted[which % len(self.model.submitted)])

    # Links

    @rule(which=ANY, is_duplicated=st.booleans())
    def deliver_to_agent(self, which: int, is_duplicated: bool) -> None:
        loaded = [link for link in self.model.connections if link.to_agent]
        if loaded:
            connection = loaded[which % len(loaded)]
            self.model.deliver_to_agent(connection, is_duplicated=is_duplicated)

    @rule(which=ANY)
    def deliver_to_entry(self, which: int) -> None:
        loaded = [link for link in self.model.connections if link.to_entry]
        if loaded:
            self.model.deliver_to_entry(loaded[which % len(loaded)])

    @rule()
    def deliver_everything(self) -> None:
        for _ in range(3):
            for connection in list(self.model.connections):
                while connection.to_agent:
                    self.model.deliver_to_agent(connection)
                while connection.to_entry:
                    self.model.deliver_to_entry(connection)

    @rule(which=ANY)
    def deliver_late(self, which: int) -> None:
        self.model.deliver_old(which)

    @rule(which=ANY)
    def cut(self, which: int) -> None:
        if self.model.connections:
            self.model.cut(self.model.connections[which % len(self.model.connections)])

    @rule(entry=ENTRIES, worker=WORKERS)
    def connect(self, entry: int, worker: str) -> None:
        self.model.connect(self.model.entries[entry], worker)

    @rule(which=ANY, reaches_agent=st.booleans())
    def break_while_sending(self, which: int, reaches_agent: bool) -> None:
        """Cut a link whose frame is under way, before or after it arrives, and open a new one."""
        loaded = [link for link in self.model.connections if link.to_agent]
        if loaded:
            link = loaded[which % len(loaded)]
            if reaches_agent:
                self.model.deliver_to_agent(link)
            self.model.cut(link)
            self.model.connect(link.entry, link.worker)

    # Endpoints

    @rule(which=ANY, kind=st.sampled_from(OutcomeKind))
    def complete(self, which: int, kind: OutcomeKind) -> None:
        busy = [worker for worker, runs in self.model.running.items() if runs]
        if busy:
            self.model.complete(busy[which % len(busy)], which, kind)

    @rule(worker=WORKERS)
    def answer_everything(self, worker: str) -> None:
        while self.model.running[worker]:
            self.model.complete(worker, 0, OutcomeKind.ANSWERED)

    # Faults and operators

    @rule(worker=WORKERS)
    def crash_agent(self, worker: str) -> None:
        self.model.crash_agent(worker)

    @rule(entry=ENTRIES)
    def crash_entry(self, entry: int) -> None:
        self.model.crash_entry(entry)

    @rule(entry=ENTRIES, worker=WORKERS)
    def give_worker_up(self, entry: int, worker: str) -> None:
        self.model.entries[entry].owner.lose_worker(worker=worker)
        self.model.collect()

    @rule(worker=WORKERS)
    def drain_agent(self, worker: str) -> None:
        self.model.gates[worker].start_draining(now=self.model.now)
        self.model.collect()

    @rule(worker=WORKERS, is_leaving=st.booleans())
    def change_configuration(self, worker: str, is_leaving: bool) -> None:
        self.model.set_leaving(worker, is_leaving=is_leaving)

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0, 40.0, 1000.0]))
    def pass_time(self, seconds: float) -> None:
        self.model.advance(seconds)

    # Invariants

    @invariant()
    def no_task_starts_twice(self) -> None:
        twice = {name: count for name, count in self.model.starts.items() if count > 1}
        assert not twice, twice

    @invariant()
    def answer_is_complete_or_failed(self) -> None:
        for submitted in self.model.submitted:
            for outcome, _, answers in submitted.received:
                assert len(answers) == (submitted.tasks if outcome == "complete" else 0)

    @invariant()
    def caller_gets_its_own_whole_answer(self) -> None:
        for submitted in self.model.submitted:
            wanted = tuple(b'"%d/%d"' % (submitted.job or 0, n) for n in range(submitted.tasks))
            complete = {
                answers for outcome, _, answers in submitted.received if outcome == "complete"
            }
            assert complete <= {wanted}, (complete, wanted)

    @invariant()
    def caller_gets_the_same_outcome_each_time(self) -> None:
        for submitted in self.model.submitted:
            outcomes = {received[0] for received in submitted.received} - {"forgotten"}
            assert len(outcomes) <= 1, submitted.received

    @invariant()
    def not_run_means_no_task_started(self) -> None:
        for submitted in self.model.submitted:
            if any(run is Run.NOT_RUN for _, run, _ in submitted.received):
                assert self.model.count_starts(submitted) == 0

    @invariant()
    def ran_means_a_task_started(self) -> None:
        for submitted in self.model.submitted:
            if any(run is Run.RAN for _, run, _ in submitted.received):
                assert self.model.count_starts(submitted) > 0

    @invariant()
    def draining_endpoint_starts_nothing(self) -> None:
        assert not self.model.late_starts

    @invariant()
    def configuration_never_reverts(self) -> None:
        for entry in self.model.entries:
            assert entry.holder.version >= self.versions[entry.name]
            self.versions[entry.name] = entry.holder.version

    def teardown(self) -> None:
        """After the faults end, every submission to a live entry must get an outcome."""
        for _ in range(40):
            for entry in self.model.entries:
                for worker in self.model.workers:
                    self.model.connect(entry, worker)
            self.deliver_everything()
            for worker in self.model.workers:
                self.answer_everything(worker)
            self.deliver_everything()
            self.model.advance(5.0)
        for submitted in self.model.submitted:
            if submitted.entry in self.model.entries:
                assert submitted.received, "a job has no answer"
        self.no_task_starts_twice()
        self.not_run_means_no_task_started()
        for gate in self.model.gates.values():
            assert gate.running == 0


def test_promises_hold_under_random_interleavings() -> None:
    run_state_machine_as_test(
        PromisesMachine, settings=settings(max_examples=200, stateful_step_count=60)
    )


def test_soak_with_fresh_seeds(pytestconfig: pytest.Config) -> None:
    seconds = pytestconfig.getoption("--soak")
    give_up_at = time.monotonic() + seconds
    rounds = 0
    while rounds == 0 or time.monotonic() < give_up_at:
        examples = SOAK_ROUND if seconds else 2
        run_state_machine_as_test(
            PromisesMachine, settings=settings(max_examples=examples, stateful_step_count=80)
        )
        rounds += 1
    print(f"{rounds} rounds of {SOAK_ROUND} sequences")
