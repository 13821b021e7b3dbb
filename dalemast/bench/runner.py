"""Run a scenario under a variant on a fresh cluster, and take its figures."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from dalemast.bench.base import VARIANTS, BaseScenario
from dalemast.bench.cluster import Cluster
from dalemast.bench.load import JobRecord, run_load
from dalemast.bench.report import Figures, Usage, get_figures
from dalemast.bench.workload import Arrival
from dalemast.http.client import HttpFailure

__all__ = ["run_scenario"]

CALLER_DELAY_S = 0.003
"""One way between callers and data centres, as the users' networks have it."""

WARM_UP_S = 0.5
LEAD_S = 2.0
"""Time for the load generators to start and to fetch their first tickets."""


async def run_scenario(
    scenario: BaseScenario, *, variant: str, seed: int, repeat: int, seconds: float
) -> Figures:
    """Run once and return the figures."""
    chosen = VARIANTS[variant]
    shape = scenario.make_shape(chosen)
    slots = shape.workers * shape.slots
    arrivals = scenario.make_arrivals(seed=seed, seconds=seconds, slots=slots)
    async with Cluster(shape) as cluster:
        await asyncio.sleep(WARM_UP_S)
        before = await _read_counters(cluster)
        started_at = time.monotonic() + LEAD_S
        loading = asyncio.create_task(
            _run_loads(cluster, arrivals, started_at, is_claiming=chosen.is_claiming)
        )
        await asyncio.sleep(LEAD_S)
        disturbing = asyncio.create_task(scenario.disturb(cluster, seconds))
        records, ticket_requests = await loading
        elapsed_s = time.monotonic() - started_at
        await disturbing
        after = await _read_counters(cluster)
        usage = await _get_usage(cluster, before, after, elapsed_s, ticket_requests)
    return get_figures(
        scenario=scenario.name,
        variant=variant,
        repeat=repeat,
        records=records,
        usage=usage,
        slots=slots,
        window=scenario.get_window(seconds),
    )


async def _run_loads(
    cluster: Cluster, arrivals: Sequence[Arrival], started_at: float, *, is_claiming: bool
) -> tuple[list[JobRecord], int]:
    """Run a generator for each account, in processes of their own.

    In one process a flood of one account would delay the sending of the others, and the bench would
    blame dalemast for it.
    """
    accounts = sorted({arrival.account for arrival in arrivals})
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(accounts), mp_context=context) as pool:
        parts = await asyncio.gather(
            *(
                loop.run_in_executor(
                    pool,
                    run_load,
                    cluster.caller_addresses,
                    CALLER_DELAY_S,
                    is_claiming,
                    [arrival for arrival in arrivals if arrival.account == account],
                    started_at,
                )
                for account in accounts
            )
        )
    records = [record for part, _ in parts for record in part]
    return records, sum(requests for _, requests in parts)


async def _read_counters(cluster: Cluster) -> Counter[str]:
    """Return the counters of all entries and the processor time of each role, added up."""
    total: Counter[str] = Counter()
    for address in cluster.entry_addresses:
        metrics = await _read(cluster, address)
        total.update(metrics.get("counters", {}))
        total["entry_us"] += int(metrics.get("processor_s", 0.0) * 1e6)
    for address in cluster.agent_addresses:
        metrics = await _read(cluster, address)
        total["agent_us"] += int(metrics.get("processor_s", 0.0) * 1e6)
    return total


async def _read(cluster: Cluster, address: str) -> dict[str, Any]:
    """Return the metrics of a process, or nothing of one that was killed."""
    with contextlib.suppress(HttpFailure):
        answer: dict[str, Any] = await cluster.get(address, "/v1/metrics")
        return answer
    return {}


async def _get_usage(
    cluster: Cluster,
    before: Counter[str],
    after: Counter[str],
    seconds: float,
    ticket_requests: int,
) -> Usage:
    used = after - before
    started, duplicates = await cluster.count_starts()
    platform = await cluster.get(cluster.platform_address, "/v1/usage")
    return Usage(
        seconds=seconds,
        entry_processor_s=used["entry_us"] / 1e6,
        agent_processor_s=used["agent_us"] / 1e6,
        counters=dict(used),
        started=started,
        duplicate_starts=duplicates,
        platform_reads=platform["reads"],
        platform_writes=platform["writes"],
        ticket_requests=ticket_requests,
    )
