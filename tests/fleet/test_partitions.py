"""Tests of what an entry may decide while other entries and agents are unreachable."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import mock

import testtools

from dalemast.core.ownership import Withheld
from dalemast.fleet.address_book import AddressBook
from dalemast.fleet.base import Member
from dalemast.fleet.entry.partitions import FORGOTTEN_AFTER_S, PartitionGuard
from dalemast.fleet.timing import FleetTimes
from dalemast.observability import Metrics
from tests.fleet.test_claims import find_id

BEAT_S = 0.2
START = 1000.0
NAMES = ("a", "b", "c")


def make_member(name: str) -> Member:
    number = NAMES.index(name) + 1
    return Member(
        name=name,
        incarnation=f"{name}-1",
        address=f"10.0.0.{number}:1",
        data_centre="austin",
    )


class FakeRoutes:
    """What agents report about lost entries."""

    def __init__(self) -> None:
        self.missing_agents: list[str] = []
        self.reached: set[str] = set()

    @property
    def has_missing_agent(self) -> bool:
        return bool(self.missing_agents)

    def is_gone(self, incarnation: str) -> bool:
        return incarnation not in self.reached


class PartitionGuardTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = START
        patch = mock.patch("dalemast.clock.monotonic", side_effect=lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.routes = FakeRoutes()
        self.dialled: dict[str, SimpleNamespace] = {}

    def make_guard(self, own: str, *linked: str, unlinked: tuple[str, ...] = ()) -> PartitionGuard:
        """Return the guard of an entry that is linked with others and knows unlinked ones."""
        member = make_member(own)
        book = AddressBook(own_address=member.address)
        book.add_members(make_member(name) for name in (*linked, *unlinked))
        guard = PartitionGuard(
            member=member,
            book=book,
            dialled=self.dialled,  # type: ignore[arg-type]
            routes=self.routes,  # type: ignore[arg-type]
            times=FleetTimes(),
            metrics=Metrics(),
        )
        for name in linked:
            self.link(guard, name)
        guard.tick(self.now, beat_s=BEAT_S)
        return guard

    def link(self, guard: PartitionGuard, name: str) -> None:
        self.dialled[name] = SimpleNamespace(
            member=make_member(name), peer_started_at=self.now - 100.0
        )
        guard.record_linked(make_member(name))

    def lose(self, guard: PartitionGuard, *names: str, is_planned: bool = False) -> None:
        for name in names:
            del self.dialled[name]
            guard.record_lost(make_member(name), is_planned=is_planned)
        guard.tick(self.now, beat_s=BEAT_S)

    def advance(self, guard: PartitionGuard, for_s: float) -> None:
        self.now += for_s
        guard.tick(self.now, beat_s=BEAT_S)

    def test_an_entry_lost_alone_is_over_once_no_agent_reaches_it(self) -> None:
        guard = self.make_guard("b", "a", "c")
        self.routes.reached = {"a-1"}
        self.lose(guard, "a", "c")
        self.assertFalse(guard.is_over(make_member("a")))
        self.assertTrue(guard.is_over(make_member("c")))
        self.routes.reached = set()
        self.advance(guard, 1.0)
        self.assertTrue(guard.is_over(make_member("a")))
        self.assertFalse(guard.is_refusing)
        self.assertIsNone(guard.find_withheld(find_id("a", "b")))

    def test_a_quorum_withholds_the_ids_of_the_lost_entry_until_its_runs_have_ended(self) -> None:
        guard = self.make_guard("b", "a", "c")
        self.routes.missing_agents = ["agent-1"]
        self.lose(guard, "c")
        ends_at = START + guard.wait_s
        self.assertEqual(Withheld(until=ends_at), guard.find_withheld(find_id("c", "a", "b")))
        self.assertIsNone(guard.find_withheld(find_id("a", "c", "b")))
        self.advance(guard, guard.wait_s - FleetTimes().lost_run_s - 0.01)
        self.assertFalse(guard.is_over(make_member("c")))
        self.advance(guard, 0.02)
        self.assertTrue(guard.is_over(make_member("c")), "its claims lapse lost_run_s later")
        self.advance(guard, FleetTimes().lost_run_s)
        self.assertIsNone(guard.find_withheld(find_id("c", "a", "b")))
        self.assertFalse(guard.is_refusing)

    def test_an_entry_without_a_quorum_refuses_all_until_it_is_linked_again(self) -> None:
        guard = self.make_guard("c", "a", "b")
        self.routes.missing_agents = ["agent-1"]
        self.lose(guard, "a", "b")
        self.assertFalse(guard.is_refusing, "agents have not had the time to answer")
        self.advance(guard, FleetTimes().link_timeout_s + 0.11)
        self.assertTrue(guard.is_refusing)
        for names in (("a", "b", "c"), ("c", "a", "b")):
            self.assertEqual(Withheld(until=None), guard.find_withheld(find_id(*names)))
        self.advance(guard, 20.0)
        self.assertFalse(guard.is_over(make_member("a")))
        self.assertTrue(guard.is_refusing)
        self.link(guard, "a")
        self.advance(guard, 0.0)
        self.assertFalse(guard.is_refusing)

    def test_the_wait_begins_anew_after_a_pause_of_this_process(self) -> None:
        guard = self.make_guard("b", "a", "c")
        self.routes.missing_agents = ["agent-1"]
        self.lose(guard, "c")
        self.advance(guard, 2.0)
        guard.restart_waits()
        expected = Withheld(until=START + 2.0 + guard.wait_s)
        self.assertEqual(expected, guard.find_withheld(find_id("c", "a", "b")))

    def test_a_planned_stop_is_no_doubt(self) -> None:
        guard = self.make_guard("c", "a", "b")
        self.routes.missing_agents = ["agent-1"]
        self.lose(guard, "a", "b", is_planned=True)
        self.advance(guard, 5.0)
        self.assertFalse(guard.is_refusing)
        self.assertIsNone(guard.find_withheld(find_id("a", "b", "c")))

    def test_lost_entries_are_forgotten_after_a_while(self) -> None:
        """Hosts that were removed without a goodbye must not keep the rest from serving."""
        guard = self.make_guard("c", "a", "b")
        self.routes.missing_agents = ["agent-1"]
        self.lose(guard, "a", "b")
        self.advance(guard, FORGOTTEN_AFTER_S - 1.0)
        self.assertTrue(guard.is_refusing)
        self.advance(guard, 1.1)
        self.assertFalse(guard.is_refusing)

    def test_an_entry_that_has_just_started_refuses_until_it_is_linked_with_a_quorum(self) -> None:
        guard = self.make_guard("c", unlinked=("a", "b"))
        self.assertFalse(guard.is_refusing)
        withheld = guard.find_withheld(find_id("c", "a", "b"))
        self.assertIsNotNone(withheld, "granted before it is known who can be reached")
        self.advance(guard, 1.0)
        self.assertTrue(guard.is_refusing)
        self.link(guard, "a")
        self.advance(guard, 0.0)
        self.assertFalse(guard.is_refusing)

    def test_entries_that_start_together_wait_for_the_runs_of_one_that_is_silent(self) -> None:
        guard = self.make_guard("b", unlinked=("a", "c"))
        self.link(guard, "a")
        self.dialled["a"].peer_started_at = self.now
        self.advance(guard, 1.0)
        self.assertIsNone(guard.find_withheld(find_id("a", "c", "b")))
        expected = Withheld(until=START + guard.wait_s)
        self.assertEqual(expected, guard.find_withheld(find_id("c", "a", "b")))
        self.advance(guard, guard.wait_s)
        self.assertIsNone(guard.find_withheld(find_id("c", "a", "b")))
