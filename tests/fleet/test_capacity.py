"""A worker may change its capacity while it runs.

Owners that keep the first capacity send starts that are refused, or leave added capacity unused.
"""

from __future__ import annotations

import asyncio

from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import LocalFleet, make_text

JOB = "00000000000000c{}"
FULL = 4000
SMALL = 1000


def get_free(fleet: LocalFleet) -> list[int]:
    """Return the free capacity of each worker that the first entry knows."""
    workers = fleet.entries[0].get_state()["workers"]
    return [view["free_cpu"] for view in workers.values()]  # type: ignore[union-attr]


class CapacityTests(AsyncTestCase):
    def play(self, scenario) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                fleet.workers[0].set_cpu(FULL)
                await wait_until(lambda: get_free(fleet) == [FULL], "the capacity to be known")
                await scenario(fleet)

        self.run_async(run())

    async def shrink(self, fleet: LocalFleet, cpu: int) -> None:
        fleet.workers[0].set_cpu(cpu)
        await wait_until(lambda: max(get_free(fleet)) <= cpu, "the owner to know of it")

    async def submit_many(self, fleet: LocalFleet, count: int) -> int:
        """Submit jobs at the same time; return the maximum number of concurrent tasks."""
        max_running = 0

        def record_running(_: str) -> None:
            nonlocal max_running
            max_running = max(max_running, len(fleet.workers[0].active_tasks))

        fleet.workers[0].on_start = record_running
        jobs = [fleet.submit(JOB.format(n), text=make_text(0.1)) for n in range(count)]
        answers = await asyncio.gather(*jobs)
        self.assertIn(200, [answer.status for answer in answers])
        return max_running

    def test_starts_are_limited_to_the_reduced_capacity(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            self.assertEqual(4, await self.submit_many(fleet, 4))
            await self.shrink(fleet, SMALL)
            self.assertEqual(1, await self.submit_many(fleet, 3))

        self.play(scenario)

    def test_runs_go_on_and_no_further_ones_start(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            job = asyncio.create_task(fleet.submit(JOB.format("a"), text=make_text(4.0), count=3))
            await wait_until(lambda: len(fleet.workers[0].active_tasks) == 3, "the runs")
            fleet.workers[0].set_cpu(SMALL)
            await wait_until(lambda: get_free(fleet) == [SMALL - 3000], "the owner to know of it")
            self.assertEqual(3, len(fleet.workers[0].active_tasks))
            self.assertEqual(200, (await job).status)
            self.assertEqual(3, len(fleet.workers[0].started))

        self.play(scenario)

    def test_added_capacity_is_used(self) -> None:
        async def scenario(fleet: LocalFleet) -> None:
            await self.shrink(fleet, SMALL)
            fleet.workers[0].set_cpu(2 * FULL)
            await wait_until(lambda: get_free(fleet) == [2 * FULL], "the owner to know of it")
            self.assertEqual(8, await self.submit_many(fleet, 8))

        self.play(scenario)
