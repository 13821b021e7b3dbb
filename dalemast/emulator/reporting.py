"""An emulated worker whose reports hold every field that the platform's pages give a worker."""

from __future__ import annotations

from typing import Any

from dalemast.emulator.worker import EmulatedWorker
from dalemast.http.client import HttpFailure
from dalemast.platform.wire import CapacityBody, Heartbeat, WorkerState

__all__ = ["ReportingWorker"]

VERSION = "v1"
SLOTS = 8
MEMORY_MB = 65536
REPORT_TIMEOUT_S = 1.0
"""Within this time a report has to be acknowledged; from the platform."""


class ReportingWorker(EmulatedWorker):
    """``advertised`` is where its agent calls it: its own address, or a proxy's in front of it."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.advertised = ""

    @property
    def report_to(self) -> str:
        """The address where it reports."""
        return self._report_to

    def make_report(self) -> Heartbeat:
        """Return the next report."""
        self._beats += 1
        return Heartbeat(
            service=self._service,
            address=self.advertised or self.address,
            zone=self._zone,
            version=VERSION,
            slots=SLOTS,
            state=WorkerState(self.state),
            cold_left_ms=0.0,
            seq=self._beats,
            capacity=CapacityBody(cpu=self._cpu, memory_mb=MEMORY_MB),
            labels=("a", "r1"),
            clock_ms=round(self._now() * 1000),
        )

    async def _beat(self) -> None:
        url = f"http://{self._report_to}/v1/Instances.Heartbeat/{self._life_id}"
        body = self.make_report()
        try:
            await self._client.request("POST", url, body=body, timeout_s=REPORT_TIMEOUT_S)
        except HttpFailure:
            # The agent may be down or restarting; the next report tells it all anew.
            return
