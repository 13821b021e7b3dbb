"""Tests of claims between entries: an id has one owner whatever messages are lost or late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

from hypothesis import (
    given,
    settings,
)
from hypothesis import (
    strategies as st,
)

from dalemast.core.ownership import (
    Granted,
    Held,
    choose_home,
)
from dalemast.fleet.base import Member
from dalemast.fleet.entry.claim_retries import ClaimResult
from dalemast.fleet.entry.claims import (
    STARTUP_GRACE_S,
    SUSPECT_S,
    JobClaims,
)
from dalemast.fleet.frames import (
    Claim,
    ClaimResponse,
    Release,
    Yield,
)
from dalemast.fleet.timing import FleetTimes
from tests.base import AsyncTestCase

LAPSE_S = FleetTimes().lost_run_s
QUEUE = "draws"
PARTITION_S = 6.0
"""Duration of a long partition between two entries."""
START = 1000.0
"""Start time of the entries on their simulated clock."""


class FakeJobs:
    """The ids of an entry's jobs: claimed, and being claimed."""

    def __init__(self) -> None:
        self.claimed: set[str] = set()
        self.claiming: set[str] = set()
        self.queues: dict[str, str] = {}
        """The queues of open jobs by id."""
        self.yielded: list[str] = []
        self.cancelled: list[str] = []

    def get_claimed_ids(self) -> list[str]:
        return sorted(self.claimed)

    def is_active(self, job_id: str) -> bool:
        return job_id in self.claimed

    def has_open(self, job_id: str) -> bool:
        return job_id in self.claimed or job_id in self.claiming

    def yield_job(self, job_id: str) -> None:
        self.yielded.append(job_id)

    def get_queue(self, job_id: str) -> str:
        return self.queues.get(job_id, "")

    def cancel_job(self, job_id: str, *, queue: str) -> bool:
        is_open = self.get_queue(job_id) == queue
        if is_open:
            self.cancelled.append(job_id)
            self.forget(job_id)
        return is_open

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended or is being stopped."""
        self.claimed.discard(job_id)
        self.claiming.discard(job_id)
        self.queues.pop(job_id, None)


class FakeLink:
    """One direction of a link, which delivers messages in order, delays them, or loses them."""

    def __init__(self, deliver: Callable[[Any], None]) -> None:
        self._deliver = deliver
        self.is_lossy = False
        self.is_delayed = False
        self.held: list[Any] = []

    def send(self, message: Any) -> None:
        if self.is_lossy:
            return
        if self.is_delayed:
            self.held.append(message)
        else:
            asyncio.get_running_loop().call_soon(self._arrive, message)

    def _arrive(self, message: Any) -> None:
        if not self.is_lossy:
            self._deliver(message)

    def deliver_held(self) -> None:
        self.is_delayed = False
        while self.held:
            self._deliver(self.held.pop(0))


class FakeSession:
    """One end of a link with another entry."""

    def __init__(self, member: Member, link: FakeLink, *, is_dialled: bool) -> None:
        self.member = member
        self.link = link
        self.is_dialled = is_dialled
        self.announced_ids: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        return self.member.name


class Entry:
    """The claims of an entry, on simulated links."""

    def __init__(self, name: str) -> None:
        self.member = Member(name=name, incarnation=f"{name}-1", address=name, data_centre="austin")
        self.jobs = FakeJobs()
        self.dialled: dict[str, FakeSession] = {}
        self.accepted: dict[str, FakeSession] = {}
        self.has_all_greetings = True
        self.claims = JobClaims(
            member=self.member,
            jobs=self.jobs,
            lapse_s=LAPSE_S,
            dialled=self.dialled,  # type: ignore[arg-type]
            accepted=self.accepted,  # type: ignore[arg-type]
            has_all_greetings=lambda: self.has_all_greetings,
        )

    @property
    def name(self) -> str:
        return self.member.name

    def dial(self, other: Entry) -> None:
        """Open the link that carries this entry's claims, and exchange the greetings on it."""
        self.handle_greeting(self.greet(other))

    def greet(self, other: Entry) -> FakeSession:
        """Open the link that carries this entry's claims, and send the greeting on it."""
        back = FakeLink(lambda message: self._handle_message(here, message))
        there = FakeSession(self.member, back, is_dialled=False)
        link = FakeLink(lambda message: other._handle_message(there, message))
        here = FakeSession(other.member, link, is_dialled=True)
        here.announced_ids = tuple(self.jobs.get_claimed_ids())
        other.accepted[self.member.incarnation] = there
        other.handle_open_ids(there, here.announced_ids)
        # In the same frame as the greeting, so that nothing is granted in between.
        for request in self.claims._list_cancelled():
            other._handle_message(there, request.make_message(0))
        for request in other.claims._list_cancelled():
            self._handle_message(here, request.make_message(0))
        other.claims.record_owner_back(self.member)
        return here

    def handle_greeting(self, session: FakeSession) -> None:
        """Handle the other entry's greeting on a link that this one has dialled."""
        self.dialled[session.member.name] = session
        self.claims.record_greeting(session)  # type: ignore[arg-type]
        self.claims.announce_all()

    def lose_link(self, other: Entry, *, is_planned: bool = False) -> None:
        """End the links with another entry, in both directions, with a goodbye if planned."""
        session = self.dialled.pop(other.name)
        session.link.is_lossy = True
        self.claims.cancel_pending(session)  # type: ignore[arg-type]
        self.claims.suspect_home(other.member, is_planned=is_planned)
        self.claims.announce_all()
        self.accepted.pop(other.member.incarnation).link.is_lossy = True
        self.claims.record_owner_lost(other.member)

    def handle_open_ids(self, session: FakeSession, job_ids: tuple[str, ...]) -> None:
        """Handle the ids that another entry announces in its greeting."""
        self.claims.handle_open_ids(session, job_ids)  # type: ignore[arg-type]

    async def claim(self, job_id: str, *, queue: str = QUEUE) -> ClaimResult:
        """Claim an id as the job tracker does."""
        self.jobs.claiming.add(job_id)
        self.jobs.queues[job_id] = queue
        result = await self.claims.claim(job_id, queue=queue)
        if job_id not in self.jobs.claiming:
            # The job was cancelled in the meantime.
            self.claims.release(job_id)
        elif isinstance(result, Granted):
            self.jobs.claimed.add(job_id)
        return result

    async def cancel(self, job_id: str, *, queue: str = QUEUE) -> ClaimResult:
        """Cancel the job of an id once, as a caller's request does."""
        return await self.claims.cancel(job_id, queue=queue)

    def release(self, job_id: str) -> None:
        """Release an id of a job that has ended."""
        self.jobs.forget(job_id)
        self.claims.release(job_id)

    def _handle_message(self, session: FakeSession, message: Any) -> None:
        peer: Any = session
        match message:
            case Claim():
                self.claims.handle_claim(peer, message)
            case ClaimResponse():
                self.claims.handle_response(message)
            case Release():
                self.claims.handle_release(peer, message)
            case Yield():
                self.claims.handle_yield(peer, message)


