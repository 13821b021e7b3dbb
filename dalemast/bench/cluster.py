"""Start and stop real processes of every role on loopback, for measurements."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from dalemast.core.configuration import Account, Endpoint, EndpointState, Limits, Service
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.http.security import get_token_digest
from dalemast.local.process import HALLS
from dalemast.settings import AgentSettings, EntrySettings, PlatformServerSettings

__all__ = ["Cluster", "ClusterShape", "Role"]

START_LIMIT_S = 180.0
"""Longest wait for a process to answer. On a host crowded with six busy processes a core, a start
of Python with its imports takes longer than 20 s."""
START_PROCESSOR_S = 20.0
"""Processor time within which a process must answer after its start; it takes about one second."""
PROCESSES = 4
"""Processes that the sample endpoints are spread over, so that none is a bottleneck."""

KEY_VARIABLE = "DALEMAST_SYSTEM_KEY"
SERVICES = ("sleep-card", "sleep-trail", "count", "fail", "echo")


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterShape:
    """What to start. Delays are one way, in milliseconds; policy holds settings of the entries."""

    workers: int = 11
    slots: int = 8
    entries: int = 2
    far_ms: float = 0.5
    queue_limit: int = 1
    is_holding_answers: bool = True
    policy: dict[str, Any] = field(default_factory=dict)
    limits: dict[str, Limits] = field(default_factory=dict)
    leaving: tuple[str, ...] = ()


class Role:
    """One started process."""

    def __init__(self, *, name: str, arguments: list[str], environment: dict[str, str]) -> None:
        self.name = name
        self._arguments = arguments
        self._environment = environment
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "dalemast", *self._arguments],
            env={**os.environ, **self._environment},
            stdin=subprocess.DEVNULL,
        )

    def check(self) -> None:
        """Raise :class:`TimeoutError` if it has ended, or has run for long enough to answer."""
        assert self._process is not None
        if self._process.poll() is not None:
            raise TimeoutError(f"{self.name} ended with {self._process.returncode}")
        used_s = _get_processor_s(self._process.pid)
        if used_s > START_PROCESSOR_S:
            raise TimeoutError(f"{self.name} does not answer after {used_s:.1f} s of processor")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to end and return its exit code; kill it after the time."""
        if self._process is None:
            return 0
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()


def _get_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, from its kernel's account of it."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def reserve_ports(count: int) -> list[socket.socket]:
    """Return bound sockets that reserve their ports for listeners until they are closed.

    A listener can bind such a port again and again, as it sets SO_REUSEADDR too. The kernel does
    not assign it to an outgoing connection while a role that is restarted is down.
    """
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    return sockets


