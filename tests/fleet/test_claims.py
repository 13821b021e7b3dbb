"""Claims between entries: whatever is lost, late or moved, an id has one owner."""

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
CUT_S = 6.0
"""A long cut between two entries."""
START = 1000.0
"""When the entries of a test begin, on their clock."""


class FakeJobs:
    """An entry's jobs: those that it has claimed, and those that it asks for."""

    def __init__(self) -> None:
        self.claimed: set[str] = set()
        self.asked: set[str] = set()
        self.given_up: list[str] = []

    def get_claimed_ids(self) -> list[str]:
        return sorted(self.claimed)

    def is_active(self, job_id: str) -> bool:
        return job_id in self.claimed

    def has_open(self, job_id: str) -> bool:
        return job_id in self.claimed or job_id in self.asked

    def yield_job(self, job_id: str) -> None:
        self.given_up.append(job_id)


class FakeLink:
    """One direction of a link: delivers in order, holds back, or loses."""

    def __init__(self, deliver: Callable[[Any], None]) -> None:
        self._deliver = deliver
        self.is_lossy = False
        self.is_slow = False
        self.held: list[Any] = []

    def send(self, message: Any) -> None:
        if self.is_lossy:
            return
        if self.is_slow:
            self.held.append(message)
        else:
            asyncio.get_running_loop().call_soon(self._arrive, message)

    def _arrive(self, message: Any) -> None:
        if not self.is_lossy:
            self._deliver(message)

    def catch_up(self) -> None:
        self.is_slow = False
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
    """An entry's claims, with links made by hand."""

    def __init__(self, name: str) -> None:
        self.member = Member(name=name, incarnation=f"{name}-1", address=name, data_centre="austin")
        self.jobs = FakeJobs()
        self.dialled: dict[str, FakeSession] = {}
        self.accepted: dict[str, FakeSession] = {}
        self.has_met_all = True
        self.claims = JobClaims(
            member=self.member,
            jobs=self.jobs,
            lapse_s=LAPSE_S,
            dialled=self.dialled,  # type: ignore[arg-type]
            accepted=self.accepted,  # type: ignore[arg-type]
            has_met_all=lambda: self.has_met_all,
        )

    @property
    def name(self) -> str:
        return self.member.name

    def dial(self, other: Entry) -> None:
        """Open the link that carries this entry's claims, with the greetings on it."""
        self.take_greeting(self.greet(other))

    def greet(self, other: Entry) -> FakeSession:
        """Open the link that carries this entry's claims, and greet on it."""
        back = FakeLink(lambda message: self._take(here, message))
        there = FakeSession(self.member, back, is_dialled=False)
        link = FakeLink(lambda message: other._take(there, message))
        here = FakeSession(other.member, link, is_dialled=True)
        here.announced_ids = tuple(self.jobs.get_claimed_ids())
        other.accepted[self.member.incarnation] = there
        other.handle_open_ids(there, here.announced_ids)
        other.claims.record_owner_back(self.member)
        return here

    def take_greeting(self, session: FakeSession) -> None:
        """Take in the other entry's greeting on a link that this one has dialled."""
        self.dialled[session.member.name] = session
        self.claims.record_greeting(session)  # type: ignore[arg-type]
        self.claims.announce_all()

    def lose(self, other: Entry) -> None:
        """Note that the link with another entry has ended without a goodbye, both ways."""
        session = self.dialled.pop(other.name)
        session.link.is_lossy = True
        self.claims.cancel_pending(session)  # type: ignore[arg-type]
        self.claims.suspect_home(other.member, is_planned=False)
        self.claims.announce_all()
        self.accepted.pop(other.member.incarnation).link.is_lossy = True
        self.claims.record_owner_lost(other.member)

    def handle_open_ids(self, session: FakeSession, job_ids: tuple[str, ...]) -> None:
        """Take in what another entry's greeting tells."""
        self.claims.handle_open_ids(session, job_ids)  # type: ignore[arg-type]

    async def claim(self, job_id: str) -> Granted | Held:
        """Claim an id as the desk does."""
        self.jobs.asked.add(job_id)
        result = await self.claims.claim(job_id)
        if isinstance(result, Granted):
            self.jobs.claimed.add(job_id)
        return result

    def release(self, job_id: str) -> None:
        """Release an id of a job that has ended."""
        self.jobs.claimed.discard(job_id)
        self.jobs.asked.discard(job_id)
        self.claims.release(job_id)

    def _take(self, session: FakeSession, message: Any) -> None:
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
    """Entries a, b, c, which see one another, on a clock that is moved by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.now = START
        # The clock is that of the module under test alone; the loop keeps its own.
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
        one.lose(other)
        other.lose(one)

    def heal(self, one: Entry, other: Entry) -> None:
        one.dial(other)
        other.dial(one)

    def wait(self, seconds: float) -> None:
        """Let time pass, with the ticks of all entries."""
        self.now += seconds
        for entry in self.entries:
            entry.claims.sweep(self.now)

    def _read(self) -> float:
        return self.now


async def settle() -> None:
    """Let what is under way arrive."""
    for _ in range(10):
        await asyncio.sleep(0)


def is_granted(result: Granted | Held) -> bool:
    return isinstance(result, Granted)


class UnansweredTests(ClaimsTestCase):
    """An entry that gives no answer has not said that an id is free.

    A home that did not answer within 0.15 s was passed over: all entries were asked, and those that
    gave no answer counted as if they had granted. With the home and the owner both slow, or their
    answers waiting in the asker's sockets while it was late itself, an id was granted while its
    owner's runs went on.
    """

    def test_an_entry_in_reach_that_does_not_answer_is_no_grant(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            for other in (self.a, self.b):
                self.c.dialled[other.name].link.is_slow = True
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_a_link_that_ends_is_waited_for_no_longer(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.c.dialled["b"].link.is_slow = True
            claim = asyncio.ensure_future(self.c.claim(job_id))
            await settle()
            self.cut(self.c, self.b)
            self.assertTrue(is_granted(await claim))

        self.play(scenario)


class ToldTests(ClaimsTestCase):
    """What an entry tells of its claims is kept, also by an entry that grants nothing yet."""

    def test_a_home_that_knows_too_little_keeps_what_it_is_told(self) -> None:
        """An entry that had just begun passed over the claims that others moved to it.

        It granted them elsewhere as soon as its first time was over, while their owners' jobs ran.
        """

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            young = self.replace_b()
            young.has_met_all = False
            session = self.a.greet(young)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.a.take_greeting(session)
            await settle()
            young.has_met_all = True
            self.c.dial(young)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_that_is_only_asked_for_is_not_told_as_claimed(self) -> None:
        """An entry told a new home of an id that it was still asking for elsewhere.

        The new home took that for a claim, and granted the id while its owner's job ran.
        """

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            young = self.replace_b()
            young.has_met_all = False
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.c.dial(young)
            await settle()
            self.wait(2 * STARTUP_GRACE_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_a_home_that_came_while_an_id_was_claimed_is_asked_as_well(self) -> None:
        """The old home's answer alone would let the new one grant the id to the next asker."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a")
            young = self.replace_b()
            self.a.dialled["c"].link.is_slow = True
            claim = asyncio.ensure_future(self.a.claim(job_id))
            await settle()
            for entry in (self.a, self.c):
                self.heal(entry, young)
            self.a.dialled["c"].link.catch_up()
            self.assertTrue(is_granted(await claim))
            await settle()
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def replace_b(self) -> Entry:
        """Lose an entry for good, and return its next life, which is in nobody's reach yet."""
        self.cut(self.a, self.b)
        self.cut(self.c, self.b)
        self.wait(2 * SUSPECT_S)
        self.entries[1] = Entry("b")
        return self.entries[1]


