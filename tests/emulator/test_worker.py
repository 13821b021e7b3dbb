"""The emulated worker is told apart from all others."""

from __future__ import annotations

from dalemast.emulator import EmulatedWorker
from tests.base import AsyncTestCase

WORKERS = 100


class LifeTests(AsyncTestCase):
    def test_no_two_lives_share_an_id(self) -> None:
        """The soak's seed 640687: two workers under one id, and owners took them for one."""

        async def scenario() -> None:
            workers = [
                EmulatedWorker(
                    address="127.0.0.1:0", report_to="127.0.0.1:9", service="s", zone="z", cpu=1
                )
                for _ in range(WORKERS)
            ]
            ids = set()
            for worker in workers:
                worker.start()
                ids.add(worker.life_id)
                await worker.crash()
                worker.start()
                ids.add(worker.life_id)
                await worker.crash()
            self.assertEqual(2 * WORKERS, len(ids))

        self.run_async(scenario())
