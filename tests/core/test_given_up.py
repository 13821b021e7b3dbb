"""An owner and a gate that reconnect after the owner has given up the worker."""

from __future__ import annotations

import random

import msgspec
import testtools

from dalemast.core.configuration import (
    Account,
    Configuration,
    ConfigurationHolder,
    Endpoint,
    Service,
)
from dalemast.core.dispatch import JobRequest, Owner, OwnerPolicy
from dalemast.core.gate import Gate, RunTask, TaskOutcome
from dalemast.core.gate.base import OutcomeKind

ENDPOINT = Endpoint(
    name="e", worker="w", data_centre="d", agent="127.0.0.1:1", services=("s",), slots=1
)


class GivenUpTests(testtools.TestCase):
    """An owner that gave up a worker restarts its frame numbers, so the agent must reset too.

    Otherwise the agent would drop the new frames as duplicates and refuse the new link as outdated.
    """

    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.version = 0
        self.configuration = ConfigurationHolder()
        self.owner = Owner(
            incarnation="o",
            entry="entry",
            configuration=self.configuration,
            policy=OwnerPolicy(admission="open", queue_limit=2),
            rng=random.Random(1),
            now=self.now,
        )
        self.configure(ENDPOINT)
        self.gate = Gate(worker="w", incarnation="g", slots=1, queue_limit=2)
        self.connection = 0
        self.assertTrue(self.link())

    def configure(self, *endpoints: Endpoint) -> None:
        self.version += 1
        self.configuration.offer(
            Configuration(
                version=self.version,
                accounts=(Account(name="a"),),
                services=(Service(name="s"),),
                endpoints=endpoints,
            )
        )
        self.owner.apply_configuration()

    def link(self) -> bool:
        """Connect; return whether the agent accepted the link."""
        hello = self.owner.make_hello("e")
        assert hello is not None
        opened = self.gate.open_link(now=self.now, hello=hello)
        if opened is None:
            return False
        self.connection = hello.connection
        answer, frames = opened
        self.owner.open_link(now=self.now, worker="e", hello=answer)
        for frame in frames:
            self.owner.receive(now=self.now, worker="e", frame=frame)
        return True

    def unlink(self) -> None:
        """Break the connection."""
        self.owner.close_link(worker="e")
        self.gate.close_link(now=self.now, owner="o", connection=self.connection)

    def submit(self) -> list[RunTask]:
        """Submit a job of one task; return the tasks that the agent starts."""
        request = JobRequest(
            account="a",
            service="s",
            selector="",
            deadline_s=10.0,
            is_repeatable=False,
            payloads=(msgspec.Raw(b"1"),),
            size_bytes=10,
        )
        self.owner.submit(now=self.now, request=request)
        return self.exchange()

    def exchange(self) -> list[RunTask]:
        """Deliver due frames in both directions; return the tasks that the agent starts."""
        runs: list[RunTask] = []
        for _ in range(3):
            for _, frame in self.owner.collect(now=self.now).frames:
                self.gate.receive(now=self.now, owner="o", frame=frame)
            effects = self.gate.collect(now=self.now)
            runs += effects.runs
            for _, answer in effects.frames:
                self.owner.receive(now=self.now, worker="e", frame=answer)
        return runs

    def end(self, run: RunTask) -> None:
        """Complete a run successfully."""
        outcome = TaskOutcome(owner="o", job=run.job, index=run.index, kind=OutcomeKind.ANSWERED)
        self.gate.complete(now=self.now, outcome=outcome)
        self.exchange()

    def test_a_worker_that_was_given_up_accepts_tasks_after_reconnecting(self) -> None:
        (first,) = self.submit()
        self.unlink()
        self.owner.lose_worker(worker="e")
        self.assertTrue(self.link())
        self.end(first)
        (second,) = self.submit()
        self.assertNotEqual(first.job, second.job)
        self.end(second)
        self.assertEqual((0, 0), (self.owner.open_jobs, self.gate.running))

    def test_a_task_queued_when_the_worker_was_given_up_does_not_start(self) -> None:
        """Its job has ended, and its caller was told that it may have run."""
        (first,) = self.submit()
        self.assertEqual([], self.submit())
        self.assertEqual(1, self.gate.queued)
        self.unlink()
        self.owner.lose_worker(worker="e")
        self.assertTrue(self.link())
        self.assertEqual(0, self.gate.queued)
        self.end(first)
        self.assertEqual(1, self.gate.started)

    def test_an_endpoint_that_was_removed_accepts_tasks_once_it_is_added_again(self) -> None:
        (first,) = self.submit()
        self.end(first)
        self.unlink()
        self.configure()
        self.configure(ENDPOINT)
        self.assertTrue(self.link())
        (second,) = self.submit()
        self.end(second)
        self.assertEqual(0, self.owner.open_jobs)
