"""What entries tell one another of waiting work, and agents of coming room, over real links."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any
from unittest import mock

from dalemast import clock
from dalemast.core.scheduling.demand import MOST_ROWS
from dalemast.fleet.entry import FleetEntryProcess
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import DemandReport, DemandRow
from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import SERVICE, LocalFleet, make_text, settle
from tests.fleet.test_silent import ProxiedFleet

JOB = "00000000000000d{:x}"
SHARING = {"load": LoadSettings(shares_demand=True)}
LONG = {"estimate_ms": 20_000}
"""Declared as long, so that a job that waits can be on time for some seconds."""


def get_heard(entry: FleetEntryProcess, other: str) -> list[dict[str, Any]]:
    """Return what an entry's dump shows of another's waiting work."""
    heard: dict[str, Any] = entry.get_state()["demand"]["heard"]  # type: ignore[index]
    return heard.get(other, {}).get("words", [])


def get_ahead(entry: FleetEntryProcess) -> float:
    return entry._scheduler.demand.get_ahead(SERVICE, 0, clock.monotonic())


def get_told(entry: FleetEntryProcess) -> int:
    return entry._metrics.get_count("demand.told")


def get_steps(entry: FleetEntryProcess) -> list[tuple[float, int]]:
    """Return the room that an entry's dump shows as coming on its only worker."""
    (worker,) = entry.get_state()["workers"].values()  # type: ignore[attr-defined]
    return worker["coming"]


