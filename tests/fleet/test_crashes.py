"""Tests of reports on tasks that crash their workers, over real links."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from dalemast.core.scheduling import CrashedTask, EndReason
from dalemast.core.supervision import ReportEnd, RunId
from dalemast.core.workloads import TaskKey
from dalemast.fleet.agent.owners import OwnerLinks
from dalemast.fleet.crashes import (
    MAX_CRASHES,
    CrashMemory,
    make_withdrawal,
    make_worker_crashed,
    read_crashed_tasks,
)
from dalemast.fleet.entry.agents import AgentLinks
from dalemast.fleet.frames import (
    AgentMessage,
    PeerMessage,
    WorkerCrashed,
    decode_frame,
)
from tests.base import AsyncTestCase
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000e1"
SOUND_JOB = "00000000000000e2"
CRASH_S = 0.05


class CrashingTaskTests(AsyncTestCase):
    async def submit(self, fleet: LocalFleet, entry: int) -> str:
        """Submit a job whose task crashes its worker, and return its final state."""
        text = make_text(1.0, crash_s=CRASH_S)
        response = await fleet.submit_with_retries(JOB, entry=entry, text=text)
        self.assertEqual(200, response.status)
        return str(response.decode(dict[str, str])["state"])

    def test_a_job_that_crashes_its_workers_fails(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=2, workers=5) as fleet:
                sound = asyncio.create_task(
                    fleet.submit_with_retries(SOUND_JOB, text=make_text(1.0), count=4)
                )
                self.assertEqual("failed", await self.submit(fleet, entry=0))
                starts = len(fleet.get_started(JOB))
                self.assertLessEqual(starts, 3)
                # The other entry knows of the crashes and starts nothing.
                self.assertEqual("failed", await self.submit(fleet, entry=1))
                self.assertEqual(starts, len(fleet.get_started(JOB)))
                self.assertEqual("succeeded", (await sound).decode(dict[str, str])["state"])

        self.run_async(run())


class CrashMemoryTests(unittest.TestCase):
    def make_message(self, incarnation: str, *, is_observed: bool = True) -> WorkerCrashed:
        row = CrashedTask(job_id=JOB, task=TaskKey(0, 1), age_s=0.0312)
        return make_worker_crashed(incarnation, [row], is_observed=is_observed)

    def test_a_message_decodes_to_the_tasks_it_was_made_of(self) -> None:
        rows = [
            CrashedTask(job_id=JOB, task=TaskKey(0, 1), age_s=0.25),
            CrashedTask(job_id=JOB, task=TaskKey(2, 0), age_s=None),
        ]
        self.assertEqual(rows, read_crashed_tasks(make_worker_crashed("i-1", rows)))

    def test_entries_receive_it_from_agents_and_from_peers(self) -> None:
        for kind in (AgentMessage, PeerMessage):
            frame = '[["Z","i-1",[["00000000000000e1",0,1,0.03]],true]]'
            (message,) = decode_frame(frame, kind)
            self.assertEqual("i-1", message.worker)

    def test_the_oldest_crash_is_dropped_when_there_are_too_many(self) -> None:
        memory = CrashMemory()
        for number in range(2 * MAX_CRASHES):
            memory.add(self.make_message(f"i-{number}"))
        self.assertEqual(MAX_CRASHES, len(memory.crashes))
        self.assertEqual(f"i-{MAX_CRASHES}", memory.crashes[0].worker)

    def test_an_unresponsive_incarnation_that_is_back_is_removed(self) -> None:
        memory = CrashMemory()
        memory.add(self.make_message("i-1", is_observed=False))
        memory.record_alive("i-1")
        self.assertEqual((), memory.crashes)

    def test_an_unresponsive_incarnation_that_is_replaced_stays_unobserved(self) -> None:
        """Its tasks may have ended before it was replaced."""
        memory = CrashMemory()
        memory.add(self.make_message("i-1", is_observed=False))
        memory.record_alive("i-2")
        self.assertEqual([False], [crashed.is_observed for crashed in memory.crashes])


def make_agent_links(scheduler: mock.Mock, notify_peers: mock.Mock) -> AgentLinks:
    links = AgentLinks(
        member=mock.Mock(),
        book=mock.Mock(),
        scheduler=scheduler,
        evacuations=mock.Mock(),
        times=mock.Mock(),
        apply=mock.Mock(),
        get_checked_at=mock.Mock(),
        check_pause=mock.Mock(),
        record_run_end=mock.Mock(),
        notify_peers=notify_peers,
    )
    links.set_routes(mock.Mock())
    return links


class LostOwnerTests(unittest.TestCase):
    """An agent tells all entries of a run of a lost owner that has ended without a crash.

    Guards against a sound task that is failed for runs which its lost owners had announced.
    """

    def end_run(self, *, is_confirmed: bool) -> list[WorkerCrashed]:
        """End a run whose owner has no link; return the messages to another entry."""
        with mock.patch("dalemast.fleet.agent.owners.OwnerDialling"):
            links = OwnerLinks(
                supervisor=mock.Mock(incarnation=mock.Mock(id="i-1")),
                **dict.fromkeys(
                    (
                        "name",
                        "incarnation",
                        "data_centre",
                        "book",
                        "bounds",
                        "evacuations",
                        "times",
                        "policy",
                        "metrics",
                        "start",
                        "stop",
                        "handle_capacity_request",
                        "check_pause",
                    ),
                    mock.Mock(),
                ),
            )
        other = mock.Mock()
        links._sessions["other"] = other
        report = ReportEnd(
            owner="lost",
            run_id=RunId(JOB, TaskKey(0, 1), 3),
            reason=EndReason.STOPPED,
            run_s=0.1,
            is_confirmed=is_confirmed,
        )
        links.report_end(report)
        return [call.args[0] for call in other.link.send.call_args_list]

    def test_a_confirmed_end_is_withdrawn(self) -> None:
        (message,) = self.end_run(is_confirmed=True)
        self.assertTrue(message.is_withdrawn)
        self.assertEqual(("i-1", [3]), (message.worker, [row.run for row in message.tasks]))

    def test_an_end_with_its_worker_is_not_withdrawn(self) -> None:
        self.assertEqual([], self.end_run(is_confirmed=False))


class OwnerNotificationTests(unittest.TestCase):
    def test_a_withdrawal_by_an_agent_is_not_relayed_as_a_crash(self) -> None:
        scheduler = mock.Mock(open_jobs={JOB: None})
        links = make_agent_links(scheduler, notify_peers := mock.Mock())
        row = CrashedTask(job_id=JOB, task=TaskKey(0, 0), age_s=None, run=3)
        links.handle_message(mock.Mock(), make_withdrawal("i-1", row))
        notify_peers.assert_not_called()
        scheduler.note_crash.assert_not_called()
        scheduler.withdraw_crash.assert_called_once_with("i-1", [row])

    def test_an_owner_notifies_its_peers_of_its_own_tasks(self) -> None:
        scheduler = mock.Mock(open_jobs={JOB: None})
        notify_peers = mock.Mock()
        links = make_agent_links(scheduler, notify_peers)
        rows = [
            CrashedTask(job_id=job_id, task=TaskKey(0, 0), age_s=0.25) for job_id in (JOB, "other")
        ]
        links.handle_message(mock.Mock(), make_worker_crashed("i-1", rows))
        notify_peers.assert_called_once_with(make_worker_crashed("i-1", rows[:1]))
        scheduler.note_crash.assert_called_once_with(
            "i-1", rows, now=mock.ANY, is_observed=True, is_relayed=False, is_lasting=False
        )
