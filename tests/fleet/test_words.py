"""The send time in an entry's frames, and the order of messages in them."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest import mock

from dalemast import clock
from dalemast.core.workloads import TaskKey
from dalemast.fleet.frames import (
    Reconciled,
    RunRow,
    SentAt,
    Starts,
    Stop,
    WorkerReport,
)
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000e{:x}"
BLOCKED_S = 0.02
"""How long the event loop is blocked; long enough to be visible on any clock."""


class FrameTests(AsyncTestCase):
    def test_the_send_time_is_that_of_the_last_pause_check(self) -> None:
        """The entry may have been paused between a decision and the sending of its messages."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                entry = fleet.entries[0]
                time.sleep(BLOCKED_S)
                sent_at = entry._agents._make_sent_at()
                self.assertIsInstance(sent_at, SentAt)
                self.assertEqual(int(entry._pauses.checked_at * 1000), sent_at.at_ms)
                self.assertLessEqual(sent_at.at_ms, (clock.monotonic() - BLOCKED_S) * 1000)

        self.run_async(run())

    def test_an_entry_checks_for_a_pause_before_each_frame(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agents = fleet.entries[0]._agents
                (session,) = agents._sessions.values()
                with mock.patch.object(agents, "_check_pause") as check:
                    session.receive([])
                check.assert_called_once()

        self.run_async(run())

    def test_an_agent_resets_its_links_after_a_pause(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agent = fleet.agents[0]
                (session,) = agent._owners._sessions.values()
                agent._recover_from_pause()
                self.assertFalse(session.link.is_open)
                await wait_until(lambda: len(agent._owners) == 1, "a link to be open again")

        self.run_async(run())


class OrderTests(AsyncTestCase):
    """An entry sends ``Reconciled`` between the stops and the starts.

    Before the stops it would keep the stopped runs alive; after the starts these would be refused.
    """

    def test_stops_come_first_and_starts_last(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agents = fleet.entries[0]._agents
                (session,) = agents._sessions.values()
                report = make_report(session.worker, JOB.format(1))
                sent: list[Any] = []
                agents.handle_message(session, WorkerReport("", "", 0, 0, 0, ()))
                job = asyncio.ensure_future(fleet.submit(JOB.format(2), text=make_text(0.1)))
                waiting = fleet.entries[0]._scheduler.open_jobs
                await wait_until(lambda: bool(waiting), "the job to wait")
                with mock.patch.object(session.link, "send", side_effect=sent.append):
                    agents.handle_message(session, report)
                kinds = [type(message) for message in sent]
                self.assertLess(kinds.index(Stop), kinds.index(Reconciled))
                self.assertNotIn(Starts, kinds[: kinds.index(Reconciled)])
                self.assertEqual(report.number, sent[kinds.index(Reconciled)].number)
                job.cancel()

        self.run_async(run())


def make_report(worker: str, job_id: str) -> WorkerReport:
    """Return the report of a worker with a run that the entry does not know."""
    key = TaskKey(0, 0)
    run = RunRow(job=job_id, step=key.step, position=key.position, run=1)
    return WorkerReport(
        id=worker,
        service="floor",
        cpu=4000,
        memory_mb=65536,
        gpu=0,
        labels=("a", "r1"),
        runs=(run,),
        number=7,
    )