class SharingFleet(contextlib.AsyncExitStack):
    """Two entries and one worker that long work holds, while jobs wait at both entries."""

    def __init__(self, fleet: LocalFleet) -> None:
        super().__init__()
        self._fleet = fleet
        self._jobs: list[asyncio.Task[Any]] = []

    async def begin(self, *, owner: int = 0) -> None:
        """Fill the worker with a job of one entry, and let another wait at each."""
        self.submit(JOB.format(1), entry=owner, text=make_text(60.0))
        await wait_until(lambda: bool(self._fleet.get_running(JOB.format(1))), "the room to go")
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
    def test_entries_see_each_others_waiting_work_and_forget_it_on_loss(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                self.assertEqual([0.0, 0.0], [get_ahead(entry) for entry in fleet.entries])
                await load.begin()
                await wait_until(lambda: bool(get_heard(first, "entry-1")), "the second's word")
                await wait_until(lambda: bool(get_heard(second, "entry-0")), "the first's word")
                (word,) = get_heard(first, "entry-1")
                self.assertEqual((SERVICE, 1), (word["service"], word["jobs"]))
                self.assertGreater(get_ahead(first), 0.0)
                await second.close()
                await wait_until(lambda: not get_heard(first, "entry-1"), "its word to go")
                self.assertEqual(0.0, get_ahead(first))

        self.run_async(run())

    def test_a_word_lasts_while_its_work_waits_and_ends_with_it(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(lambda: get_told(second) > 5, "the second's word to be renewed")
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's word")
                second.handle_disconnect(JOB.format(3))
                await wait_until(lambda: not get_heard(first, "entry-1"), "its end to be told")
                told = get_told(second)
                await settle()
                self.assertEqual(told, get_told(second))

        self.run_async(run())

    def test_a_word_that_is_not_renewed_fades_though_its_link_works(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's word")
                with mock.patch.object(second._demand, "tick"):
                    await wait_until(lambda: not get_heard(first, "entry-1"), "its word to fade")
                self.assertEqual(["entry-1"], first._peers.peers)
                self.assertGreater(first._metrics.get_count("demand.faded"), 0)
                await wait_until(lambda: get_ahead(first) > 0.0, "its word to be renewed")

        self.run_async(run())

    def test_a_frozen_peer_is_forgotten_with_its_links(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                await load.begin()
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's word")
                with mock.patch.object(second._peers, "tick"):
                    await wait_until(lambda: not get_heard(first, "entry-1"), "its word to go")
                    self.assertEqual(0.0, get_ahead(first))

        self.run_async(run())

    def test_nothing_is_told_unless_it_is_asked_for(self) -> None:
        async def run() -> None:
            async with (
                LocalFleet(entries=2, workers=1, cpu=1000) as fleet,
                SharingFleet(fleet) as load,
            ):
                await load.begin()
                await settle()
                for entry in fleet.entries:
                    self.assertEqual(0, get_told(entry))
                    self.assertEqual([], get_steps(entry))
                self.assertEqual(0, fleet.agents[0]._metrics.get_count("room.coming-told"))

        self.run_async(run())

    def test_a_link_that_fell_silent_keeps_no_word_alive_and_its_next_one_tells_anew(self) -> None:
        async def run(fleet: LocalFleet, swallow: Callable[[str], None]) -> None:
            async with SharingFleet(fleet) as load:
                first = fleet.entries[0]
                # The silence stops what the first entry runs, and the room must stay held.
                await load.begin(owner=1)
                await wait_until(lambda: get_ahead(first) > 0.0, "the second's word")
                before = first._peers._accepted[fleet.entries[1]._member.incarnation]
                swallow(fleet.entry_settings[0].links.address)
                await wait_until(lambda: get_ahead(first) == 0.0, "its word to go")
                await wait_until(lambda: get_ahead(first) > 0.0, "its word by a new link")
                self.assertNotIn(before, first._peers._sessions)

        async def play() -> None:
            shape = {"entry_settings": SHARING, "agent_settings": SHARING}
            async with ProxiedFleet(entries=2, workers=1, cpu=1000, **shape) as (fleet, swallow):
                await run(fleet, swallow)

        self.run_async(play())

    def test_words_that_are_absurd_or_from_a_link_that_is_replaced_are_not_used(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet:
                first, second = fleet.entries
                accepted = first._peers._accepted[second._member.incarnation]
                row = DemandRow(service=SERVICE, priority=0, jobs=1, core_s=5.0)
                overtaken = PeerSession(link=accepted.link, links=first._peers, is_dialled=False)
                first._peers.take(overtaken, DemandReport(rows=(row,)))
                overtaken.member = accepted.member
                first._peers.take(overtaken, DemandReport(rows=(row,)))
                self.assertEqual(0.0, get_ahead(first))
                first._peers.take(accepted, DemandReport(rows=(row,)))
                self.assertEqual(5.0, get_ahead(first))
                many = tuple(
                    DemandRow(service=f"s{number}", priority=0, jobs=1, core_s=1.0)
                    for number in range(MOST_ROWS + 1)
                )
                huge = DemandRow(service=SERVICE, priority=0, jobs=1, core_s=1e300)
                for rows in (many, (huge,), (row, row)):
                    first._peers.take(accepted, DemandReport(rows=rows))
                    self.assertEqual(0.0, get_ahead(first))
                self.assertEqual(3, first._metrics.get_count("demand.absurd"))

        self.run_async(run())


class ComingRoomTests(AsyncTestCase):
    def test_entries_that_lack_room_hear_when_some_comes_free(self) -> None:
        async def run() -> None:
            async with make_fleet() as fleet, SharingFleet(fleet) as load:
                first, second = fleet.entries
                load.submit(JOB.format(1), entry=0, text=make_text(60.0))
                await wait_until(lambda: bool(fleet.get_running(JOB.format(1))), "the room to go")
                await settle()
                self.assertEqual([], get_steps(second))
                load.submit(JOB.format(3), entry=1)
                await wait_until(lambda: bool(get_steps(second)), "the room that comes free")
                ((in_s, cpu),) = get_steps(second)
                self.assertEqual(1000, cpu)
                self.assertGreater(in_s, 1.0)
                self.assertEqual([], get_steps(first))
                fleet.workers[0].state = "draining"
                await wait_until(lambda: not get_steps(second), "a leaving worker to have none")

        self.run_async(run())
