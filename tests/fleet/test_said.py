"""The owner timeout starts when a frame was sent and not when it arrives.

Otherwise a delayed frame keeps runs alive that the owner has given up in the meantime.
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
"""Offset of the entry's monotonic clock from the agent's."""


class SentAtTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.link = mock.Mock()
        self.session = OwnerSession(link=self.link, handler=mock.Mock())
        self.session.is_reconciled = True

    def exchange_clocks(self, *, delay_s: float) -> None:
        """Request the entry's clock; the request takes this long to arrive."""
        self.session.request_clock()
        (request,) = self.link.send.call_args.args
        self.assertIsInstance(request, ClockRequest)
        received_at_ms = request.sent_at_ms + round((delay_s + ENTRY_AHEAD_S) * 1000)
        self.session.handle_clock(
            ClockResponse(sent_at_ms=request.sent_at_ms, received_at_ms=received_at_ms)
        )

    def get_age_s(self, *, ago_s: float) -> float:
        """Return the estimated age of a frame that was sent ``ago_s`` ago."""
        now = clock.monotonic()
        self.session.record_sent_at(SentAt(at_ms=int((now - ago_s + ENTRY_AHEAD_S) * 1000)))
        return now - self.session.frame_sent_at

    def test_frames_are_infinitely_old_before_the_clock_offset_is_known(self) -> None:
        self.assertEqual(float("inf"), self.get_age_s(ago_s=0.0))

    def test_frames_are_infinitely_old_before_the_entry_has_reconciled_its_runs(self) -> None:
        self.exchange_clocks(delay_s=0.0)
        self.session.is_reconciled = False
        self.assertEqual(float("inf"), self.get_age_s(ago_s=0.0))

    def test_reconciled_must_refer_to_the_last_worker_report(self) -> None:
        """An entry takes starts in transit as ended if the next report does not list them."""
        self.exchange_clocks(delay_s=0.0)
        first = self.session.begin_report()
        self.assertEqual(float("inf"), self.get_age_s(ago_s=0.0))
        second = self.session.begin_report()
        self.session.handle_reconciled(Reconciled(number=first))
        self.assertEqual(float("inf"), self.get_age_s(ago_s=0.0))
        self.session.handle_reconciled(Reconciled(number=second))
        self.assertLess(self.get_age_s(ago_s=0.0), 0.02)

    def test_the_estimated_age_is_too_high_by_at_most_the_delay_of_the_request(self) -> None:
        self.exchange_clocks(delay_s=0.1)
        for ago_s in (0.0, 0.3, 2.0):
            age_s = self.get_age_s(ago_s=ago_s)
            self.assertGreaterEqual(age_s, ago_s)
            self.assertLess(age_s, ago_s + 0.11)

    def test_the_fastest_clock_request_is_used(self) -> None:
        self.exchange_clocks(delay_s=0.01)
        self.exchange_clocks(delay_s=0.4)
        self.assertLess(self.get_age_s(ago_s=0.0), 0.02)


class DelayedFrameTests(AsyncTestCase):
    def test_an_old_start_is_refused(self) -> None:
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

    def test_a_link_with_timestamps_in_the_future_is_reset(self) -> None:
        """After a suspension that stopped the agent's clock, old frames would appear recent."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (session,) = owners._sessions.values()
                session.receive([SentAt(at_ms=session._sent_ms + 60_000)])
                self.assertFalse(session.link.is_open)
                await wait_until(lambda: len(owners) == 1, "a link to be open again")

        self.run_async(run())

    def test_old_frames_keep_no_run_alive(self) -> None:
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
    """Return the message that starts a job with one long task."""
    task = StartRow(
        step=0, position=0, run=1, cpu=1000, memory_mb=10, gpu=0, expected_s=5.0, number=1
    )
    return Starts(job=job_id, payload=make_text(5.0), tasks=(task,))