def find_id(*names: str) -> str:
    """Return an id whose homes among these entries come in this order."""
    for number in range(10_000):
        job_id = f"{number:016x}"
        left = list(names)
        if all(choose_home(job_id, left[n:]) == name for n, name in enumerate(names)):
            return job_id
    raise AssertionError("no such id")


class ClaimsTestCase(AsyncTestCase):
    """Entries a, b and c with links between all of them, on a simulated clock."""

    def setUp(self) -> None:
        super().setUp()
        self.now = START
        # Only the module under test uses the simulated clock; the event loop keeps its own.
        clock = mock.patch("dalemast.fleet.entry.claims.clock", mock.Mock(monotonic=self._read))
        clock.start()
        self.addCleanup(clock.stop)
        self.a, self.b, self.c = (Entry(name) for name in "abc")
        self.entries = [self.a, self.b, self.c]

    def play(self, scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
        async def run() -> None:
            for one in self.entries:
                for other in self.entries:
                    if one is not other:
                        one.dial(other)
            self.now += 10.0
            await scenario()

        self.run_async(run())

    def cut(self, one: Entry, other: Entry) -> None:
        one.lose_link(other)
        other.lose_link(one)

    def heal(self, one: Entry, other: Entry) -> None:
        one.dial(other)
        other.dial(one)

    def wait(self, seconds: float) -> None:
        """Advance the clock and run the periodic work of all entries."""
        self.now += seconds
        for entry in self.entries:
            entry.claims.sweep(self.now)

    def _read(self) -> float:
        return self.now


async def settle() -> None:
    """Let messages in flight arrive."""
    for _ in range(10):
        await asyncio.sleep(0)


def is_granted(result: ClaimResult) -> bool:
    return isinstance(result, Granted)


class UnansweredClaimTests(ClaimsTestCase):
    """A missing response does not grant an id.

    Guards against granting an id while its owner's runs go on, as the home and the owner are slow.
    """

    def test_a_missing_response_is_not_a_grant(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            for other in (self.a, self.b):
                self.c.dialled[other.name].link.is_delayed = True
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_a_claim_does_not_wait_for_a_link_that_has_ended(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.c.dialled["b"].link.is_delayed = True
            claim = asyncio.ensure_future(self.c.claim(job_id))
            await settle()
            self.cut(self.c, self.b)
            self.assertTrue(is_granted(await claim))

        self.play(scenario)


class AnnouncedClaimsTests(ClaimsTestCase):
    """Announced claims are kept, also by an entry that does not grant ids yet."""

    def test_a_home_keeps_announced_claims_during_its_startup(self) -> None:
        """Guards against granting an id whose claim was announced before the home was ready."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            restarted = self.restart_b()
            restarted.has_all_greetings = False
            session = self.a.greet(restarted)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.a.handle_greeting(session)
            await settle()
            restarted.has_all_greetings = True
            self.c.dial(restarted)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_that_is_still_being_claimed_is_not_announced(self) -> None:
        """Guards against a new home that takes an unfinished claim for a granted one."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            restarted = self.restart_b()
            restarted.has_all_greetings = False
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.c.dial(restarted)
            await settle()
            self.wait(2 * STARTUP_GRACE_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_a_home_that_appears_during_a_claim_is_asked_as_well(self) -> None:
        """Guards against the new home granting the id again, as only the old one was asked."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a")
            restarted = self.restart_b()
            self.a.dialled["c"].link.is_delayed = True
            claim = asyncio.ensure_future(self.a.claim(job_id))
            await settle()
            for entry in (self.a, self.c):
                self.heal(entry, restarted)
            self.a.dialled["c"].link.deliver_held()
            self.assertTrue(is_granted(await claim))
            await settle()
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def restart_b(self) -> Entry:
        """Lose entry b permanently, and return its next incarnation, which has no links yet."""
        self.cut(self.a, self.b)
        self.cut(self.c, self.b)
        self.wait(2 * SUSPECT_S)
        self.entries[1] = Entry("b")
        return self.entries[1]


class PartitionTests(ClaimsTestCase):
    """Two entries can't reach each other, but both reach the third.

    Guards against granting an id to the third entry although its owner still runs the job.
    """

    def test_an_id_is_not_granted_when_its_home_has_lost_its_owner(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.b)
            await settle()
            self.wait(PARTITION_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            await settle()
            self.assertEqual([job_id], self.a.jobs.yielded)

        self.play(scenario)

    def test_an_id_that_is_claimed_late_in_a_partition_is_not_granted_twice(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.cut(self.a, self.b)
            self.wait(PARTITION_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_whose_home_is_its_owner_is_not_granted_across_the_partition(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "b", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.c)
            await settle()
            self.wait(PARTITION_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_whose_second_keeper_is_across_the_partition_is_not_granted(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "c", "b")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.c)
            await settle()
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.wait(PARTITION_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_a_claim_waits_until_the_runs_of_a_lost_owner_have_ended(self) -> None:
        """Runs of a lost owner go on for up to ``lost_run_s`` after its last message."""

        async def scenario() -> None:
            job_id = find_id("a", "b", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.entries.remove(self.a)
            self.cut(self.a, self.b)
            self.cut(self.a, self.c)
            self.wait(0.5 * LAPSE_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.wait(0.6 * LAPSE_S)
            self.assertTrue(is_granted(await self.c.claim(job_id)))

        self.play(scenario)


class FourEntriesTests(ClaimsTestCase):
    def test_an_id_that_is_claimed_late_in_a_partition_is_known_to_all_others(self) -> None:
        """The owner and the claiming entry assume different homes during the partition."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a", "d")
            self.cut(self.a, self.b)
            self.wait(PARTITION_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.d.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)

    def test_an_owner_that_is_asked_yields_its_job_and_keeps_the_id_until_then(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "b", "c", "d")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertEqual(
                Held(owner=self.a.member.incarnation, free_at=None), await self.d.claim(job_id)
            )
            self.assertEqual([job_id], self.a.jobs.yielded)
            self.a.release(job_id)
            self.assertTrue(is_granted(await self.d.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)

    def test_of_two_owners_the_later_to_announce_yields_and_both_claims_are_kept(self) -> None:
        """Two entries were granted an id on both sides of a partition, and both announce it."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a", "d")
            for owner in (self.a, self.d):
                owner.jobs.claimed.add(job_id)
                owner.claims.announce_all()
            await settle()
            self.assertEqual(([], [job_id]), (self.a.jobs.yielded, self.d.jobs.yielded))
            self.a.release(job_id)
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.d.release(job_id)
            self.assertTrue(is_granted(await self.c.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)


class ReleaseTests(ClaimsTestCase):
    def test_an_id_whose_release_was_lost_becomes_free_when_it_is_claimed(self) -> None:
        """Guards against an id that stays claimed for as long as its previous owner runs."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.a.dialled["b"].link.is_lossy = True
            self.a.release(job_id)
            await settle()
            self.a.dialled["b"].link.is_lossy = False
            await self.c.claim(job_id)
            await settle()
            self.assertTrue(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_every_entry_that_knows_of_a_claim_receives_its_release(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "b", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.c)
            self.heal(self.a, self.c)
            await settle()
            self.a.release(job_id)
            await settle()
            self.assertEqual([0, 0, 0], [len(entry.claims) for entry in self.entries])

        self.play(scenario)


NAMES = "abcd"
IDS = [f"{number:016x}" for number in range(3)]
ENTRY = st.integers(0, len(NAMES) - 1)
CLAIM = st.tuples(st.just("claim"), ENTRY, st.sampled_from(IDS))
STEPS = st.tuples(
    st.one_of(
        CLAIM,
        CLAIM,
        CLAIM,
        st.tuples(st.just("release"), ENTRY, st.sampled_from(IDS)),
        st.tuples(st.just("cut"), ENTRY, ENTRY),
        st.tuples(st.just("heal"), st.none(), st.none()),
        st.tuples(st.just("replace"), ENTRY, st.none()),
        st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, PARTITION_S]), st.none()),
    ),
    st.booleans(),
)
"""A step, and whether all messages in flight arrive before the next one."""


class AnyOrderTestCase(ClaimsTestCase):
    """Plays drawn steps of four entries, and checks after each that no two own an id.

    One failure occurs at a time: a partition between two entries, or the restart of one.
    """

    def setUp(self) -> None:
        super().setUp()
        self.reset()

    def reset(self) -> None:
        self.now = START
        self.entries = [Entry(name) for name in NAMES]
        self.cut_pair: tuple[Entry, Entry] | None = None
        self.claims: list[asyncio.Task[ClaimResult]] = []

    def play_steps(self, steps: list[tuple[tuple[str, Any, Any], bool]]) -> None:
        async def scenario() -> None:
            for (step, first, second), is_calm in steps:
                getattr(self, f"do_{step}")(first, second)
                await (settle() if is_calm else asyncio.sleep(0))
                self.check()
            await settle()
            self.check()
            for claim in self.claims:
                claim.cancel()

        self.reset()
        self.play(scenario)

    def check(self) -> None:
        for job_id in IDS:
            owners = [entry.name for entry in self.entries if job_id in entry.jobs.claimed]
            self.assertLessEqual(len(owners), 1, (job_id, owners))

    def do_claim(self, number: int, job_id: str) -> None:
        entry = self.entries[number]
        if not entry.jobs.has_open(job_id):
            self.claims.append(asyncio.ensure_future(self._claim(entry, job_id)))

    async def _claim(self, entry: Entry, job_id: str) -> ClaimResult:
        result = await entry.claim(job_id)
        if not isinstance(result, Granted):
            entry.release(job_id)
        return result

    def do_release(self, number: int, job_id: str) -> None:
        if job_id in self.entries[number].jobs.claimed:
            self.entries[number].release(job_id)

    def do_cut(self, first: int, second: int) -> None:
        if first == second or self.cut_pair is not None:
            return
        self.cut_pair = (self.entries[first], self.entries[second])
        self.cut(*self.cut_pair)

    def do_heal(self, _: None, __: None) -> None:
        if self.cut_pair is not None:
            self.heal(*self.cut_pair)
            self.cut_pair = None

    def do_replace(self, number: int, _: None) -> None:
        """Lose an entry, and start its next incarnation once its runs have ended."""
        if self.cut_pair is not None:
            return
        old = self.entries[number]
        others = [entry for entry in self.entries if entry is not old]
        for other in others:
            self.cut(old, other)
        self.wait(1.1 * LAPSE_S)
        self.entries[number] = Entry(old.name)
        for other in others:
            self.heal(self.entries[number], other)

    def do_wait(self, seconds: float, _: None) -> None:
        self.wait(seconds)


class AnyOrderTests(AnyOrderTestCase):
    """Two entries never own an id at once, whatever the order of claims, releases and failures."""

    @settings(max_examples=1000)
    @given(st.lists(STEPS, min_size=3, max_size=20))
    def test_two_entries_never_both_have_an_id(
        self, steps: list[tuple[tuple[str, Any, Any], bool]]
    ) -> None:
        self.play_steps(steps)
