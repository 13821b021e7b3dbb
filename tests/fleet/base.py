"""A fleet in one event loop: emulated store and workers, real entries and agents."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from dalemast.emulator import EmulatedStore, EmulatedWorker
from dalemast.fleet.agent import FleetAgentProcess
from dalemast.fleet.entry import FleetEntryProcess
from dalemast.fleet.process import PROCESS_PAUSES
from dalemast.http.client import HttpFailure, JsonClient, JsonResponse
from dalemast.platform.wire import DEADLINE_HEADER
from dalemast.settings import (
    AddressSettings,
    FleetAgentSettings,
    FleetEntrySettings,
    ListenerSettings,
)
from tests.base import wait_until

DATA_CENTRE = "austin"
SERVICE = "floor"
HOST = "draws.example"
PREFIX = "/draws/"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 100}
GIVEN_UP = 502
REFUSED = 503
HELD_PORTS = 400
_held: deque[socket.socket] = deque(maxlen=HELD_PORTS)
"""Bound sockets with SO_REUSEADDR that reserve the ports of :func:`find_address`. A listener can
bind such a port, but the system does not use it for other sockets ("address already in use")."""


def find_address() -> str:
    """Return an address with a free port that is reserved for a listener."""
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    probe.bind(("127.0.0.1", 0))
    if len(_held) == HELD_PORTS:
        _held[0].close()
    _held.append(probe)
    return f"127.0.0.1:{probe.getsockname()[1]}"


def make_configuration(version: int, **route: Any) -> dict[str, Any]:
    """Return a configuration with one route; arguments replace fields of the route."""
    row = {
        "name": "draws",
        "host": HOST,
        "path_prefix": PREFIX,
        "service": SERVICE,
        "attempts": 2,
        "stretch": 1.6,
        "slo_ms": 500,
    }
    routes = [{**row, **route}]
    return {"version": version, "routes": routes, "services": [{"name": SERVICE}], "limits": {}}


def make_body(*, text: str = "", count: int = 1, **step: Any) -> dict[str, Any]:
    """Return the body of a best-effort job with one step; arguments replace its fields."""
    return {"spec": text, "steps": [{**STEP, "count": count, **step}], "best_effort": True}


class CallerConnection:
    """A persistent connection of a caller."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, job_id: str, **job: Any) -> None:
        """Send a job's submission."""
        body = msgspec.json.encode(make_body(**job))
        head = f"POST {PREFIX}{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        self.writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def read_status(self) -> int:
        """Read one response and return its status."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0])
        await self.reader.readexactly(length)
        return int(head.split(" ")[1])


class LocalFleet:
    """Entries, agents with their workers, and a store, as a context manager.

    ``links_per_agent`` is the number of entries that are linked with each agent once the fleet is
    ready; it has to be given if ``agent_settings`` limit the links. ``make_proxy`` starts a proxy
    for an address of links, workers or the store, and returns its address. ``data_centres`` are
    assigned to workers in turn. ``documents`` are operators' documents, by key, that are in the
    store besides the configuration before any process starts.
    """

    def __init__(
        self,
        *,
        entries: int = 2,
        workers: int = 2,
        cpu: int = 4000,
        agent_settings: dict[str, Any] | None = None,
        entry_settings: dict[str, Any] | None = None,
        links_per_agent: int | None = None,
        make_proxy: Callable[[str], Awaitable[str]] | None = None,
        data_centres: tuple[str, ...] = (DATA_CENTRE,),
        documents: dict[str, Any] | None = None,
    ) -> None:
        self.store = EmulatedStore(address="127.0.0.1:0")
        self._entry_count = entries
        self._worker_count = workers
        self._cpu = cpu
        self._agent_settings = agent_settings or {}
        self._entry_settings = entry_settings or {}
        self._links_per_agent = entries if links_per_agent is None else links_per_agent
        self._make_proxy = make_proxy
        self._data_centres = data_centres
        self._documents = documents or {}
        self.entries: list[FleetEntryProcess] = []
        self.agents: list[FleetAgentProcess] = []
        self.workers: list[EmulatedWorker] = []
        self.client = JsonClient()

    async def __aenter__(self) -> LocalFleet:
        self.store.start()
        self.store.put("op", "config", make_configuration(7))
        for key, document in self._documents.items():
            self.store.put("op", key, document)
        self._store_address = await self._get_public_address(self.store.address)
        self.entry_settings = [await self._make_entry(n) for n in range(self._entry_count)]
        for settings in self.entry_settings:
            await self.add_entry(settings)
        for number in range(self._worker_count):
            await self._add_worker(number)
        try:
            await wait_until(self.is_ready, "the fleet to be ready")
        except AssertionError as error:
            states = [process.get_state() for process in [*self.entries, *self.agents]]
            books = [process._book.addresses for process in [*self.entries, *self.agents]]
            raise AssertionError(f"{error}: {states}, known addresses {books}") from error
        return self

    async def __aexit__(self, *error: object) -> None:
        for worker in self.workers:
            await worker.crash()
        for process in [*self.entries, *self.agents]:
            await process.close()
        await self.store.close()

    def is_ready(self) -> bool:
        """Whether every entry is linked with all other entries and with all expected agents."""
        states = [entry.get_state() for entry in self.entries]
        seen = [state["workers"] for state in states]
        return (
            all(state["configuration"] is not None for state in states)
            and all(len(state["peers"]) == len(self.entries) - 1 for state in states)  # type: ignore[arg-type]
            and self._have_clocks()
            and self._do_accept([worker for workers in seen for worker in workers.values()])  # type: ignore[attr-defined]
            and self._are_linked([len(workers) for workers in seen])  # type: ignore[arg-type]
        )

    def _have_clocks(self) -> bool:
        """Return whether each agent has compared its clock with those of its entries.

        An entry answers the request for its clock before it sends a start on the same link, so no
        start of an entry can come earlier.
        """
        sessions = [s for agent in self.agents for s in agent._owners._sessions.values()]
        return all(session.is_clock_known for session in sessions)

    def _do_accept(self, workers: list[dict[str, Any]]) -> bool:
        """Return whether all workers accept starts, except in evacuated data centres."""
        evacuated = {key.removeprefix("evacuate/") for key in self._documents}
        return all(
            worker["is_accepting"] or worker["data_centre"] in evacuated for worker in workers
        )

    def _are_linked(self, workers_seen: list[int]) -> bool:
        """Return whether all links exist: of each entry, or in total if the links are limited."""
        if self._links_per_agent == self._entry_count:
            return all(seen == len(self.agents) for seen in workers_seen)
        return sum(workers_seen) == len(self.agents) * self._links_per_agent

    async def add_entry(self, settings: FleetEntrySettings) -> FleetEntryProcess:
        """Start an entry."""
        entry = FleetEntryProcess(settings=settings)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def restart_agent(self, number: int) -> None:
        """Restart an agent while its worker keeps running."""
        settings = self.agents[number]._settings
        await self.agents[number].close()
        self.agents[number] = FleetAgentProcess(settings=settings)
        await self.agents[number].start()

    async def submit(
        self,
        job_id: str,
        *,
        entry: int = 0,
        text: str = "",
        count: int = 1,
        timeout_s: float = 15.0,
        deadline_ms: int | None = None,
        **step: Any,
    ) -> JsonResponse:
        """Submit a job and wait for its response; ``deadline_ms`` is sent in the header."""
        body = make_body(text=text, count=count, **step)
        headers = {} if deadline_ms is None else {DEADLINE_HEADER: str(deadline_ms)}
        path = PREFIX + job_id
        return await self.call("POST", path, entry, body, timeout_s=timeout_s, headers=headers)

    async def submit_with_retries(self, job_id: str, **job: Any) -> JsonResponse:
        """Submit a job, and resubmit it if it was dropped or refused because of a process pause.

        On a busy host the event loop may be paused long enough that entries drop jobs, or refuse
        those whose claims may have lapsed, as they are designed to. Without such a pause the first
        response is returned, whatever it is.
        """
        while True:
            before = self._count_pauses()
            response = await self.submit(job_id, **job)
            is_final = response.status not in (GIVEN_UP, REFUSED)
            if is_final or self._count_pauses() == before:
                return response

    def _count_pauses(self) -> int:
        processes = [*self.entries, *self.agents]
        return sum(process._metrics.get_count(PROCESS_PAUSES) for process in processes)

    async def call(
        self,
        method: str,
        path: str,
        entry: int = 0,
        body: Any = None,
        timeout_s: float = 15.0,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a request to an entry as a caller does."""
        address = self.entry_settings[entry].callers.address
        return await self.client.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={"Host": HOST, **(headers or {})},
            timeout_s=timeout_s,
        )

    async def connect(self, entry: int = 0) -> CallerConnection:
        """Open a caller's connection to an entry."""
        host, _, port = self.entry_settings[entry].callers.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return CallerConnection(reader=reader, writer=writer)

    async def abort_once_running(self, job_id: str, **job: Any) -> None:
        """Submit a job and abort the connection as soon as the job runs."""
        connection = await self.connect()
        connection.send(job_id, **job)
        await wait_until(lambda: bool(self.get_started(job_id)), "the job to start")
        connection.writer.transport.abort()

    async def abort_submission(
        self, job_id: str, *, entry: int = 0, after_s: float, **job: Any
    ) -> None:
        """Submit a job and abort the connection after ``after_s``."""
        try:
            await self.submit(job_id, entry=entry, timeout_s=after_s, **job)
        except HttpFailure:
            return
        raise AssertionError("the job was answered before the caller hung up")

    def get_running(self, job_id: str) -> list[str]:
        """Return the running tasks of a job, once for each run."""
        return [
            task
            for worker in self.workers
            for task in worker.active_tasks
            if task.startswith(job_id)
        ]

    def get_started(self, job_id: str) -> list[tuple[str, int]]:
        """Return all runs of a job that were ever started."""
        return [
            row for worker in self.workers for row in worker.started if row[0].startswith(job_id)
        ]

    async def _get_public_address(self, address: str) -> str:
        """Return the address of a new proxy for an address, or itself without proxies."""
        return await self._make_proxy(address) if self._make_proxy else address

    async def _make_entry(self, number: int) -> FleetEntrySettings:
        links = find_address()
        return FleetEntrySettings(
            name=f"entry-{number}",
            data_centre=DATA_CENTRE,
            callers=ListenerSettings(address=find_address()),
            readiness=ListenerSettings(address=find_address()),
            links=ListenerSettings(address=links),
            advertised=await self._get_public_address(links),
            metrics=ListenerSettings(address="127.0.0.1:0"),
            store=AddressSettings(address=self._store_address),
            **self._entry_settings,
        )

    async def _make_agent(
        self, number: int, worker: EmulatedWorker, reports: str
    ) -> FleetAgentSettings:
        worker.advertised = await self._get_public_address(worker.address)
        return FleetAgentSettings(
            name=f"agent-{number}",
            data_centre=self._get_data_centre(number),
            registration=ListenerSettings(address=reports),
            worker=AddressSettings(address=worker.advertised),
            metrics=ListenerSettings(address="127.0.0.1:0"),
            store=AddressSettings(address=self._store_address),
            seeds=tuple(s.advertised for s in self.entry_settings[:1]),
            **self._agent_settings,
        )

    def _get_data_centre(self, number: int) -> str:
        """Return the data centre of a worker and its agent."""
        return self._data_centres[number % len(self._data_centres)]

    async def _add_worker(self, number: int) -> None:
        reports = find_address()
        worker = EmulatedWorker(
            address="127.0.0.1:0",
            report_to=reports,
            service=SERVICE,
            zone=self._get_data_centre(number),
            cpu=self._cpu,
        )
        worker.start()
        agent = FleetAgentProcess(settings=await self._make_agent(number, worker, reports))
        await agent.start()
        self.workers.append(worker)
        self.agents.append(agent)


def make_text(run_s: float, *, crash_s: float | None = None) -> str:
    """Return the payload of a task that runs this long on an emulated worker or crashes it."""
    text = {"run_s": run_s} if crash_s is None else {"run_s": run_s, "crash_s": crash_s}
    return msgspec.json.encode(text).decode()


async def settle() -> None:
    """Wait until messages in transit on the loopback interface have arrived."""
    await asyncio.sleep(0.2)
