"""Reports that another writer sends to the address where the worker on this host reports."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from dalemast.core.workloads import Resources
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.platform import PlatformRegistration
from tests.base import AsyncTestCase
from tests.fleet.base import find_address
from tests.platform.reports import LIFE, REQUIRED, Observer, make_report, make_settings

OTHER_LIFE = "i-00000001"
WRONG = {
    "service": 7,
    "addr": ["10.1.0.14:8165"],
    "zone": {"name": "austin"},
    "version": 1,
    "slots": "8",
    "state": True,
    "cold_left_ms": "soon",
    "seq": 4.5,
    "capacity": 16000,
    "labels": "a",
    "clock_ms": "482113",
    "remaining_ms": [],
}


class Station:
    """A registration over HTTP, and its observer."""

    def __init__(self) -> None:
        self.observer = Observer()
        self._address = find_address()
        self._client = JsonClient()
        settings = make_settings(self._address)
        self.registration = PlatformRegistration(settings=settings, observer=self.observer)

    async def __aenter__(self) -> Station:
        self.registration.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.registration.close()

    async def report(self, body: dict[str, Any] | bytes, life_id: str = LIFE) -> int:
        """Deliver a report and return the status."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self._call("Heartbeat", life_id, data)

    async def end(self, life_id: str = LIFE) -> int:
        """Deliver the word that a life ends."""
        return await self._call("Deregister", life_id, b"")

    async def _call(self, name: str, life_id: str, data: bytes) -> int:
        url = f"http://{self._address}/v1/Instances.{name}/{life_id}"
        return (await self._client.request("POST", url, body=data)).status


class ForeignReportTests(AsyncTestCase):
    def play(self, scenario: Callable[[Station], Awaitable[None]]) -> None:
        async def run() -> None:
            async with Station() as station:
                await scenario(station)

        self.run_async(run())

    def check_refused(self, station: Station, status: int, what: object) -> None:
        self.assertEqual((400, []), (status, station.observer.lives), what)

    def test_a_full_report_is_taken(self) -> None:
        async def scenario(station: Station) -> None:
            self.assertEqual(200, await station.report(make_report()))
            (life,) = station.observer.lives
            self.assertEqual((LIFE, "floor", "austin"), (life.id, life.service, life.data_centre))
            self.assertEqual(Resources(cpu=16000, memory_mb=32768), life.capacity)
            self.assertFalse(life.is_leaving)

        self.play(scenario)

    def test_a_report_without_a_field_that_every_worker_tells_is_passed_over(self) -> None:
        async def scenario(station: Station) -> None:
            for name in REQUIRED:
                report = make_report()
                del report[name]
                self.check_refused(station, await station.report(report), name)

        self.play(scenario)

    def test_fields_that_only_some_workers_tell_may_be_absent(self) -> None:
        async def scenario(station: Station) -> None:
            report = make_report(state="draining", seq=1)
            del report["clock_ms"]
            self.assertEqual(200, await station.report(report))
            self.assertTrue(station.observer.lives[0].is_leaving)
            self.assertEqual(200, await station.report(make_report(machine="m-008fe", seq=2)))

        self.play(scenario)

    def test_a_field_of_another_type_is_passed_over(self) -> None:
        async def scenario(station: Station) -> None:
            for name, value in WRONG.items():
                for wrong in (value, None):
                    report = make_report(**{name: wrong})
                    self.check_refused(station, await station.report(report), (name, wrong))

        self.play(scenario)

    def test_a_state_that_is_not_known_is_not_taken_as_ready(self) -> None:
        async def scenario(station: Station) -> None:
            for state in ("", "READY", "warming", "ready "):
                self.check_refused(station, await station.report(make_report(state=state)), state)

        self.play(scenario)

    def test_a_worker_elsewhere_is_not_this_hosts(self) -> None:
        async def scenario(station: Station) -> None:
            for fields in ({"addr": "10.1.0.15:8165"}, {"addr": ""}, {"zone": "waco"}):
                self.check_refused(station, await station.report(make_report(**fields)), fields)

        self.play(scenario)

    def test_bytes_that_are_no_report_are_passed_over(self) -> None:
        async def scenario(station: Station) -> None:
            deep = b'{"x":' * 10_000
            for body in (b"", b"\xff\xfe\x00", b'{"zone":"\xff"}', b"[]", b"null", b"{", deep):
                self.check_refused(station, await station.report(body), body[:20])
            self.assertEqual(200, await station.report(make_report()))

        self.play(scenario)

    def test_a_report_larger_than_any_workers_is_not_read(self) -> None:
        """An agent has 168 MB, and would hold a body of up to 100 MB in memory."""

        async def scenario(station: Station) -> None:
            with contextlib.suppress(HttpFailure):
                status = await station.report(make_report(note="x" * 1_000_000))
                self.assertEqual(400, status)
            self.assertEqual([], station.observer.lives)
            self.assertEqual(200, await station.report(make_report()))

        self.play(scenario)

    def test_numbers_that_no_worker_has_are_passed_over(self) -> None:
        async def scenario(station: Station) -> None:
            capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
            for fields in (
                {"seq": -1},
                {"seq": 10**30},
                {"clock_ms": -1},
                {"remaining_ms": 1e300},
                {"capacity": {**capacity, "cpu": 10**18}},
                {"capacity": {**capacity, "cpu": 0}},
                {"capacity": {**capacity, "mem_mb": -1}},
                {"capacity": {"gpu": 1}},
            ):
                self.check_refused(station, await station.report(make_report(**fields)), fields)

        self.play(scenario)

    def test_an_id_that_could_not_stand_in_a_header_is_passed_over(self) -> None:
        async def scenario(station: Station) -> None:
            for life_id in ("i-1%0d%0aX-Other:%201", "%ff%fe", "i%201", "i" * 1000):
                status = await station.report(make_report(), life_id)
                self.check_refused(station, status, life_id)

        self.play(scenario)

    def test_another_writers_number_does_not_silence_the_worker(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=4))
            await station.report(make_report(seq=2**40))
            await station.report(make_report(seq=5, state="draining"))
            self.assertTrue(station.observer.lives[-1].is_leaving)

        self.play(scenario)

    def test_another_account_of_a_known_life_changes_nothing(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=4))
            known = station.observer.lives[:]
            for fields in (
                {"capacity": {"cpu": 10, "mem_mb": 10}},
                {"service": "other"},
                {"labels": ["b"]},
            ):
                self.assertEqual(400, await station.report(make_report(seq=5, **fields)), fields)
            self.assertEqual(known, station.observer.lives)

        self.play(scenario)

    def test_a_late_report_is_acknowledged_and_not_told(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=5, state="draining"))
            self.assertEqual(200, await station.report(make_report(seq=4)))
            self.assertEqual([True], [life.is_leaving for life in station.observer.lives])

        self.play(scenario)


class ForeignEndTests(AsyncTestCase):
    play = ForeignReportTests.play

    def test_the_end_of_a_life_that_never_reported_is_not_told(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report())
            self.assertEqual(400, await station.end(OTHER_LIFE))
            self.assertEqual([], station.observer.lost)

        self.play(scenario)

    def test_an_end_without_notice_does_not_end_the_worker(self) -> None:
        """A worker says that it leaves before it says that it ends."""

        async def scenario(station: Station) -> None:
            await station.report(make_report())
            self.assertEqual(400, await station.end())
            self.assertEqual([], station.observer.lost)

        self.play(scenario)

    def test_an_announced_end_is_told(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(state="draining", remaining_ms=2000))
            self.assertEqual(200, await station.end())
            self.assertEqual([LIFE], station.observer.lost)

        self.play(scenario)
