"""``dalemast samples``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.local.samples import SampleEndpoint, SampleState
from dalemast.process import BaseProcess, run_process

__all__ = ["SamplesCommand"]


class _SamplesProcess(BaseProcess):
    """Sample endpoints that share one state."""

    def __init__(self, *, addresses: list[str]) -> None:
        state = SampleState()
        self._endpoints = [
            SampleEndpoint(address=address, name=address, state=state) for address in addresses
        ]

    async def start(self) -> None:
        for endpoint in self._endpoints:
            endpoint.start()

    async def drain(self) -> None:
        """Nothing to wait for: agents end their calls first."""

    def get_unfinished(self) -> list[str]:
        return []

    async def close(self) -> None:
        for endpoint in self._endpoints:
            await endpoint.close()


@cappa.command(name="samples", help="Serve the sample services on one or more addresses.")
@dataclass(frozen=True, kw_only=True)
class SamplesCommand:
    """Serve the sample services."""

    addresses: Annotated[list[str], cappa.Arg(help="IP numbers with ports.")]

    def __call__(self) -> int:
        """Serve until SIGTERM."""
        return run_process(lambda: _SamplesProcess(addresses=self.addresses))
