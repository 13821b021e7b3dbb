"""What an agent takes from the reports of the worker on its host."""

from __future__ import annotations

import testtools

from dalemast.core.supervision import WorkerLife
from dalemast.platform import PlatformRegistration
from dalemast.platform.wire import CapacityBody, Heartbeat
from dalemast.settings import AddressSettings, FleetAgentSettings, ListenerSettings

ADDRESS = "10.1.0.14:8165"
LIFE = "i-7f3a91c2"


class Observer:
    """Notes what a registration tells, in order."""

    def __init__(self) -> None:
        self.lives: list[WorkerLife] = []
        self.lost: list[str] = []

    def meet_life(self, life: WorkerLife) -> None:
        self.lives.append(life)

    def lose_life(self, life_id: str) -> None:
        self.lost.append(life_id)


def make_settings() -> FleetAgentSettings:
    return FleetAgentSettings(
        name="side-austin-1",
        data_centre="austin",
        metrics=ListenerSettings(address="10.1.0.14:9100"),
        store=AddressSettings(address="10.200.1.7:8169"),
        registration=ListenerSettings(address="10.1.0.14:8166"),
        worker=AddressSettings(address=ADDRESS),
    )


class ReportTests(testtools.TestCase):
    def take(self, **fields: object) -> list[WorkerLife]:
        observer = Observer()
        registration = PlatformRegistration(settings=make_settings(), observer=observer)
        capacity = CapacityBody(cpu=4000, memory_mb=100)
        beat = Heartbeat(service="floor", zone="austin", seq=1, capacity=capacity, **fields)
        registration.take(LIFE, beat)
        return observer.lives

    def test_the_clock_of_the_worker_is_told_in_seconds(self) -> None:
        (life,) = self.take(clock_ms=482113.0)
        self.assertEqual(482.113, life.clock_s)

    def test_a_report_need_not_tell_a_clock(self) -> None:
        (life,) = self.take()
        self.assertIsNone(life.clock_s)
