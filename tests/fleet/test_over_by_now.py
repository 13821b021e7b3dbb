"""When an agent may take runs as ended, or its runs as reconciled by an entry."""

from __future__ import annotations

import asyncio
from unittest import mock

from dalemast.core.scheduling import EndReason
from dalemast.fleet.frames import Reconciled, RunEnded, SentAt
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text, settle
from tests.fleet.test_bounds import Overlaps
from tests.fleet.test_said import make_starts

JOB = "00000000000000d{:x}"


class DeregistrationTests(AsyncTestCase):
    def test_runs_of_a_deregistered_worker_may_go_on(self) -> None:
        """They must not be restarted elsewhere before its lease has expired."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=2) as fleet:
                overlaps = Overlaps(fleet.workers)
                job_id = JOB.format(1)
                job = asyncio.create_task(fleet.submit(job_id, text=make_text(2.0)))
                await wait_until(lambda: bool(fleet.get_running(job_id)), "it to run")
                worker = next(w for w in fleet.workers if w.active_tasks)
                agent = fleet.agents[fleet.workers.index(worker)]
                agent._worker.lose_incarnation(worker.life_id)
                self.assertEqual(200, (await job).status)
                self.assertEqual([], overlaps.found)

        self.run_async(run())


class ReconciledTests(AsyncTestCase):
    def test_a_start_for_an_earlier_incarnation_is_refused_by_the_next(self) -> None:
        """A late ``Reconciled`` for the earlier incarnation must not make the agent accept starts
        that their owner takes as lost."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                agent, worker = fleet.agents[0], fleet.workers[0]
                (session,) = agent._owners._sessions.values()
                first, number = worker.life_id, session._report_number
                # From here on the link sends nothing, and the response to the first report is late.
                with mock.patch.object(session.link, "send") as send:
                    await worker.crash()
                    worker.start()
                    await wait_until(lambda: _has_settled(agent, first), "the next incarnation")
                    await settle()
                    sent_at = SentAt(at_ms=session._sent_ms + 10_000)
                    self.assertFalse(session.is_reconciled)
                    session.receive(
                        [sent_at, Reconciled(number=number), make_starts(JOB.format(2))]
                    )
                    await settle()
                ends = [c.args[0] for c in send.call_args_list if isinstance(c.args[0], RunEnded)]
                self.assertEqual([], fleet.get_started(JOB.format(2)))
                self.assertEqual([EndReason.NOT_TAKEN], [end.reason for end in ends])

        self.run_async(run())


def _has_settled(agent: object, first: str) -> bool:
    supervisor = agent._supervisor  # type: ignore[attr-defined]
    return (
        supervisor.incarnation is not None
        and supervisor.incarnation.id != first
        and supervisor.is_settled
    )
