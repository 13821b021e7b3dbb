"""Tests of reports of queued demand and of expected capacity releases, over real links."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any
from unittest import mock

from dalemast import clock
from dalemast.core.scheduling.demand import MAX_ROWS
from dalemast.fleet.entry import FleetEntryProcess
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import DemandReport, DemandRow
from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    SERVICE,
    LocalFleet,
    make_text,
    settle,
)
from tests.fleet.test_silent import ProxiedFleet

JOB = "00000000000000d{:x}"
SHARING = {"load": LoadSettings(shares_demand=True)}
LONG = {"estimate_ms": 20_000}
"""A long declared estimate, which lets a queued job be on time for some seconds."""


def get_reported_demand(entry: FleetEntryProcess, other: str) -> list[dict[str, Any]]:
    """Return the queued work of another entry that an entry's state shows."""
    heard: dict[str, Any] = entry.get_state()["demand"]["heard"]  # type: ignore[index]
    return heard.get(other, {}).get("words", [])


def get_ahead(entry: FleetEntryProcess) -> float:
    return entry._scheduler.demand.get_core_s_ahead(SERVICE, 0, clock.monotonic())


def get_sent_count(entry: FleetEntryProcess) -> int:
    return entry._metrics.get_count("demand.told")


def get_capacity_releases(entry: FleetEntryProcess) -> list[tuple[float, int]]:
    """Return the capacity releases that an entry's state shows for its only worker."""
    (worker,) = entry.get_state()["workers"].values()  # type: ignore[attr-defined]
    return worker["coming"]


class SharingFleet(contextlib.AsyncExitStack):
    """Two entries with queued jobs, and one worker that a long job occupies."""

    def __init__(self, fleet: LocalFleet) -> None:
        super().__init__()
        self._fleet = fleet
        self._jobs: list[asyncio.Task[Any]] = []

    async def begin(self, *, owner: int = 0) -> None:
        """Fill the worker with a job of one entry, and queue another job at each."""
        self.submit(JOB.format(1), entry=owner, text=make_text(60.0))
        await wait_until(
            lambda: bool(self._fleet.get_running(JOB.format(1))), "the worker to be full"
        )
        self.submit(JOB.format(2), entry=0)
        self.submit(JOB.format(3), entry=1)

    def submit(self, job_id: str, **job: Any) -> None:
        task = asyncio.create_task(self._fleet.submit(job_id, **job, **LONG))
        self._jobs.append(task)
        self.push_async_callback(self._end, task)

    async def _end(self, task: asyncio.Task[Any]) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def make_fleet(**settings: Any) -> LocalFleet:
    return LocalFleet(
        entries=2, workers=1, cpu=1000, entry_settings=SHARING, agent_settings=SHARING, **settings
    )


