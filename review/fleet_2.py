"""Stand-ins and helpers for the scripts of the second review.

A small deployment on loopback addresses: the project's programs as processes, started as in
``deploy/system.toml``, the project's emulated store and workers, and proxies on every path between
two hosts, so that a network partition can be made.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from dalemast.emulator import EmulatedStore, EmulatedWorker

ROOT = Path(__file__).resolve().parents[1]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HELD, BROKEN, NOT_RUN = 0, 1, 2
OUTSIDE = "outside"
SETTINGS = {
    "resend_ms": 1300,
    "lease_max_ms": 1000,
    "stop_ms": 50,
    "grace_s": 6.0,
    "remote_factor": 1.5,
}
"""Bounds of the small site lscc-dalemast."""


def find_ports(count: int) -> list[int]:
    """Return free ports on 127.0.0.1, in rising order of their text."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return sorted(ports, key=str)


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line with the time."""
        line = f"{self.now:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Program:
    """A process of the deploy file. ``group`` is the part of the network that its host is in."""

    def __init__(
        self, *, role: str, name: str, group: str, folder: Path, settings: dict[str, Any]
    ) -> None:
        self.name = name
        self.group = group
        self._role = role
        self._folder = folder
        self._file = folder / f"{name}.yaml"
        self._file.write_text(json.dumps(settings))
        self.metrics = settings["metrics"]["address"]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DALEMAST_BOOT": str(self._file),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "dalemast", self._role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the process to end."""
        while self.is_running:
            await asyncio.sleep(0.01)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    def owns_socket(self, inode: str) -> bool:
        """Return whether this process has the socket with this inode."""
        if self.process is None:
            return False
        folder = f"/proc/{self.process.pid}/fd"
        with contextlib.suppress(OSError):
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                        return True
        return False


def find_inode(port: int, peer_port: int) -> str:
    """Return the inode of the loopback socket with these local and remote ports."""
    wanted = (f"0100007F:{port:04X}", f"0100007F:{peer_port:04X}")
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if (fields[1], fields[2]) == wanted:
            return fields[9]
    return ""


