"""Measure what each thing costs by how much there is of it; docs/CAPACITY.md is worked out from it.

Processor time comes from the processes' own counters under a closed loop of jobs, memory from
allocations traced in this process, time from the fastest of several tries.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.websocket import WebSocketClientConnection, websocket_connect

from dalemast.bench.cluster import Cluster, ClusterShape
from dalemast.bench.fit import Slope, fit_slope
from dalemast.callers import Caller
from dalemast.core.configuration import (
    Account,
    Configuration,
    ConfigurationHolder,
    Endpoint,
    Limits,
    Service,
)
from dalemast.core.dispatch import JobRequest, JobResult, Owner, OwnerPolicy
from dalemast.core.placement import HealthMonitor, PackingPlacement, WorkerPool
from dalemast.core.selectors import Selector, parse_selector
from dalemast.core.submissions import Submission, SubmissionLedger, TicketKey
from dalemast.core.verdicts import Run
from dalemast.core.wire import AgentFrame, AgentHello, EntryHello, Load, TaskAnswer
from dalemast.entry.links import PING_INTERVAL_S
from dalemast.hosting import MemoryPlatform, Put
from dalemast.hosting.http import HttpPlatform
from dalemast.hosting.server import PlatformServer
from dalemast.http.links import LINK_PATH
from dalemast.http.security import SystemProof
from dalemast.management.output import print_table
from dalemast.settings import ListenerSettings, PlatformServerSettings

__all__ = ["SLOPES_FILE", "run_slopes"]

SLOPES_FILE = "build/slopes.json"
SIZES = (100, 1000, 7700)
JOB_SIZES = (1, 20, 55, 88)
JOBS_PER_POINT = 120
SPREAD_TASKS = 8
SPREAD_WORKERS = (3, 6, 12, 24)
"""A third of the workers is near the entry, so a job of 8 tasks goes to 1, 2, 4 and 8 of them."""

REST_S = 8.0
REST_LINKS = (1, 16, 32, 48)
TRIES = 5


def run_slopes(output: str) -> int:
    """Measure everything and write build/slopes.json."""
    slopes = [
        *measure_memory(),
        *measure_selection(),
        *measure_owner(),
        *measure_configuration(),
        *asyncio.run(measure_processes()),
        asyncio.run(measure_claims()),
    ]
    Path(SLOPES_FILE).parent.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    Path(SLOPES_FILE).write_bytes(text + b"\n")
    rows = [
        (s.name, s.x, s.y, f"{s.intercept:.4g}", f"{s.slope:.4g}", f"{s.residual:.1%}")
        for s in slopes
    ]
    print_table(("slope", "x", "y", "at 0", "per x", "residual"), rows)
    return 0


# Memory


def measure_memory() -> list[Slope]:
    """Return bytes a ticket, a kept job, a known worker and an account."""
    return [
        _measure_bytes("memory.ticket", "tickets", (1000, 10_000, 50_000), _issue_tickets),
        _measure_bytes("memory.kept_job", "kept jobs", (500, 2000, 8000), _keep_jobs),
        _measure_bytes("memory.worker", "workers", SIZES, _make_pool),
        _measure_bytes("memory.account", "accounts", (100, 400, 1600), _make_accounts),
    ]


def _measure_bytes(
    name: str, x: str, counts: tuple[int, ...], make: Callable[[int], object]
) -> Slope:
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        kept = make(count)
        gc.collect()
        points.append((float(count), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del kept
    return fit_slope(name=name, x=x, y="bytes", points=points)


def _issue_tickets(count: int) -> object:
    ledger = SubmissionLedger(ticket_life_s=600.0)
    for _ in range(count):
        ledger.issue()
    return ledger


def _keep_jobs(count: int) -> object:
    """Keep jobs of ten answers of 60 bytes each."""
    ledger = SubmissionLedger(ticket_life_s=600.0)
    for number in range(count):
        key = TicketKey(number=ledger.issue())
        submission = Submission(key=key, account="a", job=number, digest=os.urandom(16))
        ledger.open(submission)
        answers = tuple(msgspec.Raw(b"%060d" % n) for n in range(10))
        result = JobResult(job=number, account="a", run=Run.RAN, answers=answers)
        ledger.finish(result=result, now=0.0, kept_bytes=1 << 40)
    return ledger


def _make_pool(count: int) -> object:
    pool = WorkerPool()
    pool.update(make_endpoints(count))
    return pool


def _make_accounts(count: int) -> object:
    return [
        Account(name=f"team-{n}", token_sha256=(f"{n:064x}",), limits=Limits(jobs_per_s=n + 1.0))
        for n in range(count)
    ]


def make_endpoints(count: int) -> list[Endpoint]:
    """Return endpoints spread over nine data centres and racks of 20."""
    return [
        Endpoint(
            name=f"endpoint-{n}",
            worker=f"worker-{n}",
            data_centre=f"dc-{n % 9}",
            agent=f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:8710",
            services=("seat-draw", "prize-ladder"),
            labels={"region": f"r{n % 3}", "rack": f"rack-{n // 20}", "tier": "ab"[n % 2]},
        )
        for n in range(count)
    ]


# Selection


def measure_selection() -> list[Slope]:
    """Return microseconds to index a selector anew, and to choose for a job once it is known."""
    cold, hot, building = [], [], []
    for count in SIZES:
        endpoints = make_endpoints(count)
        building.append((float(count), _time_us(lambda e=endpoints: _build(e))))  # type: ignore[misc]
        pool = _build(endpoints)
        selectors = [parse_selector(f"region=r1,tier=a,rack!=rack-{n}") for n in range(TRIES)]
        cold.append((float(count), _time_cold(pool, selectors)))
        hot.append((float(count), _time_hot(pool, selectors[0])))
    return [
        fit_slope(name="selection.cold", x="workers", y="microseconds", points=cold),
        fit_slope(name="selection.hot", x="workers", y="microseconds", points=hot),
        fit_slope(name="selection.build", x="workers", y="microseconds", points=building),
    ]


def _build(endpoints: list[Endpoint]) -> WorkerPool:
    pool = WorkerPool()
    pool.update(endpoints)
    for view in pool.get_views():
        view.open_session(session="s", slots=8)
        view.handle_report(load=Load(running=2), now=0.0)
    return pool


def _time_cold(pool: WorkerPool, selectors: list[Selector]) -> float:
    times = []
    for selector in selectors:
        started_at = time.perf_counter()
        pool.get_candidates(service="seat-draw", selectors=(Selector(), selector))
        times.append((time.perf_counter() - started_at) * 1e6)
    return min(times)


def _time_hot(pool: WorkerPool, selector: Selector) -> float:
    placement = PackingPlacement(data_centre="dc-1")
    rng = random.Random(1)
    health = HealthMonitor()

    def choose() -> None:
        candidates = pool.get_candidates(service="seat-draw", selectors=(Selector(), selector))
        placement.choose(count=8, candidates=candidates, health=health, now=0.1, rng=rng)

    return _time_us(lambda: [choose() for _ in range(100)]) / 100


def _time_us(work: Callable[[], object]) -> float:
    times = []
    for _ in range(TRIES):
        started_at = time.perf_counter()
        work()
        times.append((time.perf_counter() - started_at) * 1e6)
    return min(times)


# The owner


def measure_owner() -> list[Slope]:
    """Return microseconds of a whole one-task job and of a tick, by the workers that are linked."""
    jobs, ticks = [], []
    for count in SIZES:
        owner, names = _make_owner(count)
        jobs.append((float(count), _time_us(lambda o=owner, n=names: _run_jobs(o, n)) / 20))  # type: ignore[misc]
        ticks.append((float(count), _time_us(lambda o=owner: _tick(o)) / 20))  # type: ignore[misc]
    return [
        fit_slope(name="owner.job", x="workers", y="microseconds", points=jobs),
        fit_slope(name="owner.tick", x="workers", y="microseconds", points=ticks),
    ]


def _make_owner(count: int) -> tuple[Owner, list[str]]:
    holder = ConfigurationHolder()
    holder.offer(
        Configuration(
            version=1,
            accounts=(Account(name="a"),),
            services=(Service(name="seat-draw"), Service(name="prize-ladder")),
            endpoints=tuple(make_endpoints(count)),
        )
    )
    owner = Owner(
        incarnation="i",
        entry="entry-1",
        configuration=holder,
        policy=OwnerPolicy(),
        rng=random.Random(1),
        now=0.0,
    )
    owner.apply_configuration()
    names = [view.name for view in owner.pool.get_views()]
    for name in names:
        owner.make_hello(name)
        hello = AgentHello(worker=name, session=name, slots=8)
        owner.open_link(now=0.0, worker=name, hello=hello)
    owner.collect(now=0.0)
    return owner, names


def _run_jobs(owner: Owner, names: list[str]) -> None:
    """Run 20 jobs of one task each: submit, place, answer."""
    request = JobRequest(
        account="a",
        service="seat-draw",
        selector="region=r1",
        deadline_s=10.0,
        is_repeatable=False,
        payloads=(msgspec.Raw(b"1"),),
        size_bytes=10,
    )
    for _ in range(20):
        owner.submit(now=0.0, request=request)
        for name, frame in owner.collect(now=0.0).frames:
            for start in frame.starts:
                answer = TaskAnswer(job=start.job, index=0, run_ms=1.0)
                reply = AgentFrame(session=name, number=start.job, answers=(answer,))
                owner.receive(now=0.0, worker=name, frame=reply)
        owner.collect(now=0.0)


def _tick(owner: Owner) -> None:
    for _ in range(20):
        owner.tick(now=0.1)
        owner.collect(now=0.1)


# Configuration


def measure_configuration() -> list[Slope]:
    """Return the bytes of a configuration and the milliseconds to decode and apply it."""
    sizes, times = [], []
    for count in SIZES:
        configuration = Configuration(
            version=1,
            accounts=tuple(Account(name=f"team-{n}") for n in range(100)),
            services=(Service(name="seat-draw"), Service(name="prize-ladder")),
            endpoints=tuple(make_endpoints(count)),
        )
        data = msgspec.json.encode(configuration)
        sizes.append((float(count), float(len(data))))
        times.append((float(count), _time_us(lambda d=data: _apply(d)) / 1000.0))  # type: ignore[misc]
    return [
        fit_slope(name="configuration.bytes", x="endpoints", y="bytes", points=sizes),
        fit_slope(name="configuration.apply", x="endpoints", y="milliseconds", points=times),
    ]


def _apply(data: bytes) -> WorkerPool:
    configuration = msgspec.json.decode(data, type=Configuration)
    pool = WorkerPool()
    pool.update(configuration.endpoints)
    return pool


# Processes


async def measure_processes() -> list[Slope]:
    """Return processor time and bytes a job of the entry and a task of the agent."""
    entry, agent, sent, received = [], [], [], []
    for size in JOB_SIZES:
        point = await _measure_jobs(size, placement="packing")
        entry.append((float(size), point["entry_ms"]))
        agent.append((float(size), point["agent_ms"]))
        sent.append((float(size), point["sent_bytes"]))
        received.append((float(size), point["received_bytes"]))
    spread = []
    for workers in SPREAD_WORKERS:
        point = await _measure_jobs(SPREAD_TASKS, placement="spreading", workers=workers)
        spread.append((point["frames"], point["entry_ms"]))
    return [
        fit_slope(name="entry.job", x="tasks", y="milliseconds", points=entry),
        fit_slope(name="agent.job", x="tasks", y="milliseconds", points=agent),
        fit_slope(name="entry.spread", x="agents a job", y="milliseconds", points=spread),
        fit_slope(name="bytes.starts", x="tasks", y="bytes", points=sent),
        fit_slope(name="bytes.answers", x="tasks", y="bytes", points=received),
        await _measure_rest(),
    ]


async def _measure_jobs(size: int, *, placement: str, workers: int = 11) -> dict[str, float]:
    """Send jobs of one size in a closed loop and return the cost a job."""
    async with Cluster(
        ClusterShape(entries=1, workers=workers, policy={"placement": placement})
    ) as cluster:
        caller = Caller(addresses=(cluster.caller_addresses[0],), token="card-token")
        body = msgspec.json.encode(
            {
                "service": "echo",
                "deadline_ms": 20_000,
                "tasks": [{"payload": {"table": n, "players": 9}} for n in range(size)],
            }
        )
        for _ in range(5):
            await caller.submit(body)
        before = await _read_usage(cluster)
        for _ in range(JOBS_PER_POINT):
            await caller.submit(body)
        after = await _read_usage(cluster)
    return {key: (after[key] - before[key]) / JOBS_PER_POINT for key in after}


async def _read_usage(cluster: Cluster) -> dict[str, float]:
    entry = await cluster.get(cluster.entry_addresses[0], "/v1/metrics")
    agents = [await cluster.get(address, "/v1/metrics") for address in cluster.agent_addresses]
    counters: dict[str, Any] = entry["counters"]
    return {
        "entry_ms": entry["processor_s"] * 1000,
        "agent_ms": sum(agent["processor_s"] for agent in agents) * 1000,
        "frames": float(counters.get("frames.sent.starts", 0)),
        "sent_bytes": float(counters.get("bytes.sent.starts", 0)),
        "received_bytes": float(counters.get("bytes.received.answers", 0)),
    }


async def _measure_rest() -> Slope:
    """Return an agent's processor time a second at rest, by the links that are open to it."""
    points = []
    async with Cluster(ClusterShape(entries=1, workers=1)) as cluster:
        links: list[WebSocketClientConnection] = []
        for wanted in REST_LINKS:
            while len(links) + 1 < wanted:
                links.append(await _open_idle_link(cluster, len(links)))
            before = await _read_usage(cluster)
            await asyncio.sleep(REST_S)
            after = await _read_usage(cluster)
            used_ms = (after["agent_ms"] - before["agent_ms"]) / REST_S
            points.append((float(wanted), used_ms))
    return fit_slope(name="agent.rest", x="links", y="milliseconds a second", points=points)


