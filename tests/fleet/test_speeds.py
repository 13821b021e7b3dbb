"""Reports of a worker's slowness to entries, also to those that restart."""

from __future__ import annotations

from unittest import mock

import testtools

from dalemast.core.scheduling import LoadPolicy
from dalemast.core.supervision import (
    Supervisor,
    SupervisorLimits,
    WorkerIncarnation,
)
from dalemast.core.workloads import Resources
from dalemast.fleet.agent.owner_sessions import OwnerSession
from dalemast.fleet.agent.reports import WorkerReports
from dalemast.fleet.frames import WorkerReport, WorkerSlowness
from dalemast.observability import Metrics
from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000d{:x}"
FIRST_JOBS = 3
NOW = 10.0


class ReportTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_timeout_s=0.5, lease_s=0.6, stop_s=0.05)
        self.supervisor = Supervisor(limits=limits)
        self.register("i-1")
        self.sessions: dict[str, OwnerSession] = {}

    def register(self, incarnation_id: str) -> None:
        self.supervisor.register_incarnation(
            WorkerIncarnation(
                id=incarnation_id,
                service="floor",
                data_centre="austin",
                capacity=Resources(cpu=4000, memory_mb=1000),
                labels=frozenset(),
                is_leaving=False,
            ),
            now=NOW,
        )
        self.supervisor.handle_poll((), (), asked_at=NOW, now=NOW)

    def make_reports(self, *, learns_speeds: bool = True) -> WorkerReports:
        return WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(learns_speeds=learns_speeds),
            metrics=Metrics(),
        )

    def add_owner(self, name: str) -> OwnerSession:
        session = OwnerSession(link=mock.Mock(), handler=mock.Mock())
        self.sessions[name] = session
        return session

    def record_runs(self, slowness: float, *, name: str = "j") -> None:
        for number in range(100):
            self.supervisor.speeds.learn(f"{name}{number}", run_s=slowness, expected_s=1.0)

    def get_reported(self, session: OwnerSession) -> list[float]:
        sent = [call.args[0] for call in session.link.send.call_args_list]  # type: ignore[attr-defined]
        return [message.slowness for message in sent if isinstance(message, WorkerSlowness)]

    def test_all_owners_get_the_slowness_once_and_after_changes(self) -> None:
        reports = self.make_reports()
        owners = [self.add_owner("o1"), self.add_owner("o2")]
        self.record_runs(1.67)
        for turn in range(50):
            reports.refresh(now=NOW + turn)
        self.record_runs(1.0, name="quick")
        for turn in range(50):
            reports.refresh(now=NOW + 50 + turn)
        for owner in owners:
            self.assertEqual([1.67, 1.0], self.get_reported(owner))

    def test_a_new_owner_gets_the_slowness_after_the_worker(self) -> None:
        reports = self.make_reports()
        self.record_runs(1.67)
        reports.refresh(now=NOW)
        owner = self.add_owner("new")
        reports.send_initial_reports(owner, now=NOW + 1.0)
        first, second = [call.args[0] for call in owner.link.send.call_args_list[:2]]  # type: ignore[attr-defined]
        self.assertIsInstance(first, WorkerReport)
        self.assertEqual(WorkerSlowness(slowness=1.67, runs=96), second)

    def test_a_new_incarnation_has_no_slowness_yet(self) -> None:
        reports = self.make_reports()
        self.record_runs(1.67)
        reports.refresh(now=NOW)
        self.supervisor.lose_incarnation(is_over=True)
        self.register("i-2")
        owner = self.add_owner("new")
        reports.send_initial_reports(owner, now=NOW + 1.0)
        self.assertEqual([], self.get_reported(owner))

    def test_without_the_setting_no_slowness_is_reported(self) -> None:
        reports = self.make_reports(learns_speeds=False)
        owner = self.add_owner("o1")
        self.record_runs(1.67)
        reports.refresh(now=NOW)
        reports.send_initial_reports(owner, now=NOW)
        self.assertEqual([], self.get_reported(owner))


class FleetSpeedTests(AsyncTestCase):
    def get_reported(self, fleet: LocalFleet, entry: int) -> list[float | None]:
        views = fleet.entries[entry]._scheduler.workers.values()
        return [view.reported_speed.slowness if view.reported_speed else None for view in views]

    def play(self, scenario, *, is_on: bool = True) -> None:
        settings = {"load": LoadSettings(learns_speeds=is_on)}

        async def run() -> None:
            with mock.patch("dalemast.core.supervision.speeds.FIRST_JOBS", FIRST_JOBS):
                async with LocalFleet(
                    entries=2, workers=1, agent_settings=settings, entry_settings=settings
                ) as fleet:
                    for number in range(FIRST_JOBS):
                        job = JOB.format(number)
                        await fleet.submit_with_retries(job, text=make_text(0.05))
                    await scenario(fleet)

        self.run_async(run())

    def test_entries_get_the_slowness_also_after_a_restart(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            for entry in (0, 1):
                await wait_until(
                    lambda e=entry: None not in self.get_reported(fleet, e), "the report"
                )
            before = self.get_reported(fleet, 1)
            await fleet.entries.pop().close()
            await fleet.add_entry(fleet.entry_settings[1])
            await wait_until(
                lambda: self.get_reported(fleet, 1) == before, "the report after a restart"
            )

        self.play(scenario)

    def test_without_the_setting_no_entry_gets_it(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            self.assertIsNotNone(fleet.agents[0]._supervisor.speeds.get_speed())
            self.assertEqual([None], self.get_reported(fleet, 0))

        self.play(scenario, is_on=False)
