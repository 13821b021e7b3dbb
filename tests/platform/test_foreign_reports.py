"""Foreign reports sent to the registration address of the worker on this host."""

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
from tests.platform.reports import REQUIRED, WORKER_ID, Observer, make_report, make_settings

OTHER_ID = "i-00000001"
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
    """An HTTP registration server, its observer, and a client that sends reports."""

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

    async def report(self, body: dict[str, Any] | bytes, worker_id: str = WORKER_ID) -> int:
        """Send a report and return the status."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self._call("Heartbeat", worker_id, data)

    async def deregister(self, worker_id: str = WORKER_ID) -> int:
        """Send a deregistration and return the status."""
        return await self._call("Deregister", worker_id, b"")

    async def _call(self, name: str, worker_id: str, data: bytes) -> int:
        url = f"http://{self._address}/v1/Instances.{name}/{worker_id}"
        return (await self._client.request("POST", url, body=data)).status


class ForeignReportTests(AsyncTestCase):
    def play(self, scenario: Callable[[Station], Awaitable[None]]) -> None:
        async def run() -> None:
            async with Station() as station:
                await scenario(station)

        self.run_async(run())

    def check_rejected(self, station: Station, status: int, what: object) -> None:
        self.assertEqual((400, []), (status, station.observer.incarnations), what)

    def test_a_complete_report_is_accepted(self) -> None:
        async def scenario(station: Station) -> None:
            self.assertEqual(200, await station.report(make_report()))
            (incarnation,) = station.observer.incarnations
            self.assertEqual(
                (WORKER_ID, "floor", "austin"),
                (incarnation.id, incarnation.service, incarnation.data_centre),
            )
            self.assertEqual(Resources(cpu=16000, memory_mb=32768), incarnation.capacity)
            self.assertFalse(incarnation.is_leaving)

        self.play(scenario)

    def test_a_report_without_a_required_field_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            for name in REQUIRED:
                report = make_report()
                del report[name]
                self.check_rejected(station, await station.report(report), name)

        self.play(scenario)

    def test_optional_fields_may_be_absent(self) -> None:
        async def scenario(station: Station) -> None:
            report = make_report(state="draining", seq=1)
            del report["clock_ms"]
            self.assertEqual(200, await station.report(report))
            self.assertTrue(station.observer.incarnations[0].is_leaving)
            self.assertEqual(200, await station.report(make_report(machine="m-008fe", seq=2)))

        self.play(scenario)

    def test_a_field_of_the_wrong_type_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            for name, value in WRONG.items():
                for wrong in (value, None):
                    report = make_report(**{name: wrong})
                    self.check_rejected(station, await station.report(report), (name, wrong))

        self.play(scenario)

    def test_an_unknown_state_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            for state in ("", "READY", "warming", "ready "):
                self.check_rejected(station, await station.report(make_report(state=state)), state)

        self.play(scenario)

    def test_a_worker_at_another_address_or_in_another_data_centre_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            for fields in ({"addr": "10.1.0.15:8165"}, {"addr": ""}, {"zone": "waco"}):
                self.check_rejected(station, await station.report(make_report(**fields)), fields)

        self.play(scenario)

    def test_bytes_that_are_not_a_report_are_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            deep = b'{"x":' * 10_000
            for body in (b"", b"\xff\xfe\x00", b'{"zone":"\xff"}', b"[]", b"null", b"{", deep):
                self.check_rejected(station, await station.report(body), body[:20])
            self.assertEqual(200, await station.report(make_report()))

        self.play(scenario)

    def test_an_oversized_report_is_not_read(self) -> None:
        """Without the limit, a large body would exhaust the agent's memory."""

        async def scenario(station: Station) -> None:
            with contextlib.suppress(HttpFailure):
                status = await station.report(make_report(note="x" * 1_000_000))
                self.assertEqual(400, status)
            self.assertEqual([], station.observer.incarnations)
            self.assertEqual(200, await station.report(make_report()))

        self.play(scenario)

    def test_numbers_out_of_range_are_rejected(self) -> None:
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
                self.check_rejected(station, await station.report(make_report(**fields)), fields)

        self.play(scenario)

    def test_an_id_that_is_invalid_in_a_header_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            for worker_id in ("i-1%0d%0aX-Other:%201", "%ff%fe", "i%201", "i" * 1000):
                status = await station.report(make_report(), worker_id)
                self.check_rejected(station, status, worker_id)

        self.play(scenario)

    def test_a_foreign_report_number_does_not_hide_the_workers_reports(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=4))
            await station.report(make_report(seq=2**40))
            await station.report(make_report(seq=5, state="draining"))
            self.assertTrue(station.observer.incarnations[-1].is_leaving)

        self.play(scenario)

    def test_changed_properties_of_a_known_incarnation_are_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=4))
            known = station.observer.incarnations[:]
            for fields in (
                {"capacity": {"cpu": 10, "mem_mb": 10}},
                {"service": "other"},
                {"labels": ["b"]},
            ):
                self.assertEqual(400, await station.report(make_report(seq=5, **fields)), fields)
            self.assertEqual(known, station.observer.incarnations)

        self.play(scenario)

    def test_a_late_report_is_acknowledged_and_ignored(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(seq=5, state="draining"))
            self.assertEqual(200, await station.report(make_report(seq=4)))
            self.assertEqual(
                [True], [incarnation.is_leaving for incarnation in station.observer.incarnations]
            )

        self.play(scenario)


class ForeignDeregistrationTests(AsyncTestCase):
    play = ForeignReportTests.play

    def test_a_deregistration_of_an_unknown_worker_is_rejected(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report())
            self.assertEqual(400, await station.deregister(OTHER_ID))
            self.assertEqual([], station.observer.lost)

        self.play(scenario)

    def test_an_unannounced_deregistration_does_not_end_the_worker(self) -> None:
        """A worker reports that it is leaving before it deregisters."""

        async def scenario(station: Station) -> None:
            await station.report(make_report())
            self.assertEqual(400, await station.deregister())
            self.assertEqual([], station.observer.lost)

        self.play(scenario)

    def test_an_announced_deregistration_ends_the_worker(self) -> None:
        async def scenario(station: Station) -> None:
            await station.report(make_report(state="draining", remaining_ms=2000))
            self.assertEqual(200, await station.deregister())
            self.assertEqual([WORKER_ID], station.observer.lost)

        self.play(scenario)