async def _open_idle_link(cluster: Cluster, number: int) -> WebSocketClientConnection:
    """Greet an agent as an owner that never sends a task."""
    request = HTTPRequest(
        f"ws://{cluster.link_addresses[0]}{LINK_PATH}",
        headers=SystemProof(key=cluster.system_key).headers,
    )
    connection = await websocket_connect(request, ping_interval=PING_INTERVAL_S)
    hello = EntryHello(owner=f"idle-{number}", entry="idle", connection=1)
    await connection.write_message(msgspec.json.encode(hello), binary=False)
    await connection.read_message()
    return connection


async def measure_claims() -> Slope:
    """Return the milliseconds that one group insert takes by the keys in it."""
    listen = ListenerSettings(address="127.0.0.1:0")
    server = PlatformServer(settings=PlatformServerSettings(listen=listen, writes_per_s=0.0))
    await server.start()
    assert isinstance(server.platform, MemoryPlatform)
    platform = HttpPlatform(url=f"http://{server.address}")
    points = []
    value = msgspec.Raw(b'{"owner":"0123456789ab","address":"10.0.0.1:8701"}')
    for size in (1, 10, 50, 200):
        times = []
        for turn in range(10):
            puts = tuple(Put(key=f"claims/{size}/{turn}/{n}", value=value) for n in range(size))
            started_at = time.perf_counter()
            await platform.table.insert_rows(puts)
            times.append((time.perf_counter() - started_at) * 1000)
        points.append((float(size), min(times)))
    await server.close()
    return fit_slope(name="claims.write", x="keys a write", y="milliseconds", points=points)
