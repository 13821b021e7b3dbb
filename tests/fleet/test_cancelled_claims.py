"""Tests of cancellations between entries: once confirmed, no entry may run the job any more."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from dalemast.core.ownership import Cancelled, Granted, Held
from dalemast.fleet.entry.claims import CANCELLED_KEPT_S, SUSPECT_S
from tests.fleet import test_claims
from tests.fleet.test_claims import (
    CLAIM,
    ENTRY,
    IDS,
    LAPSE_S,
    NAMES,
    QUEUE,
    STEPS,
    Entry,
    find_id,
    is_granted,
    settle,
)

OTHER_QUEUE = "payouts"
CANCEL = st.tuples(st.just("cancel"), ENTRY, st.sampled_from(IDS))
CANCEL_STEPS = st.one_of(STEPS, st.tuples(st.one_of(CANCEL, CANCEL, CLAIM), st.booleans()))


class CancelTests(test_claims.ClaimsTestCase):
    """A cancellation finds the entry that has the job, and bars the id from later claims.

    Guards against cancelled jobs that run on, or start again for a submission that arrives later.
    """

    def test_the_owner_stops_the_job_and_the_id_is_barred_everywhere(self) -> None:
        async def scenario() -> None:
            for job_id in (find_id("a", "b", "c"), find_id("b", "c", "a"), find_id("c", "a", "b")):
                self.assertTrue(is_granted(await self.a.claim(job_id)))
                self.assertEqual(
                    Held(owner=self.a.member.incarnation, free_at=None),
                    await self.c.cancel(job_id),
                )
                await settle()
                self.assertEqual([job_id], self.a.jobs.cancelled[-1:])
                self.a.release(job_id)
                await settle()
                self.assertEqual(Granted(), await self.c.cancel(job_id))
                for entry in self.entries:
                    self.assertEqual(Cancelled(), await entry.claim(job_id))

        self.play(scenario)

    def test_a_submission_that_is_overtaken_by_its_cancellation_does_not_run(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "c", "a")
            self.a.dialled["b"].link.is_delayed = True
            claim = asyncio.ensure_future(self.a.claim(job_id))
            await settle()
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            self.a.dialled["b"].link.deliver_held()
            self.assertEqual(Cancelled(), await claim)

        self.play(scenario)

    def test_a_submission_that_waits_for_its_id_is_stopped(self) -> None:
        """Its entry is the home of the id, and has asked the next one."""

        async def scenario() -> None:
            job_id = find_id("a", "b", "c")
            self.a.dialled["b"].link.is_delayed = True
            claim = asyncio.ensure_future(self.a.claim(job_id))
            await settle()
            held = Held(owner=self.a.member.incarnation, free_at=None)
            self.assertEqual(held, await self.c.cancel(job_id))
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            self.assertEqual([job_id], self.a.jobs.cancelled)
            self.a.dialled["b"].link.deliver_held()
            await claim
            self.assertFalse(self.a.jobs.has_open(job_id))

        self.play(scenario)

    def test_a_job_of_another_queue_with_the_same_id_is_kept(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id, queue=OTHER_QUEUE)))
            for entry in self.entries:
                self.assertEqual(Granted(), await entry.cancel(job_id, queue=QUEUE))
            await settle()
            self.assertEqual(([], {job_id}), (self.a.jobs.cancelled, self.a.jobs.claimed))
            self.a.release(job_id)
            await settle()
            self.assertTrue(is_granted(await self.c.claim(job_id, queue=OTHER_QUEUE)))

        self.play(scenario)

    def test_a_cancellation_is_not_confirmed_while_an_entry_does_not_answer(self) -> None:
        """Guards against an acknowledgement although the silent entry may start the job."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.c.dialled["b"].link.is_delayed = True
            self.assertFalse(is_granted(await self.c.cancel(job_id)))

        self.play(scenario)

    def test_a_cancellation_waits_until_the_runs_of_a_lost_owner_have_ended(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.entries.remove(self.a)
            self.cut(self.a, self.b)
            self.cut(self.a, self.c)
            self.wait(0.5 * LAPSE_S)
            self.assertFalse(is_granted(await self.c.cancel(job_id)))
            self.wait(0.6 * LAPSE_S)
            self.assertTrue(is_granted(await self.c.cancel(job_id)))

        self.play(scenario)

    def test_the_id_of_a_job_that_nobody_has_is_barred_for_a_while(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            self.assertEqual(Cancelled(), await self.a.claim(job_id))
            self.wait(CANCELLED_KEPT_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertEqual([0, 0, 0], [entry.claims.cancelled_count for entry in self.entries])

        self.play(scenario)


class ChangedKeepersTests(test_claims.ClaimsTestCase):
    """The entries that decide on an id learn that it is cancelled, whoever of them comes or goes.

    Guards against a cancelled job that starts for a later submission after entries were replaced.
    """

    def replace(self, entry: Entry) -> Entry:
        """Lose an entry, and link its next incarnation with all others."""
        others = [other for other in self.entries if other is not entry]
        for other in others:
            self.cut(entry, other)
        self.wait(2 * SUSPECT_S / 10)
        replaced = Entry(entry.name)
        for other in others:
            self.heal(replaced, other)
        self.entries[self.entries.index(entry)] = replaced
        return replaced

    def test_a_home_that_has_restarted_learns_of_cancelled_ids(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            restarted = self.replace(self.b)
            self.assertEqual(Cancelled(), await self.a.claim(job_id))
            self.assertEqual(Cancelled(), await restarted.claim(job_id))

        self.play(scenario)

    def test_a_cancelled_id_outlasts_both_entries_that_kept_it_first(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            for entry in (self.b, self.c):
                self.replace(entry)
                await settle()
            for entry in self.entries:
                self.assertEqual(Cancelled(), await entry.claim(job_id))

        self.play(scenario)

    def test_the_next_home_learns_of_cancelled_ids_when_the_home_stops_as_planned(self) -> None:
        """After a planned stop no entry is asked besides the new home."""

        async def scenario() -> None:
            job_id = find_id("b", "c", "a", "d")
            self.assertEqual(Granted(), await self.d.cancel(job_id))
            self.entries.remove(self.b)
            for other in self.entries:
                other.lose_link(self.b, is_planned=True)
            await settle()
            self.wait(2 * LAPSE_S)
            self.assertEqual(Cancelled(), await self.a.claim(job_id))

        self.d = Entry("d")
        self.entries.append(self.d)
        self.play(scenario)

    def test_an_owner_learns_of_a_cancellation_that_it_could_not_receive(self) -> None:
        """A job that was granted beyond a network partition is stopped once its owner is back."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.cut(self.a, self.b)
            self.cut(self.a, self.c)
            self.wait(1.1 * LAPSE_S)
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            self.assertTrue(is_granted(await self.c.cancel(job_id)))
            self.heal(self.a, self.b)
            self.heal(self.a, self.c)
            await settle()
            self.assertEqual([job_id], self.a.jobs.cancelled)

        self.play(scenario)

    def test_an_owner_learns_of_a_cancellation_from_an_entry_that_becomes_the_home(self) -> None:
        async def scenario() -> None:
            job_id = find_id("b", "c", "a")
            self.assertTrue(is_granted(await self.a.claim(job_id)))
            for session in self.c.dialled.values():
                session.link.is_lossy = True
            self.assertFalse(is_granted(await self.c.cancel(job_id)))
            self.entries.remove(self.b)
            self.cut(self.a, self.b)
            await settle()
            self.assertEqual([job_id], self.a.jobs.cancelled)

        self.play(scenario)

    def test_an_id_is_kept_no_longer_by_entries_that_learn_of_it_later(self) -> None:
        """Guards against ids that entries announce to each other without end."""

        async def scenario() -> None:
            job_id = find_id("b", "a", "c")
            self.assertEqual(Granted(), await self.c.cancel(job_id))
            self.wait(0.7 * CANCELLED_KEPT_S)
            restarted = self.replace(self.b)
            await settle()
            self.assertEqual(1, restarted.claims.cancelled_count)
            self.wait(0.3 * CANCELLED_KEPT_S)
            self.assertEqual([0, 0, 0], [entry.claims.cancelled_count for entry in self.entries])

        self.play(scenario)


class CancelInAnyOrderTests(test_claims.AnyOrderTestCase):
    """No entry has an id after its cancellation was confirmed, whatever the order of events.

    One failure occurs at a time, as in the tests of claims.
    """

    @settings(max_examples=1000)
    @given(st.lists(CANCEL_STEPS, min_size=3, max_size=20))
    def test_no_entry_has_a_cancelled_id(
        self, steps: list[tuple[tuple[str, Any, Any], bool]]
    ) -> None:
        self.play_steps(steps)

    def reset(self) -> None:
        super().reset()
        self.confirmed_at: dict[str, float] = {}

    def do_cancel(self, number: int, job_id: str) -> None:
        entry = self.entries[number]
        self.claims.append(asyncio.ensure_future(self._cancel(entry, job_id)))

    async def _cancel(self, entry: Entry, job_id: str) -> Granted | Held | Cancelled:
        result = await entry.cancel(job_id)
        if isinstance(result, Granted) and entry in self.entries:
            self.confirmed_at.setdefault(job_id, self.now)
        return result

    def check(self) -> None:
        super().check()
        for job_id, confirmed_at in self.confirmed_at.items():
            if self.now - confirmed_at >= CANCELLED_KEPT_S:
                continue
            owners = [entry.name for entry in self.entries if job_id in entry.jobs.claimed]
            self.assertEqual([], owners, (job_id, NAMES))
