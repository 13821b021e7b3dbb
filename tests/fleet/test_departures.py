"""Workers that announce their departure while they have runs that take longer."""

from __future__ import annotations

import asyncio

from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000d{}"
RUN_S = 3.5
NOTICE_S = 2.0


def get_leaving(fleet: LocalFleet) -> list[float]:
    """Return the time left for each worker that the entry knows to be leaving."""
    workers = fleet.entries[0].get_state()["workers"]
    times = [view["leaves_in_s"] for view in workers.values()]  # type: ignore[union-attr]
    return [time_s for time_s in times if time_s is not None]


class DepartureTests(AsyncTestCase):
    def play(self, scenario, *, plans_departures: bool) -> None:
        load = {"load": LoadSettings(plans_departures=plans_departures)}

        async def run() -> None:
            async with LocalFleet(
                entries=1, workers=2, agent_settings=load, entry_settings=load
            ) as fleet:
                await scenario(fleet)

        self.run_async(run())

    async def begin(self, fleet: LocalFleet) -> asyncio.Task:
        """Start a long run, and let its worker announce its departure."""
        estimate_ms = RUN_S * 1000
        job = asyncio.create_task(
            fleet.submit(JOB.format(1), text=make_text(RUN_S), estimate_ms=estimate_ms)
        )
        await wait_until(lambda: bool(fleet.get_started(JOB.format(1))), "the run")
        worker = self.get_busy(fleet)
        worker.state = "draining"
        worker.remaining_s = NOTICE_S
        return job

    def get_busy(self, fleet: LocalFleet):
        return next(worker for worker in fleet.workers if worker.active_tasks)

    def test_a_run_is_moved_to_another_worker(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = await self.begin(fleet)
            leaving = self.get_busy(fleet)
            await wait_until(lambda: len(fleet.get_started(JOB.format(1))) == 2, "the move")
            self.assertEqual([], list(leaving.active_tasks))
            self.assertEqual(1, len(get_leaving(fleet)))
            metrics = fleet.entries[0]._metrics
            self.assertEqual(1, metrics.get_count("runs.moved.leaving"))
            self.assertGreater(metrics.get_count("core-ms.lost.leaving"), 0)
            await leaving.crash()
            self.assertEqual(200, (await job).status)
            self.assertEqual(2, len(fleet.get_started(JOB.format(1))))

        self.play(scenario, plans_departures=True)

    def test_a_withdrawn_announcement_is_dropped(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            worker = fleet.workers[0]
            worker.state, worker.remaining_s = "draining", NOTICE_S
            await wait_until(lambda: len(get_leaving(fleet)) == 1, "the notice")
            worker.state, worker.remaining_s = "ready", None
            await wait_until(lambda: get_leaving(fleet) == [], "its end")

        self.play(scenario, plans_departures=True)

    def test_without_the_setting_nothing_is_reported_or_moved(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = await self.begin(fleet)
            self.assertEqual(200, (await job).status)
            self.assertEqual([], get_leaving(fleet))
            self.assertEqual(1, len(fleet.get_started(JOB.format(1))))

        self.play(scenario, plans_departures=False)