class Cluster:
    """Platform stand-in, sample endpoints, agents and entries, as processes of their own."""

    def __init__(self, shape: ClusterShape) -> None:
        self.shape = shape
        self.client = JsonClient()
        self._directory = tempfile.TemporaryDirectory(prefix="dalemast-bench-")
        self._reserved = reserve_ports(1 + 3 * shape.workers + 2 * shape.entries)
        self._ports = iter([one.getsockname()[1] for one in self._reserved])
        self._environment = {KEY_VARIABLE: secrets.token_hex(16)}
        self.platform_address = self._next_address()
        self.sample_addresses = [self._next_address() for _ in range(shape.workers)]
        self.link_addresses = [self._next_address() for _ in range(shape.workers)]
        self.agent_addresses = [self._next_address() for _ in range(shape.workers)]
        self.caller_addresses = [self._next_address() for _ in range(shape.entries)]
        self.entry_addresses = [self._next_address() for _ in range(shape.entries)]
        self.platform = self._make_platform()
        self.samples = [
            self._make_role(
                f"samples-{first}", ["samples", *self.sample_addresses[first::PROCESSES]]
            )
            for first in range(min(PROCESSES, shape.workers))
        ]
        self.agents = [self._make_agent(number) for number in range(shape.workers)]
        self.entries = [self._make_entry(number) for number in range(shape.entries)]

    @property
    def system_key(self) -> bytes:
        """The key that the processes of this cluster share."""
        return self._environment[KEY_VARIABLE].encode()

    @property
    def roles(self) -> list[Role]:
        """All processes."""
        return [self.platform, *self.samples, *self.agents, *self.entries]

    async def __aenter__(self) -> Cluster:
        for role in (self.platform, *self.samples, *self.agents):
            role.start()
        await self._wait_for(self.platform, self.platform_address, "/v1/usage")
        await self._list_hosts()
        self.entries[0].start()
        await self._wait_for(self.entries[0], self.entry_addresses[0], "/v1/health")
        await self._declare()
        for entry in self.entries[1:]:
            entry.start()
        for address in self.entry_addresses:
            await self.wait_for_links(address)
        return self

    async def __aexit__(self, *error: object) -> None:
        for role in self.roles:
            role.signal(signal.SIGCONT)
        for role in self.entries:
            role.signal(signal.SIGKILL)
        for role in self.roles:
            role.signal(signal.SIGKILL)
        for role in self.roles:
            role.wait(5.0)
        for one in self._reserved:
            one.close()
        self._directory.cleanup()

    def get_endpoint_name(self, number: int) -> str:
        """Return the name of an endpoint."""
        return f"{HALLS[number % len(HALLS)]}-{number}"

    async def get(self, address: str, path: str) -> Any:
        """Read JSON from a process."""
        response = await self.client.request("GET", f"http://{address}{path}", timeout_s=10.0)
        return msgspec.json.decode(response.body)

    async def put(self, address: str, path: str, body: object) -> Any:
        """Write JSON to a process."""
        response = await self.client.request(
            "PUT", f"http://{address}{path}", body=body, timeout_s=10.0
        )
        return msgspec.json.decode(response.body)

    async def set_endpoint(self, number: int, **control: Any) -> None:
        """Make a sample endpoint slow or failing."""
        await self.put(self.sample_addresses[number], "/control", control)

    async def count_starts(self) -> tuple[int, int]:
        """Return how many tasks were started at all endpoints, and how many of them again."""
        starts: Counter[str] = Counter()
        for address in self.sample_addresses[:PROCESSES]:
            answer = await self.get(address, "/control?all=1")
            starts.update(answer["tasks"])
        return starts.total(), sum(count - 1 for count in starts.values())

    async def set_faults(self, **faults: Any) -> None:
        """Set the faults of the platform stand-in."""
        await self.put(self.platform_address, "/v1/faults", faults)

    async def apply_endpoints(self, *, leaving: frozenset[int] = frozenset()) -> int:
        """Declare the endpoints anew, some of them leaving; return the accepted version."""
        address = self.entry_addresses[0]
        current = await self.get(address, "/v1/configuration")
        endpoints = [
            msgspec.to_builtins(self._describe(number, is_leaving=number in leaving))
            for number in range(self.shape.workers)
        ]
        body = {"version": current["version"], "kinds": {"endpoints": endpoints}}
        answer = await self.put(address, "/v1/configuration", body)
        return int(answer["version"])

    async def wait_for_links(self, address: str) -> None:
        """Wait until an entry has greeted every agent."""
        give_up_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < give_up_at:
            with contextlib.suppress(HttpFailure):
                state = await self.get(address, "/v1/state")
                linked = [worker for worker in state["workers"] if worker["is_linked"]]
                if len(linked) == self.shape.workers:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{address} has not reached every agent")

    async def _wait_for(self, role: Role, address: str, path: str) -> None:
        give_up_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < give_up_at:
            role.check()
            with contextlib.suppress(HttpFailure):
                await self.get(address, path)
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{role.name} at {address} does not answer")

    async def _list_hosts(self) -> None:
        for number, address in enumerate(self.entry_addresses):
            name = f"entry-{number + 1}"
            host = {"name": name, "role": "entry", "address": address}
            await self.put(self.platform_address, f"/v1/hosts/{name}", host)

    async def _declare(self) -> None:
        accounts = [
            Account(
                name=name,
                token_sha256=(get_token_digest(f"{name}-token"),),
                limits=self.shape.limits.get(name, Limits()),
            )
            for name in ("card", "trail", "rival")
        ]
        kinds = {
            "accounts": msgspec.to_builtins(accounts),
            "services": msgspec.to_builtins([Service(name=name) for name in SERVICES]),
            "endpoints": [
                msgspec.to_builtins(self._describe(number)) for number in range(self.shape.workers)
            ],
        }
        body = {"version": 0, "kinds": kinds}
        answer = await self.put(self.entry_addresses[0], "/v1/configuration", body)
        if "version" not in answer:
            raise RuntimeError(f"the configuration was refused: {answer}")

    def _describe(self, number: int, *, is_leaving: bool = False) -> Endpoint:
        hall = HALLS[number % len(HALLS)]
        name = self.get_endpoint_name(number)
        return Endpoint(
            name=name,
            worker=name,
            data_centre=hall,
            agent=self.link_addresses[number],
            services=SERVICES,
            labels={"hall": hall, "rack": f"{hall}-{number // 9}"},
            slots=self.shape.slots,
            state=EndpointState.LEAVING if is_leaving else EndpointState.LIVE,
        )

    def _next_address(self) -> str:
        return f"127.0.0.1:{next(self._ports)}"

    def _make_role(self, name: str, arguments: list[str]) -> Role:
        return Role(name=name, arguments=arguments, environment=self._environment)

    def _make_platform(self) -> Role:
        settings = {"listen": {"address": self.platform_address}}
        return self._make_settings_role("platform", "platform", settings, PlatformServerSettings)

    def _make_agent(self, number: int) -> Role:
        settings = {
            "name": self.get_endpoint_name(number),
            "worker": self.get_endpoint_name(number),
            "data_centre": HALLS[number % len(HALLS)],
            "link": {"address": self.link_addresses[number]},
            "operators": {"address": self.agent_addresses[number]},
            "endpoint_url": f"http://{self.sample_addresses[number]}/",
            "slots": self.shape.slots,
            "queue_limit": self.shape.queue_limit,
            "is_holding_answers": self.shape.is_holding_answers,
            "emulation": {"far_ms": self.shape.far_ms},
        }
        return self._make_settings_role(f"agent-{number}", "agent", settings, AgentSettings)

    def _make_entry(self, number: int) -> Role:
        settings = {
            "name": f"entry-{number + 1}",
            "data_centre": HALLS[number % len(HALLS)],
            "callers": {"address": self.caller_addresses[number]},
            "operators": {"address": self.entry_addresses[number]},
            "peers": self.entry_addresses,
            "platform": {"url": f"http://{self.platform_address}"},
            "policy": {"queue_limit": self.shape.queue_limit, **self.shape.policy},
            "emulation": {"far_ms": self.shape.far_ms},
        }
        return self._make_settings_role(f"entry-{number}", "entry", settings, EntrySettings)

    def _make_settings_role(
        self, name: str, command: str, settings: dict[str, Any], settings_type: Any
    ) -> Role:
        msgspec.convert(settings, settings_type)
        file = Path(self._directory.name) / f"{name}.yaml"
        file.write_bytes(msgspec.yaml.encode(settings))
        return self._make_role(name, [command, "--settings", str(file)])
