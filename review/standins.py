"""Stand-ins for the platform's store, the workers and a caller, in the standard library alone.

They speak what PROTOCOL.md of the users' pages says, on loopback addresses.
"""

import asyncio
import base64
import json
import socket
import time
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.5
LEASE_MAX_MS = 1000
CLOCK_AHEAD_MS = 500_000


def find_address():
    """Return a free loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message, or None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode().strip(), headers, body


class HttpServer:
    """Serves JSON on one address. ``handle`` returns a status and a document."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=256)

    def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, document = await self._handle(method, target, headers, body)
                data = json.dumps(document).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller or this script has ended the connection
        finally:
            writer.close()


async def call(address, method, target, *, headers=None, body=b"", timeout_s=30.0):
    """Send one request on a new connection; return status, headers and body."""
    host, _, port = address.rpartition(":")
    lines = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    lines["Content-Length"] = str(len(body))
    head = "".join("%s: %s\r\n" % item for item in lines.items())

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, target, head)).encode() + body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("the connection was closed without an answer")
            first, answer_headers, answer = message
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


class Store:
    """Rows by table and key, in one part, with a feed."""

    def __init__(self):
        self.address = find_address()
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self.address, self._handle)

    async def start(self):
        await self._server.start()

    def close(self):
        self._server.close()

    def put(self, table, key, document):
        """Write a row as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write([{"table": table, "part": "", "key": key, "value": value}])

    def _write(self, rows):
        self._version += 1
        for row in rows:
            self._rows[row["table"], row["key"]] = {**row, "ver": self._version}
        self._changed.set()
        self._changed = asyncio.Event()

    def _select(self, table, since):
        rows = [row for row in self._rows.values() if row["table"] == table and row["ver"] > since]
        return sorted(rows, key=lambda row: row["key"])

    def _answer(self, rows):
        return 200, {
            "rows": rows,
            "more_pages": False,
            "ver": self._version,
            "now_ms": int(time.monotonic() * 1000),
        }

    async def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "POST" and url.path == "/v1/rows-tx":
            self._write(json.loads(body).get("set_keys", []))
            return self._answer([])
        if url.path == "/v1/rows-get":
            rows = self._select(query["table"], 0)
            return self._answer([row for row in rows if row["key"] >= query.get("from", "")])
        if url.path == "/v1/rows-feed":
            end_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                rows = self._select(query["table"], int(query["since_rev"]))
                left_s = end_at - time.monotonic()
                if rows or left_s <= 0:
                    return self._answer(rows)
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A sound worker: runs, leases, fencing tokens, heartbeats.

    ``spec`` of a job holds ``{"run_s": [...]}``, the run time of the tasks of each step, and ``cpu``, what
    each of them takes. ``note`` is called with each start and each end of a run, its worker, and the
    thousandths of a core that are in use after it.
    """

    def __init__(self, *, number, service, zone, note, cpu=64000):
        self.id = "i-%08x" % (0x5EED0000 + number)
        self.address = find_address()
        self.control = find_address()
        self.cpu = cpu
        self.beat_at = 0.0
        """When the last heartbeat was sent, by the monotonic clock."""
        self._service = service
        self._zone = zone
        self._note = note
        self._seq = 0
        self._fence = 0
        self._until_ms = 0
        self._running = {}
        self._last_run = {}
        self._ended = []
        self._ends = 0
        self._server = HttpServer(self.address, self._handle)
        self._tasks = []
        self._beats = []

    async def start(self):
        await self._server.start()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._advance())]

    def close(self):
        for task in self._tasks + self._beats:
            task.cancel()
        self._server.close()

    @property
    def used_cpu(self):
        """Thousandths of a core that its runs take."""
        return sum(run["cpu"] for run in self._running.values())

    def now_ms(self):
        return int(time.monotonic() * 1000) + CLOCK_AHEAD_MS

    async def _beat(self):
        """Send a heartbeat each 1.5 s, whether the last one was acknowledged or not."""
        due_at = time.monotonic()
        while True:
            self._seq += 1
            report = {
                "service": self._service,
                "addr": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clock_ms": self.now_ms(),
                "seq": self._seq,
            }
            self.beat_at = time.monotonic()
            self._beats.append(asyncio.create_task(self._report(json.dumps(report).encode())))
            due_at += HEARTBEAT_S
            await asyncio.sleep(due_at - time.monotonic())

    async def _report(self, body):
        path = "/v1/Instances.Heartbeat/" + self.id
        try:
            await call(self.control, "POST", path, body=body, timeout_s=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass  # not acknowledged; the next heartbeat tells it anew

    async def _advance(self):
        while True:
            await asyncio.sleep(0.005)
            now = self.now_ms()
            for task, run in list(self._running.items()):
                if now >= run["ends_ms"]:
                    self._end(task, "done")
                elif now > self._until_ms:
                    self._end(task, "lapsed")

    def _end(self, task, how):
        run = self._running.pop(task)
        self._ends += 1
        self._ended.append([self._ends, task, run["run"], how, ""])
        self._note("end", task, run["run"], self.id, how, "in use", self.used_cpu)

    def _renew(self, until_ms):
        self._until_ms = max(self._until_ms, min(until_ms, self.now_ms() + LEASE_MAX_MS))

    async def _handle(self, method, target, headers, body):
        if headers.get("dalemast-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.now_ms()}
        order = json.loads(body)
        if order.get("fence", 0) < self._fence:
            return 409, {"clock_ms": self.now_ms(), "reason": "fence"}
        self._fence = order.get("fence", 0)
        if target == "/v1/run-start":
            reason = self._start_run(order)
            answer = {"clock_ms": self.now_ms(), **({"reason": reason} if reason else {})}
            return (409 if reason else 200), answer
        if target == "/v1/run-stop":
            task, run = order["task"], order["run"]
            if task in self._running and self._running[task]["run"] == run:
                self._end(task, "stopped")
            self._last_run[task] = max(self._last_run.get(task, 0), run)
            return 200, {"clock_ms": self.now_ms()}
        if target == "/v1/hold":
            return await self._hold(order)
        return 404, {}

    def _start_run(self, order):
        task, run = order["task"], order["run"]
        if task in self._running and self._running[task]["run"] == run:
            self._renew(order["until_ms"])
            return ""
        if run <= self._last_run.get(task, 0) or task in self._running:
            self._renew(order["until_ms"])
            return "old"
        if order["until_ms"] <= self.now_ms():
            return "late"
        self._renew(order["until_ms"])
        self._last_run[task] = run
        spec = json.loads(order["spec"])
        now, run_ms = self.now_ms(), spec["run_s"][int(task.split(".")[2])] * 1000
        self._running[task] = {
            "run": run,
            "began_ms": now,
            "run_ms": run_ms,
            "ends_ms": now + run_ms,
            "cpu": spec["cpu"],
        }
        self._note("start", task, run, self.id, "-", "in use", self.used_cpu)
        return ""

    async def _hold(self, order):
        acked = order.get("acked_upto", 0)
        self._ended = [end for end in self._ended if end[0] > acked]
        if "until_ms" in order:
            self._renew(order["until_ms"])
        end_at = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self._ended and time.monotonic() < end_at:
            await asyncio.sleep(0.005)
        now = self.now_ms()
        running = [
            [task, run["run"], "", min(99, int(100 * (now - run["began_ms"]) / run["run_ms"])), 0]
            for task, run in self._running.items()
        ]
        return 200, {"clock_ms": now, "running": running, "ended": self._ended[:500]}
