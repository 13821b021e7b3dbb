"""What an owner says counts from when it was said, however late it arrives.

A frame may be held up on its way, or wait at an agent that stands still. Taken as of its arrival,
it kept runs alive that its owner had given up by then.
"""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from dalemast import clock
from dalemast.core.scheduling import EndReason
from dalemast.core.supervision import RunId
from dalemast.core.workloads import TaskKey
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.frames import (
    ClockRequest,
    ClockResponse,
    Reconciled,
    RunEnded,
    SentAt,
    StartRow,
    Starts,
)
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text, settle

JOB = "00000000000000c{:x}"
ENTRY_AHEAD_S = 5000.0
"""By how much the entry's steady clock is ahead of the agent's."""


class SaidTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.link = mock.Mock()
        self.session = OwnerSession(link=self.link, links=mock.Mock())
        self.session.is_reconciled = True

    def ask(self, *, way_s: float) -> None:
        """Ask for the entry's clock; the question takes this long to arrive."""
        self.session.request_clock()
        (asked,) = self.link.send.call_args.args
        self.assertIsInstance(asked, ClockRequest)
        received_at_ms = asked.sent_at_ms + round((way_s + ENTRY_AHEAD_S) * 1000)
        self.session.handle_clock(
            ClockResponse(sent_at_ms=asked.sent_at_ms, received_at_ms=received_at_ms)
        )

    def say(self, *, ago_s: float) -> float:
        """Take in a frame that was said a while ago; return the age that it is given."""
        now = clock.monotonic()
        self.session.record_sent_at(SentAt(at_ms=int((now - ago_s + ENTRY_AHEAD_S) * 1000)))
        return now - self.session.frame_sent_at

    def test_before_the_entrys_clock_is_known_nothing_counts(self) -> None:
        self.assertEqual(float("inf"), self.say(ago_s=0.0))

    def test_before_the_entry_has_compared_its_runs_nothing_counts(self) -> None:
        self.ask(way_s=0.0)
        self.session.is_reconciled = False
        self.assertEqual(float("inf"), self.say(ago_s=0.0))

    def test_an_answer_to_earlier_news_of_the_worker_is_not_one_to_the_newest(self) -> None:
        """Starts that were under way meanwhile count as over at an entry that compares it next."""
        self.ask(way_s=0.0)
        first = self.session.begin_report()
        self.assertEqual(float("inf"), self.say(ago_s=0.0))
        second = self.session.begin_report()
        self.session.handle_reconciled(Reconciled(number=first))
        self.assertEqual(float("inf"), self.say(ago_s=0.0))
        self.session.handle_reconciled(Reconciled(number=second))
        self.assertLess(self.say(ago_s=0.0), 0.02)

    def test_the_age_is_at_least_the_true_one_and_at_most_the_questions_way_more(self) -> None:
        self.ask(way_s=0.1)
        for ago_s in (0.0, 0.3, 2.0):
            age_s = self.say(ago_s=ago_s)
            self.assertGreaterEqual(age_s, ago_s)
            self.assertLess(age_s, ago_s + 0.11)

    def test_the_quickest_question_counts(self) -> None:
        self.ask(way_s=0.01)
        self.ask(way_s=0.4)
        self.assertLess(self.say(ago_s=0.0), 0.02)


class HeldFrameTests(AsyncTestCase):
    def test_a_start_that_waited_for_long_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (session,) = owners._sessions.values()
                late = SentAt(at_ms=session._sent_ms - 60_000)
                with mock.patch.object(session.link, "send") as send:
                    session.receive([late, make_starts(JOB.format(1))])
                ends = [c.args[0] for c in send.call_args_list if isinstance(c.args[0], RunEnded)]
                self.assertEqual([EndReason.NOT_TAKEN], [end.reason for end in ends])
                await settle()
                self.assertEqual([], fleet.get_started(JOB.format(1)))

        self.run_async(run())

    def test_a_link_whose_words_seem_to_come_from_the_future_is_given_up(self) -> None:
        """The agent's host was suspended and its clock with it; what waited would look young."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (session,) = owners._sessions.values()
                session.receive([SentAt(at_ms=session._sent_ms + 60_000)])
                self.assertFalse(session.link.is_open)
                await wait_until(lambda: len(owners) == 1, "a link to be open again")

        self.run_async(run())

    def test_words_that_waited_keep_no_run_alive(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agent = fleet.agents[0]
                (session,) = agent._owners._sessions.values()
                session.receive([SentAt(at_ms=session._sent_ms), make_starts(JOB.format(2))])
                await wait_until(lambda: bool(fleet.get_running(JOB.format(2))), "it to run")
                known = agent._supervisor.runs[RunId(JOB.format(2), TaskKey(0, 0), 1)]
                while known.stopping_since is None:
                    late = SentAt(at_ms=session._sent_ms - 600)
                    agent._owners.receive(session, [late])
                    await asyncio.sleep(0.05)

        self.run_async(run())


def make_starts(job_id: str) -> Starts:
    """Return the message that starts a job of one long task."""
    task = StartRow(
        step=0, position=0, run=1, cpu=1000, memory_mb=10, gpu=0, expected_s=5.0, number=1
    )
    return Starts(job=job_id, payload=make_text(5.0), tasks=(task,))
