"""Incarnations of one worker whose reports arrive late and in any order."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from dalemast.core.supervision.base import WorkerIncarnation
from dalemast.core.supervision.incarnations import MAX_ENDED, WorkerIncarnations
from dalemast.core.workloads import Resources

LIVES = 4


def make_incarnation(number: int) -> WorkerIncarnation:
    return WorkerIncarnation(
        id=f"i-{number}",
        service="floor",
        data_centre="austin",
        capacity=Resources(cpu=4000, memory_mb=1000),
        labels=frozenset(),
        is_leaving=False,
    )


class Worker:
    """A worker with successive incarnations, and an agent that calls it and receives reports."""

    def __init__(self) -> None:
        self.lives = WorkerIncarnations()
        self.number = 1
        self._clock = itertools.count(1)

    def report(self, number: int) -> None:
        """Deliver a report of the running incarnation or of an earlier one."""
        before = self.lives.current
        self.lives.register(make_incarnation(min(number, self.number)), now=next(self._clock))
        if before is not None:
            assert self.lives.current == before, "a report alone replaced an incarnation"

    def call(self) -> None:
        """Let the agent call its current incarnation, and the running one answer."""
        current = self.lives.current
        asked_at = next(self._clock)
        if current is None:
            return
        if current.id == f"i-{self.number}":
            self.lives.confirm(asked_at=asked_at)
            assert self.lives.claimant is None
        else:
            self.lives.lose(is_over=True)

    def be_silent(self) -> None:
        """Let the agent give up the incarnation since nothing answers."""
        self.lives.lose(is_over=False)

    def crash(self) -> None:
        """Start the next incarnation."""
        self.number = min(self.number + 1, LIVES)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("report"), st.integers(1, LIVES)),
        st.tuples(st.sampled_from(["call", "silent", "crash"]), st.just(0)),
    ),
    max_size=40,
)


class IncarnationProperties(TestCase):
    @given(STEPS)
    def test_the_life_that_is_there_always_gets_through(self, steps: list[tuple[str, int]]) -> None:
        worker = Worker()
        for kind, number in steps:
            match kind:
                case "report":
                    worker.report(number)
                case "call":
                    worker.call()
                case "silent":
                    worker.be_silent()
                case "crash":
                    worker.crash()
        for _ in range(LIVES + 1):
            worker.report(LIVES)
            worker.call()
        assert worker.lives.current is not None
        assert worker.lives.current.id == f"i-{worker.number}"


class BoundTests(TestCase):
    def test_the_number_of_remembered_incarnations_is_bounded(self) -> None:
        """Another process may report and deregister ever new ids."""
        incarnations = WorkerIncarnations()
        for number in range(3 * MAX_ENDED):
            incarnations.mark_ended(f"i-{number}")
        self.assertEqual(MAX_ENDED, len(incarnations._ended))
