"""Entry, agents, sample endpoints and an in-memory platform in one event loop."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from importlib import resources

import msgspec
import yaml

from dalemast.agent import AgentProcess
from dalemast.core.configuration import Configuration, Endpoint, parse_items
from dalemast.entry import EntryProcess
from dalemast.entry.configuration import ConfigurationStore
from dalemast.hosting import BasePlatform, Host, HostRole, MemoryPlatform
from dalemast.local.samples import SAMPLE_SERVICES, SampleEndpoint, SampleState
from dalemast.process import BaseProcess
from dalemast.settings import (
    AgentSettings,
    EntrySettings,
    ListenerSettings,
    LogSettings,
    PolicySettings,
)

__all__ = ["HALLS", "LocalProcess", "load_sample_configuration"]

HALLS = ("austin", "waco", "temple")
ENDPOINTS_PER_HALL = 3
FREE_ADDRESS = "127.0.0.1:0"


def load_sample_configuration() -> Configuration:
    """Return the sample configuration: accounts, services and limits, but no endpoints."""
    text = resources.files("dalemast.local").joinpath("sample.yaml").read_text()
    kinds = yaml.safe_load(text)
    return Configuration(**{kind: parse_items(kind, items) for kind, items in kinds.items()})


class LocalProcess(BaseProcess):
    """The whole system in one process, for demonstration and tests.

    ``callers`` and ``operators`` are the addresses of the first of ``entry_count`` entries.
    """

    def __init__(
        self,
        *,
        callers: str = "127.0.0.1:8700",
        operators: str = "127.0.0.1:8701",
        entry_count: int = 1,
        endpoints_per_hall: int = ENDPOINTS_PER_HALL,
        slots: int = 8,
        policy: PolicySettings | None = None,
        log: LogSettings | None = None,
        platform: MemoryPlatform | None = None,
        wrap_platform: Callable[[MemoryPlatform], BasePlatform] | None = None,
    ) -> None:
        self.platform = platform or MemoryPlatform()
        self.samples = SampleState()
        self._wrap_platform = wrap_platform
        self._callers = callers
        self._operators = operators
        self._entry_count = entry_count
        self._endpoints_per_hall = endpoints_per_hall
        self._slots = slots
        self._policy = policy or PolicySettings()
        self._log = log or LogSettings()
        self._system_key = secrets.token_bytes(32)
        self.endpoints: list[SampleEndpoint] = []
        self.agents: list[AgentProcess] = []
        self.entries: list[EntryProcess] = []

    @property
    def callers_address(self) -> str:
        """The address at which callers connect."""
        return self.entries[0].callers_address

    @property
    def operators_address(self) -> str:
        """The address at which operators connect."""
        return self.entries[0].operators_address

    async def start(self) -> None:
        """Start endpoints and agents, write the configuration, and start the entries."""
        declared = []
        for hall in HALLS:
            for number in range(self._endpoints_per_hall):
                declared.append(await self._start_endpoint(hall, number + 1))
        sample = load_sample_configuration()
        await ConfigurationStore(table=self.platform.table).replace(
            expected_version=0,
            kinds={
                "accounts": msgspec.to_builtins(sample.accounts),
                "services": msgspec.to_builtins(sample.services),
                "limits": msgspec.to_builtins(sample.limits),
                "endpoints": [msgspec.to_builtins(endpoint) for endpoint in declared],
            },
        )
        for number in range(self._entry_count):
            await self.start_entry(number + 1)
        await self._wait_for_links()

    async def start_entry(self, number: int) -> EntryProcess:
        """Start one more entry."""
        is_first = number == 1
        platform = self._wrap_platform(self.platform) if self._wrap_platform else self.platform
        settings = EntrySettings(
            name=f"entry-{number}",
            data_centre=HALLS[(number - 1) % len(HALLS)],
            callers=ListenerSettings(address=self._callers if is_first else FREE_ADDRESS),
            operators=ListenerSettings(address=self._operators if is_first else FREE_ADDRESS),
            policy=self._policy,
            log=self._log,
            peers=tuple(entry.operators_address for entry in self.entries),
            poll_interval_s=0.2,
        )
        entry = EntryProcess(settings=settings, platform=platform, system_key=self._system_key)
        self.platform.hosts.set_host(
            Host(name=settings.name, role=HostRole.ENTRY, address=entry.operators_address)
        )
        self.entries.append(entry)
        await entry.start()
        return entry

    async def drain(self) -> None:
        """Drain the entries, then the agents."""
        await asyncio.gather(*(entry.drain() for entry in self.entries))
        await asyncio.gather(*(agent.drain() for agent in self.agents))

    def get_unfinished(self) -> list[str]:
        """Describe the unfinished work of all processes."""
        processes: list[BaseProcess] = [*self.entries, *self.agents]
        return [item for process in processes for item in process.get_unfinished()]

    async def close(self) -> None:
        """Close all entries, agents and endpoints."""
        for entry in self.entries:
            await entry.close()
        for agent in self.agents:
            await agent.close()
        for endpoint in self.endpoints:
            await endpoint.close()

    async def _start_endpoint(self, hall: str, number: int) -> Endpoint:
        name = f"{hall}-{number}"
        endpoint = SampleEndpoint(address=FREE_ADDRESS, name=name, state=self.samples)
        endpoint.start()
        self.endpoints.append(endpoint)
        agent = AgentProcess(
            settings=AgentSettings(
                name=name,
                worker=name,
                data_centre=hall,
                link=ListenerSettings(address=FREE_ADDRESS),
                operators=ListenerSettings(address=FREE_ADDRESS),
                endpoint_url=endpoint.url,
                slots=self._slots,
                queue_limit=self._policy.queue_limit,
            ),
            system_key=self._system_key,
        )
        self.agents.append(agent)
        await agent.start()
        return Endpoint(
            name=name,
            worker=name,
            data_centre=hall,
            agent=agent.link_address,
            services=SAMPLE_SERVICES,
            labels={"hall": hall, "rack": f"{hall}-r1"},
            slots=self._slots,
        )

    async def _wait_for_links(self) -> None:
        """Wait until every entry is linked to every agent, so that the first job can use them."""
        while not all(
            view.is_linked for entry in self.entries for view in entry.engine.owner.pool.get_views()
        ):
            await asyncio.sleep(0.005)
