"""An agent's word on its worker's speed, on its way to entries and over their restarts."""

from __future__ import annotations

from unittest import mock

import testtools

from dalemast.core.scheduling import LoadPolicy
from dalemast.core.supervision import Supervisor, SupervisorLimits, WorkerLife
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
    """What an agent says, and in which order."""

    def setUp(self) -> None:
        super().setUp()
        limits = SupervisorLimits(owner_patience_s=0.5, lease_s=0.6, stop_s=0.05)
        self.supervisor = Supervisor(limits=limits)
        self.meet("i-1")
        self.sessions: dict[str, OwnerSession] = {}

    def meet(self, life: str) -> None:
        self.supervisor.meet_life(
            WorkerLife(
                id=life,
                service="floor",
                data_centre="austin",
                capacity=Resources(cpu=4000, memory_mb=1000),
                labels=frozenset(),
                is_leaving=False,
            ),
            now=NOW,
        )
        self.supervisor.look((), (), asked_at=NOW, now=NOW)

    def make_reports(self, *, tells_speed: bool = True) -> WorkerReports:
        return WorkerReports(
            supervisor=self.supervisor,
            sessions=self.sessions,
            policy=LoadPolicy(learns_speeds=tells_speed),
            metrics=Metrics(),
        )

    def add_owner(self, name: str) -> OwnerSession:
        session = OwnerSession(link=mock.Mock(), links=mock.Mock())
        self.sessions[name] = session
        return session

    def learn(self, slowness: float, *, name: str = "j") -> None:
        for number in range(100):
            self.supervisor.speeds.learn(f"{name}{number}", run_s=slowness, expected_s=1.0)

    def get_paces(self, session: OwnerSession) -> list[float]:
        sent = [call.args[0] for call in session.link.send.call_args_list]  # type: ignore[attr-defined]
        return [message.slowness for message in sent if isinstance(message, WorkerSlowness)]

    def test_all_owners_hear_once_and_when_it_changes(self) -> None:
        reports = self.make_reports()
        owners = [self.add_owner("o1"), self.add_owner("o2")]
        self.learn(1.67)
        for turn in range(50):
            reports.refresh(now=NOW + turn)
        self.learn(1.0, name="quick")
        for turn in range(50):
            reports.refresh(now=NOW + 50 + turn)
        for owner in owners:
            self.assertEqual([1.67, 1.0], self.get_paces(owner))

    def test_a_new_owner_hears_right_after_the_worker(self) -> None:
        reports = self.make_reports()
        self.learn(1.67)
        reports.refresh(now=NOW)
        owner = self.add_owner("new")
        reports.greet(owner, now=NOW + 1.0)
        first, second = [call.args[0] for call in owner.link.send.call_args_list[:2]]  # type: ignore[attr-defined]
        self.assertIsInstance(first, WorkerReport)
        self.assertEqual(WorkerSlowness(slowness=1.67, runs=96), second)

    def test_a_new_life_has_no_speed_yet(self) -> None:
        reports = self.make_reports()
        self.learn(1.67)
        reports.refresh(now=NOW)
        self.supervisor.lose_life(is_over=True)
        self.meet("i-2")
        owner = self.add_owner("new")
        reports.greet(owner, now=NOW + 1.0)
        self.assertEqual([], self.get_paces(owner))

    def test_without_the_setting_nothing_is_said(self) -> None:
        reports = self.make_reports(tells_speed=False)
        owner = self.add_owner("o1")
        self.learn(1.67)
        reports.refresh(now=NOW)
        reports.greet(owner, now=NOW)
        self.assertEqual([], self.get_paces(owner))


class FleetSpeedTests(AsyncTestCase):
    """Real links."""

    def get_told(self, fleet: LocalFleet, entry: int) -> list[float | None]:
        views = fleet.entries[entry]._scheduler.workers.values()
        return [view.told_speed.slowness if view.told_speed else None for view in views]

    def play(self, scenario, *, is_on: bool = True) -> None:
        settings = {"load": LoadSettings(learns_speeds=is_on)}

        async def run() -> None:
            with mock.patch("dalemast.core.supervision.speeds.FIRST_JOBS", FIRST_JOBS):
                async with LocalFleet(
                    entries=2, workers=1, agent_settings=settings, entry_settings=settings
                ) as fleet:
                    for number in range(FIRST_JOBS):
                        job = JOB.format(number)
                        await fleet.submit_like_a_caller(job, text=make_text(0.05))
                    await scenario(fleet)

        self.run_async(run())

    def test_entries_hear_it_also_those_that_restart(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            for entry in (0, 1):
                await wait_until(lambda e=entry: None not in self.get_told(fleet, e), "the word")
            before = self.get_told(fleet, 1)
            await fleet.entries.pop().close()
            await fleet.add_entry(fleet.entry_settings[1])
            await wait_until(lambda: self.get_told(fleet, 1) == before, "the word after a restart")

        self.play(scenario)

    def test_without_the_setting_nobody_hears_it(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            self.assertIsNotNone(fleet.agents[0]._supervisor.speeds.get_speed())
            self.assertEqual([None], self.get_told(fleet, 0))

        self.play(scenario, is_on=False)