class SharedDemandTests(AsyncTestCase):
    def test_entries_know_each_others_queued_work_until_they_lose_each_other(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                self.assertEqual([0.0, 0.0], [get_ahead(entry) for entry in fleet.entries])
                await load.begin()
                await wait_until(
                    lambda: bool(get_reported_demand(first, "entry-1")), "the second's report"
                )
                await wait_until(
                    lambda: bool(get_reported_demand(second, "entry-0")), "the first's report"
                )
                (summary,) = get_reported_demand(first, "entry-1")
                self.assertEqual((SERVICE, 1), (summary["service"], summary["jobs"]))
                self.assertGreater(get_ahead(first), 0.0)
                await second.close()
                await wait_until(
                    lambda: not get_reported_demand(first, "entry-1"), "its report to be removed"
                )
                self.assertEqual(0.0, get_ahead(first))

        self.run_async(run())

    def test_a_report_is_renewed_while_work_is_queued_and_then_withdrawn(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(
                    lambda: get_sent_count(second) > 5, "the second's report to be renewed"
                )
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's report")
                second.handle_disconnect(JOB.format(3))
                await wait_until(
                    lambda: not get_reported_demand(first, "entry-1"), "its report to be withdrawn"
                )
                sent = get_sent_count(second)
                await settle()
                self.assertEqual(sent, get_sent_count(second))

        self.run_async(run())

    def test_a_report_that_is_not_renewed_expires_though_its_link_works(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's report")
                with mock.patch.object(second._demand, "tick"):
                    await wait_until(
                        lambda: not get_reported_demand(first, "entry-1"), "its report to expire"
                    )
                self.assertEqual(["entry-1"], first._peers.peers)
                self.assertGreater(first._metrics.get_count("demand.faded"), 0)
                await wait_until(lambda: get_ahead(first) > 0.0, "its report to be renewed")

        self.run_async(run())

    def test_the_report_of_a_frozen_peer_is_removed_with_its_links(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's report")
                with mock.patch.object(second._peers, "tick"):
                    await wait_until(
                        lambda: not get_reported_demand(first, "entry-1"),
                        "its report to be removed",
                    )
                    self.assertEqual(0.0, get_ahead(first))

        self.run_async(run())

    def test_no_reports_are_sent_unless_the_settings_enable_them(self) -> None:
        async def run() -> None:
            async with (
                LocalFleet(entries=2, workers=1, cpu=1000) as fleet,
                SharingFleet(fleet) as load,
            ):
                await load.begin()
                await settle()
                for entry in fleet.entries:
                    self.assertEqual(0, get_sent_count(entry))
                    self.assertEqual([], get_capacity_releases(entry))
                self.assertEqual(0, fleet.agents[0]._metrics.get_count("room.coming-told"))

        self.run_async(run())

    def test_a_report_expires_on_an_unresponsive_link_and_is_sent_again_on_the_next(self) -> None:
        async def run(fleet: LocalFleet, block: Callable[[str], None]) -> None:
            async with SharingFleet(fleet) as load:
                first = fleet.entries[0]
                # Blocking stops the first entry's runs, so the second entry's job fills the worker.
                await load.begin(owner=1)
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's report")
                before = first._peers._accepted[fleet.entries[1]._member.incarnation]
                block(fleet.entry_settings[0].links.address)
                await wait_until(lambda: get_ahead(first) == 0.0, "its report to be removed")
                await wait_until(lambda: get_ahead(first) > 0.0, "its report on a new link")
                self.assertNotIn(before, first._peers._sessions)

        async def play() -> None:
            shape = {"entry_settings": SHARING, "agent_settings": SHARING}
            async with ProxiedFleet(entries=2, workers=1, cpu=1000, **shape) as (fleet, block):
                await run(fleet, block)

        self.run_async(play())

    def test_absurd_reports_and_those_on_replaced_links_are_not_used(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                first, second = fleet.entries
                accepted = first._peers._accepted[second._member.incarnation]
                row = DemandRow(service=SERVICE, priority=0, jobs=1, core_s=5.0)
                replaced = PeerSession(link=accepted.link, links=first._peers, is_dialled=False)
                first._peers.handle_message(replaced, DemandReport(rows=(row,)))
                replaced.member = accepted.member
                first._peers.handle_message(replaced, DemandReport(rows=(row,)))
                self.assertEqual(0.0, get_ahead(first))
                first._peers.handle_message(accepted, DemandReport(rows=(row,)))
                self.assertEqual(5.0, get_ahead(first))
                many = tuple(
                    DemandRow(service=f"s{number}", priority=0, jobs=1, core_s=1.0)
                    for number in range(MAX_ROWS + 1)
                )
                huge = DemandRow(service=SERVICE, priority=0, jobs=1, core_s=1e300)
                for rows in (many, (huge,), (row, row)):
                    first._peers.handle_message(accepted, DemandReport(rows=rows))
                    self.assertEqual(0.0, get_ahead(first))
                self.assertEqual(3, first._metrics.get_count("demand.absurd"))

        self.run_async(run())


class CapacityReleaseTests(AsyncTestCase):
    def test_entries_that_lack_capacity_receive_the_expected_releases(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                load.submit(JOB.format(1), entry=0, text=make_text(60.0))
                await wait_until(
                    lambda: bool(fleet.get_running(JOB.format(1))), "the worker to be full"
                )
                await settle()
                self.assertEqual([], get_capacity_releases(second))
                load.submit(JOB.format(3), entry=1)
                await wait_until(
                    lambda: bool(get_capacity_releases(second)), "the capacity release"
                )
                ((in_s, cpu),) = get_capacity_releases(second)
                self.assertEqual(1000, cpu)
                self.assertGreater(in_s, 1.0)
                self.assertEqual([], get_capacity_releases(first))
                fleet.workers[0].state = "draining"
                await wait_until(
                    lambda: not get_capacity_releases(second),
                    "a leaving worker to have no releases",
                )

        self.run_async(run())