class Partition:
    """A partition of the network: nothing passes between a group and the rest while it lasts."""

    def __init__(self) -> None:
        self.group = ""
        self._changed = asyncio.Event()

    def begin(self, group: str) -> None:
        """Cut a group off from the rest."""
        self.group = group

    def heal(self) -> None:
        """End the partition."""
        self.group = ""
        self._changed.set()
        self._changed = asyncio.Event()

    def separates(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two groups."""
        return bool(self.group) and (one == self.group) != (other == self.group)

    async def wait_until_open(self, one: str, other: str) -> None:
        """Wait until data passes between two groups."""
        while self.separates(one, other):
            await self._changed.wait()


class Proxy:
    """A path to an address. What a partition holds back passes later unless the sender resets."""

    def __init__(
        self,
        *,
        port: int,
        target: str,
        group: str,
        partition: Partition,
        find_group: Callable[[int, int], str],
    ) -> None:
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self._target = target
        self._group = group
        self._partition = partition
        self._find_group = find_group
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    def close(self) -> None:
        """Stop."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # In a thread: reading the tables of the system would hold up all other paths.
        peer_port = writer.get_extra_info("peername")[1]
        source = await asyncio.to_thread(self._find_group, peer_port, self._port)
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(asyncio.CancelledError):
            await self._partition.wait_until_open(source, self._group)
            try:
                onward_reader, onward = await asyncio.open_connection(host, int(port))
            except OSError:
                reset(writer)
                return
            pumps = [
                asyncio.create_task(self._pump(reader, onward, source)),
                asyncio.create_task(self._pump(onward_reader, writer, source)),
            ]
            self._tasks.update(pumps)
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            await self._partition.wait_until_open(source, self._group)
            for pump in pumps:
                pump.cancel()
            onward.close()
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self._partition.wait_until_open(source, self._group)
                if reader.exception() is not None:
                    return
                writer.write(data)
                await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Deployment:
    """Entries, agents, workers and the store. All hosts of a zone are in the group of its name."""

    def __init__(self, *, record: Record, zones: tuple[str, ...], labels: tuple[str, ...]) -> None:
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.partition = Partition()
        self.programs: dict[str, Program] = {}
        self.workers: dict[str, EmulatedWorker] = {}
        self.callers: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.proxies: list[Proxy] = []
        self.store = EmulatedStore(address="127.0.0.1:0")
        self._labels = labels
        self._watch: asyncio.Task[None] | None = None
        self.most_at_once: dict[str, int] = {}
        """For each task, on how many workers it was seen to run at a time, at the most."""
        self._shown: dict[str, tuple[str, ...]] = {}

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start everything: an entry, an agent and a worker in each zone."""
        self.store.start()
        self.store.put("op", "config", configuration)
        store = await self._add_proxy(find_ports(1)[0], self.store.address, OUTSIDE)
        ports = find_ports(6 * len(self.zones))
        links, ports = ports[: len(self.zones)], ports[len(self.zones) :]
        for zone, link in zip(self.zones, links, strict=True):
            own, ports = ports[:5], ports[5:]
            proxy = await self._add_proxy(link, f"127.0.0.1:{own[0]}", zone)
            callers = await self._add_proxy(own[4], f"127.0.0.1:{own[1]}", zone)
            self.callers[zone] = callers.address
            self.ready[zone] = f"127.0.0.1:{own[2]}"
            self._add_program(
                "fleet-entry",
                f"entry-{zone}",
                zone,
                callers={"address": f"127.0.0.1:{own[1]}"},
                readiness={"address": f"127.0.0.1:{own[2]}"},
                links={"address": f"127.0.0.1:{own[0]}"},
                advertised=proxy.address,
                metrics={"address": f"127.0.0.1:{own[3]}"},
                store={"address": store.address},
                seeds=[f"127.0.0.1:{port}" for port in links],
            )
        for zone, label in zip(self.zones, self._labels, strict=True):
            own = find_ports(3)
            worker = EmulatedWorker(
                address=f"127.0.0.1:{own[0]}",
                report_to=f"127.0.0.1:{own[1]}",
                service="floor",
                zone=zone,
                cpu=8000,
                keeps_id=True,
            )
            worker.labels = (label, f"r-{zone}")
            worker.start()
            self.workers[zone] = worker
            settings = {key: value for key, value in SETTINGS.items() if key != "remote_factor"}
            self._add_program(
                "fleet-agent",
                f"agent-{zone}",
                zone,
                base=settings,
                registration={"address": f"127.0.0.1:{own[1]}"},
                worker={"address": f"127.0.0.1:{own[0]}"},
                metrics={"address": f"127.0.0.1:{own[2]}"},
                store={"address": store.address},
                seeds=[f"127.0.0.1:{port}" for port in links],
            )
        for program in self.programs.values():
            program.start()
        self._watch = asyncio.create_task(self._watch_runs())

    async def wait_until_ready(self, within_s: float = 20.0) -> bool:
        """Wait until every entry calls itself ready; return whether they do."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            answers = [await get_status(address) for address in self.ready.values()]
            if all(status == 200 for status in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self) -> None:
        """End all processes that this script has started."""
        if self._watch is not None:
            self._watch.cancel()
        self.partition.heal()
        for program in self.programs.values():
            await program.end()
        for worker in self.workers.values():
            worker.is_closed = True
            with contextlib.suppress(Exception):
                await worker.crash()
        for proxy in self.proxies:
            proxy.close()
        await self.store.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _add_program(
        self, role: str, name: str, zone: str, *, base: dict[str, Any] = SETTINGS, **settings: Any
    ) -> None:
        settings = {
            **base,
            "name": name,
            "data_centre": zone,
            "data_centres": dict.fromkeys(self.zones, "tx-central"),
            **settings,
        }
        if role == "fleet-agent":
            del settings["data_centres"]
        self.programs[name] = Program(
            role=role, name=name, group=zone, folder=self.folder, settings=settings
        )

    async def _add_proxy(self, port: int, target: str, group: str) -> Proxy:
        proxy = Proxy(
            port=port,
            target=target,
            group=group,
            partition=self.partition,
            find_group=self._find_group,
        )
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    def _find_group(self, port: int, peer_port: int) -> str:
        """Return the group of the process that has opened a connection; callers are outside."""
        inode = find_inode(port, peer_port)
        for program in self.programs.values():
            if inode and program.owns_socket(inode):
                return program.group
        return OUTSIDE

    async def _watch_runs(self) -> None:
        """Record on which workers each task runs."""
        while True:
            running: dict[str, tuple[str, ...]] = {}
            for zone, worker in self.workers.items():
                for task in worker.active_tasks if not worker.is_down else ():
                    running[task] = (*running.get(task, ()), f"worker-{zone}")
            for task in self._shown.keys() | running.keys():
                now = running.get(task, ())
                if now != self._shown.get(task, ()):
                    self.record.note(f"task {task} runs on: {', '.join(now) or 'no worker'}")
                self.most_at_once[task] = max(self.most_at_once.get(task, 0), len(now))
            self._shown = running
            await asyncio.sleep(0.02)


async def get_status(address: str) -> int | None:
    """Return the status of ``GET /v1/ready``, or None without an answer."""
    try:
        return (await call(address, "GET", "/v1/ready", timeout_s=0.5))[0]
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def call(
    address: str,
    method: str,
    path: str,
    *,
    host: str = "",
    body: Any = None,
    deadline_ms: int = 0,
    timeout_s: float = 30.0,
) -> tuple[int, str]:
    """Send one request on a connection of its own; return the status and the body."""
    name, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
    if deadline_ms:
        head += f"Dalemast-Deadline-Ms: {deadline_ms}\r\n"
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            status = int((await reader.readuntil(b"\r\n")).split()[1])
            length = 0
            while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, (await reader.readexactly(length)).decode()
        finally:
            writer.close()


async def submit(
    record: Record,
    address: str,
    path: str,
    *,
    who: str,
    host: str,
    body: Any,
    deadline_ms: int,
    timeout_s: float | None = None,
) -> tuple[int | None, str]:
    """Send a job and record it; return the status, None without an answer, and the body."""
    record.note(f"{who}: POST {host}{path} to {address}")
    wait_s = deadline_ms / 1000 if timeout_s is None else timeout_s
    try:
        status, text = await call(
            address, "POST", path, host=host, body=body, deadline_ms=deadline_ms, timeout_s=wait_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.note(f"{who}: no answer ({type(error).__name__})")
        return None, ""
    record.note(f"{who}: answered {status} {text}")
    return status, text


def make_id() -> str:
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def run_script(main: Callable[[Record, bool], Any], folder: Path) -> None:
    """Run a script and exit with its result."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {has_trouble}")
    try:
        result = asyncio.run(main(record, has_trouble))
    except (Exception, KeyboardInterrupt) as error:
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.note({HELD: "the rule held", BROKEN: "the rule is BROKEN"}.get(result, "not run"))
    sys.exit(result)
