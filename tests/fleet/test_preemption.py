"""Preemption over real sockets: an urgent job preempts long tasks that use the whole worker."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import testtools

from dalemast.core.scheduling import CapacityRequest, LoadPolicy
from dalemast.core.supervision import Supervisor, SupervisorLimits
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.agent.reports import WorkerReports
from dalemast.fleet.frames import CapacityReport
from dalemast.http.client import JsonResponse
from dalemast.observability import Metrics
from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import (
    LocalFleet,
    make_body,
    make_configuration,
    make_text,
)

NOW = 10.0
LONG_PREFIX = "/crews/"
LONG_JOB = "e" * 16
LONG_S = 3.0
LONG_SLACK_MS = 5000
FREELY = {"LOST_SHARE": 50.0, "KEPT_SHARE": 0.0}
"""Limits under which a worker may preempt runs after its first successful run."""


class ReportTests(testtools.TestCase):
    def test_owners_are_notified_immediately_of_preempted_capacity(self) -> None:
        """The reservation is shorter than the report interval of one of many owners."""
        limits = SupervisorLimits(owner_timeout_s=0.5, lease_s=0.6, stop_s=0.05)
        supervisor = Supervisor(limits=limits)
        owners = ("o1", "o2")
        sessions = {name: OwnerSession(link=mock.Mock(), handler=mock.Mock()) for name in owners}
        reports = WorkerReports(
            supervisor=supervisor, sessions=sessions, policy=LoadPolicy(), metrics=Metrics()
        )
        reports.note_change(now=NOW)
        want = CapacityRequest(rank=(0.0, 0.0, 0.1), cpu=1000, preempts_from=1)
        for name in owners:
            victim = mock.Mock()
            victim.request.run_id, victim.request.resources = name, Resources(cpu=1000)
            supervisor.reservations.begin(name, want, [victim], now=NOW)
        for number, name in enumerate(owners):
            supervisor.reservations.note_end(name, now=NOW + 0.01 * number)  # type: ignore[arg-type]
            reports.note_change(now=NOW + 0.01 * number)
        for session in sessions.values():
            sent = [call.args[0] for call in session.link.send.call_args_list]  # type: ignore[attr-defined]
            self.assertEqual(2, sum(isinstance(message, CapacityReport) for message in sent))


class PreemptionTests(AsyncTestCase):
    def play(self, scenario, *, preempts: bool) -> None:
        settings = {"load": LoadSettings(preempts=preempts)}

        async def run() -> None:
            async with LocalFleet(
                entries=1, workers=1, entry_settings=dict(settings), agent_settings=dict(settings)
            ) as fleet:
                await self.configure(fleet)
                first = await fleet.submit("f" * 16, text=make_text(0.05))
                self.assertEqual(200, first.status)
                await scenario(fleet)

        with mock.patch.multiple("dalemast.core.supervision.preemption", **FREELY):
            self.run_async(run())

    async def configure(self, fleet: LocalFleet) -> None:
        """Add a less urgent queue to the configuration."""
        configuration = make_configuration(8)
        long: dict[str, Any] = {"name": "crews", "path_prefix": LONG_PREFIX, "priority": 2}
        long["slo_ms"] = LONG_SLACK_MS
        configuration["routes"].append({**configuration["routes"][0], **long})
        fleet.store.put("op", "config", configuration)
        entry = fleet.entries[0]
        await wait_until(lambda: entry.get_state()["configuration"] == 8, "the configuration")

    async def fill(self, fleet: LocalFleet) -> asyncio.Task[JsonResponse]:
        """Start long tasks that use the whole worker; return the task that awaits the response."""
        body = make_body(text=make_text(LONG_S), count=4, estimate_ms=int(LONG_S * 1000))
        answer = asyncio.create_task(fleet.call("POST", LONG_PREFIX + LONG_JOB, 0, body))
        await wait_until(lambda: len(fleet.get_running(LONG_JOB)) == 4, "the worker to be full")
        return answer

    def test_an_urgent_job_starts_and_the_preempted_task_restarts(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            answer = await self.fill(fleet)
            urgent = await fleet.submit("a" * 16, text=make_text(0.05))
            self.assertEqual(200, urgent.status)
            self.assertFalse(answer.done())
            self.assertEqual("succeeded", (await answer).decode(dict[str, Any])["state"])
            runs = sorted(run for _, run in fleet.get_started(LONG_JOB))
            self.assertEqual([1, 1, 1, 1, 2], runs)
            self.assertEqual(1, fleet.agents[0]._metrics.get_count("runs.preempted"))
            self.assertEqual(1, fleet.entries[0]._metrics.get_count("tasks.preempted"))
            preemption = fleet.agents[0].get_state()["preemption"]
            self.assertEqual(0, preemption["takeovers"])  # type: ignore[index]

        self.play(scenario, preempts=True)

    def test_nothing_is_preempted_without_the_setting(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            answer = await self.fill(fleet)
            urgent = await fleet.submit("a" * 16, text=make_text(0.05))
            self.assertEqual(503, urgent.status)
            self.assertEqual(200, (await answer).status)
            self.assertEqual(4, len(fleet.get_started(LONG_JOB)))

        self.play(scenario, preempts=False)
