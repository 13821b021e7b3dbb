"""Tests of the placement that the settings select, and of where it sends jobs."""

from __future__ import annotations

import asyncio
import unittest

from dalemast.core.scheduling import BalancedPlacement, FastestPlacement
from dalemast.emulator import EmulatedWorker
from dalemast.fleet.entry.process import make_placement
from dalemast.settings import AddressSettings, FleetEntrySettings, ListenerSettings
from dalemast.settings.fleet import LoadSettings
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000e{}"
ANYWHERE = ListenerSettings(address="127.0.0.1:0")


def make_settings(**fields: object) -> FleetEntrySettings:
    return FleetEntrySettings(
        name="e",
        data_centre="austin",
        callers=ANYWHERE,
        readiness=ANYWHERE,
        links=ANYWHERE,
        metrics=ANYWHERE,
        store=AddressSettings(address="10.0.0.1:1"),
        **fields,  # type: ignore[arg-type]
    )


class PlacementTests(unittest.TestCase):
    def test_work_is_balanced_only_if_the_settings_say_so(self) -> None:
        self.assertIs(FastestPlacement, type(make_placement(make_settings())))
        balanced = make_settings(load=LoadSettings(balances=True))
        self.assertIs(BalancedPlacement, type(make_placement(balanced)))


class BalancedFleetTests(AsyncTestCase):
    def test_a_job_that_does_not_fit_near_goes_whole_to_the_other_data_centre(self) -> None:
        async def scenario() -> None:
            async with LocalFleet(
                entries=1,
                workers=2,
                data_centres=("austin", "waco"),
                entry_settings={"load": LoadSettings(balances=True)},
            ) as fleet:
                jobs = []
                for number in (1, 2):
                    job_id = JOB.format(number)
                    submitted = fleet.submit(job_id, text=make_text(1.0), count=3)
                    jobs.append(asyncio.create_task(submitted))
                    await wait_until(lambda j=job_id: len(fleet.get_running(j)) == 3, "the runs")
                near, far = fleet.workers
                self.assertEqual(3, count_runs(near, JOB.format(1)))
                self.assertEqual(3, count_runs(far, JOB.format(2)))
                placement = fleet.entries[0].get_state()["placement"]
                self.assertEqual({"austin", "waco"}, set(placement["planned"]))  # type: ignore[index]
                self.assertEqual([200, 200], [(await job).status for job in jobs])

        self.run_async(scenario())


def count_runs(worker: EmulatedWorker, job_id: str) -> int:
    """Return the number of running tasks of a job on a worker."""
    return sum(task.startswith(job_id) for task in worker.active_tasks)
