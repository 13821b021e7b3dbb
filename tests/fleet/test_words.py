"""What an entry's frames say of its words: when they were said, and in which order."""

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
ASIDE_S = 0.02
"""Long enough for a difference to show on any clock."""


class FrameTests(AsyncTestCase):
    def test_a_frame_is_as_old_as_the_entrys_last_check_that_it_ran_on(self) -> None:
        """It may have stood still between a decision and the sending of what follows from it."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                entry = fleet.entries[0]
                time.sleep(ASIDE_S)
                said = entry._agents._make_sent_at()
                self.assertIsInstance(said, SentAt)
                self.assertEqual(int(entry._pauses.checked_at * 1000), said.at_ms)
                self.assertLessEqual(said.at_ms, (clock.monotonic() - ASIDE_S) * 1000)

        self.run_async(run())

    def test_an_entry_checks_whether_it_stood_still_before_each_frame(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agents = fleet.entries[0]._agents
                (session,) = agents._sessions.values()
                with mock.patch.object(agents, "_check_pause") as check:
                    session.receive([])
                check.assert_called_once()

        self.run_async(run())

    def test_an_agent_that_stood_still_drops_its_links(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agent = fleet.agents[0]
                (session,) = agent._owners._sessions.values()
                agent._recover_from_pause()
                self.assertFalse(session.link.is_open)
                await wait_until(lambda: len(agent._owners) == 1, "a link to be open again")

        self.run_async(run())


class OrderTests(AsyncTestCase):
    """Between the stops and the starts an entry says that it has compared an agent's runs.

    SentAt before the stops, it would keep alive what it stops; said after the starts, they would be
    refused.
    """

    def test_stops_come_first_and_starts_last(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agents = fleet.entries[0]._agents
                (session,) = agents._sessions.values()
                news = make_news(session.worker, JOB.format(1))
                sent: list[Any] = []
                agents.handle_message(session, WorkerReport("", "", 0, 0, 0, ()))
                job = asyncio.ensure_future(fleet.submit(JOB.format(2), text=make_text(0.1)))
                waiting = fleet.entries[0]._scheduler.open_jobs
                await wait_until(lambda: bool(waiting), "the job to wait")
                with mock.patch.object(session.link, "send", side_effect=sent.append):
                    agents.handle_message(session, news)
                kinds = [type(message) for message in sent]
                self.assertLess(kinds.index(Stop), kinds.index(Reconciled))
                self.assertNotIn(Starts, kinds[: kinds.index(Reconciled)])
                self.assertEqual(news.number, sent[kinds.index(Reconciled)].number)
                job.cancel()

        self.run_async(run())


def make_news(worker: str, job_id: str) -> WorkerReport:
    """Return the news of a worker on which a run goes on that the entry does not know."""
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
