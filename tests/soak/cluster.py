"""The real programs as processes, with emulated platform services and proxies between them."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

from dalemast.emulator import EmulatedStore, EmulatedWorker
from dalemast.http.client import HttpFailure, JsonClient
from tests.fleet.base import DATA_CENTRE, SERVICE, find_address, make_configuration
from tests.soak.proxy import Proxy

ROOT = Path(__file__).parents[2]
REGION = "texas"
LESS_URGENT_PREFIX = "/less-urgent/"
KINDS = "abc"
"""Labels of workers, one for each speed."""
EVACUATED = "waco"
"""Data centre of every other worker, which is evacuated from time to time."""


class Program:
    """A fleet process that can be killed, paused, stopped and restarted."""

    def __init__(self, *, role: str, name: str, folder: Path, settings: dict[str, Any]) -> None:
        self.name = name
        self._role = role
        self._log = (folder / f"{name}.log").open("ab")
        self._file = folder / f"{name}.yaml"
        self._file.write_text(yaml.safe_dump(settings))
        self.metrics = settings["metrics"]["address"]
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, unless an overlapping fault has already started it."""
        if self._process is not None and self._process.poll() is None:
            return
        environment = {**os.environ, "DALEMAST_BOOT": str(self._file)}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "dalemast", self._role],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def pid(self) -> int | None:
        """The id of the running process, or None if there is none."""
        if self._process is None or self._process.poll() is not None:
            return None
        return self._process.pid

    def describe(self) -> str:
        """Return the state of the process according to the operating system, or its exit code."""
        if self._process is None:
            return f"{self.name}: never started"
        code = self._process.poll()
        if code is not None:
            return f"{self.name}: exit code {code}"
        status = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        state = next(line for line in status if line.startswith("State:"))
        return f"{self.name}: process {self._process.pid}, {state}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only, if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self._process is not None
        while self._process.poll() is None:
            await asyncio.sleep(0.02)
        return int(self._process.returncode)

    async def end(self) -> None:
        """Kill the process and close its log."""
        self.signal(signal.SIGKILL)
        await self.wait()
        self._log.close()


class Cluster:
    """Entries, agents, workers and a store, on free ports.

    ``switches`` are the decisions under load that are enabled. ``speeds`` are assigned to workers
    in turn; workers of one speed share a label.
    """

    def __init__(
        self,
        *,
        folder: Path,
        entries: int,
        workers: int,
        keeps_ids: bool = False,
        switches: tuple[str, ...] = (),
        speeds: tuple[float, ...] = (1.0,),
    ) -> None:
        self._folder = folder
        self._load = {"load": dict.fromkeys(switches, True)} if switches else {}
        self._speeds = speeds
        self._keeps_ids = keeps_ids
        self._counts = (entries, workers)
        self.store = EmulatedStore(address="127.0.0.1:0")
        self.workers: list[EmulatedWorker] = []
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.callers: list[str] = []
        self.proxies: list[Proxy] = []
        self.links: list[Proxy] = []
        """The :attr:`proxies` in front of entries."""
        self.client = JsonClient()
        self.version = 7

    async def start(self) -> None:
        """Start all services and processes."""
        self.store.start()
        self._put_configuration()
        store = await self._add_proxy(self.store.address)
        links = []
        entries, workers = self._counts
        for number in range(entries):
            address = find_address()
            proxy = await self._add_proxy(address)
            self.links.append(proxy)
            links.append(proxy.address)
            self._add_entry(number, address, proxy.address, store.address)
        for number in range(workers):
            await self._add_worker(number, links[:1], store.address)
        for program in [*self.entries, *self.agents]:
            program.start()

    async def close(self) -> None:
        """Stop all services and processes."""
        for program in [*self.entries, *self.agents]:
            await program.end()
        for worker in self.workers:
            worker.is_closed = True
            await worker.crash()
        for proxy in self.proxies:
            await proxy.close()
        await self.store.close()

    def change_configuration(self) -> None:
        """Publish a new configuration version."""
        self.version += 3
        self._put_configuration()

    def count_preempted(self) -> int:
        """Return the number of preempted runs in the logs of the agents."""
        logs = self._folder.glob("agent-*.log")
        return sum(log.read_text().count('"run:preempted"') for log in logs)

    def _put_configuration(self) -> None:
        """Publish the configuration; under load it has a second, less urgent queue."""
        configuration = make_configuration(self.version)
        if self._load:
            urgent = configuration["routes"][0]
            less_urgent = {
                "name": "less-urgent",
                "path_prefix": LESS_URGENT_PREFIX,
                "priority": 2,
            }
            configuration["routes"].append({**urgent, **less_urgent})
        self.store.put("op", "config", configuration)

    def evacuate(self) -> None:
        """Evacuate a data centre: no task may be started there."""
        self.store.put("op", f"evacuate/{EVACUATED}", {})

    def end_evacuation(self) -> None:
        """End the evacuation."""
        self.store.drop("op", f"evacuate/{EVACUATED}")

    def get_slowness(self, worker: EmulatedWorker) -> float:
        """Return the run time factor of a worker without faults."""
        return 1.0 / self._speeds[self.workers.index(worker) % len(self._speeds)]

    def get_evacuated_workers(self) -> list[EmulatedWorker]:
        """Return the workers of the data centre that is evacuated from time to time."""
        return self.workers[1::2]

    async def get_state(self, program: Program) -> dict[str, Any] | None:
        """Return the state of a process, or None if it does not answer."""
        try:
            response = await self.client.request(
                "GET", f"http://{program.metrics}/state", timeout_s=0.5
            )
        except HttpFailure:
            return None
        return dict(response.decode(dict[str, Any]))

    async def _add_proxy(self, target: str) -> Proxy:
        proxy = Proxy(target=target)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    def _add_entry(self, number: int, links: str, advertised: str, store: str) -> None:
        callers = find_address()
        self.callers.append(callers)
        settings = {
            "name": f"entry-{number}",
            "data_centre": DATA_CENTRE,
            "data_centres": {DATA_CENTRE: REGION, EVACUATED: REGION},
            "callers": {"address": callers},
            "readiness": {"address": find_address()},
            "links": {"address": links},
            "advertised": advertised,
            "metrics": {"address": find_address()},
            "store": {"address": store},
            **self._load,
        }
        program = Program(
            role="fleet-entry", name=f"entry-{number}", folder=self._folder, settings=settings
        )
        self.entries.append(program)

    async def _add_worker(self, number: int, seeds: list[str], store: str) -> None:
        reports = find_address()
        data_centre = EVACUATED if number % 2 else DATA_CENTRE
        worker = EmulatedWorker(
            address=find_address(),
            report_to=reports,
            service=SERVICE,
            zone=data_centre,
            cpu=8000,
            keeps_id=self._keeps_ids,
        )
        worker.labels = (KINDS[number % len(self._speeds)], "r1")
        worker.start()
        self.workers.append(worker)
        worker.set_faults(slow=self.get_slowness(worker))
        proxy = await self._add_proxy(worker.address)
        worker.advertised = proxy.address
        settings = {
            "name": f"agent-{number}",
            "data_centre": data_centre,
            "registration": {"address": reports},
            "worker": {"address": proxy.address},
            "metrics": {"address": find_address()},
            "store": {"address": store},
            "seeds": seeds,
            **self._load,
        }
        program = Program(
            role="fleet-agent", name=f"agent-{number}", folder=self._folder, settings=settings
        )
        self.agents.append(program)