class CutTests(ClaimsTestCase):
    """Two entries don't reach one another, and each reaches the third.

    The home of an id forgot its claim once it had not heard of its owner for the time of a lost
    run, and granted it to the third entry, though the owner was in reach of that one. An id whose
    home is its owner was known to nobody else. And after 4 s no entry doubted any more.
    """

    def test_an_id_whose_home_lost_its_owner_is_not_granted(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.b)
            await settle()
            self.wait(CUT_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            await settle()
            self.assertEqual([job_id], self.a.jobs.given_up)

        self.play(scenario)

    def test_an_id_that_is_claimed_late_in_a_cut_is_not_granted(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.cut(self.a, self.b)
            self.wait(CUT_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_whose_home_is_its_owner_is_not_granted_beyond_the_cut(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "b", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.c)
            await settle()
            self.wait(CUT_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_id_whose_second_keeper_is_beyond_the_cut_is_not_granted(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "c", "b")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.cut(self.a, self.c)
            await settle()
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.wait(CUT_S)
            self.assertFalse(is_granted(await self.c.claim(job_id)))

        self.play(scenario)

    def test_an_owner_that_is_its_own_home_and_gone_is_waited_for(self) -> None:
        """Its runs go on for the time of a lost run after its last word."""

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
    def test_an_id_that_is_claimed_late_in_a_cut_is_known_to_all_others(self) -> None:
        """Its owner and the asker take different entries for its home all the while."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a", "d")
            self.cut(self.a, self.b)
            self.wait(CUT_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertFalse(is_granted(await self.d.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)

    def test_an_owner_that_is_asked_keeps_its_id_and_gives_the_job_up(self) -> None:
        async def scenario() -> None:
            job_id = find_id("a", "b", "c", "d")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertEqual(
                Held(owner=self.a.member.incarnation, free_at=None), await self.d.claim(job_id)
            )
            self.assertEqual([job_id], self.a.jobs.given_up)
            self.a.release(job_id)
            self.assertTrue(is_granted(await self.d.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)

    def test_of_two_owners_the_later_teller_gives_up_and_both_are_kept(self) -> None:
        """Two entries were granted an id on both sides of a cut, and their home hears of both."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a", "d")
            for owner in (self.a, self.d):
                owner.jobs.claimed.add(job_id)
                owner.claims.announce_all()
            await settle()
            self.assertEqual(([], [job_id]), (self.a.jobs.given_up, self.d.jobs.given_up))
            self.a.release(job_id)
            self.assertFalse(is_granted(await self.c.claim(job_id)))
            self.d.release(job_id)
            self.assertTrue(is_granted(await self.c.claim(job_id)))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)


class ReleaseTests(ClaimsTestCase):
    def test_an_id_whose_release_was_lost_is_free_when_it_is_asked_for(self) -> None:
        """A home kept a claim whose release was lost with its link, and its owner lived on.

        It asked the owner to give the job up, who had none and said nothing: the id stayed taken.
        """

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

    def test_every_entry_that_was_asked_or_told_is_told_of_the_end(self) -> None:
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
        st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, CUT_S]), st.none()),
    ),
    st.booleans(),
)
"""What happens, and whether all that is under way arrives before the next step."""


class AnyOrderTests(ClaimsTestCase):
    """Claims, releases, cuts and new lives in any order: two entries never both have an id.

    There is one trouble at a time, a cut between two entries or a new life of one, and messages
    arrive between the steps or not until later ones. What was under way on a link is lost with it.
    """

    def setUp(self) -> None:
        super().setUp()
        self.reset()

    def reset(self) -> None:
        self.now = START
        self.entries = [Entry(name) for name in NAMES]
        self.cut_pair: tuple[Entry, Entry] | None = None
        self.claims: list[asyncio.Task[Granted | Held]] = []

    @settings(max_examples=1000)
    @given(st.lists(STEPS, min_size=3, max_size=20))
    def test_two_entries_never_both_have_an_id(
        self, steps: list[tuple[tuple[str, Any, Any], bool]]
    ) -> None:
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

    async def _claim(self, entry: Entry, job_id: str) -> Granted | Held:
        result = await entry.claim(job_id)
        if isinstance(result, Held):
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
        """Let an entry die, and begin its next life once its runs have ended by themselves."""
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
