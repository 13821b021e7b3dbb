"""A foreign writer: it sends reports in the name of workers and writes rows to the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from dalemast.emulator import EmulatedWorker
from dalemast.http.client import HttpFailure
from tests.fleet.base import make_configuration
from tests.soak.cluster import Cluster

PAUSE_S = (0.02, 0.4)
"""Range of pauses between two foreign inputs."""
WORKERS_KNOWN_TIMEOUT_S = 25.0
"""Maximum time from the last foreign report until each agent knows its own worker."""
ROWS = 6
"""Number of foreign rows per table; older ones are overwritten."""
TABLES = ("op", "dalemast-entries")
WRONG_VALUES: tuple[Any, ...] = (None, True, [], {}, -1, 10**30)
RAW_BODIES = (b"", b"\xff\xfe", b"[]", b"{", b'{"service":"\xff"}')


class ForeignWriter:
    """Writes while its ``async with`` block runs, then checks that agents know their workers.

    Adds a line to ``broken`` for each accepted report that cannot be a worker's.
    """

    def __init__(self, *, cluster: Cluster, seed: int, broken: list[str]) -> None:
        self._cluster = cluster
        self._rng = random.Random(f"foreign writer of {seed}")
        """A separate generator, so that foreign inputs do not change the faults of a seed."""
        self._broken = broken
        self.written = 0

    async def __aenter__(self) -> ForeignWriter:
        self._task = asyncio.create_task(self._write_forever())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._check_workers()

    async def _write_forever(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            await self._rng.choice(self._get_inputs())()
            self.written += 1

    def _get_inputs(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._send_unusable,
            self._send_unusable,
            self._send_contradicting,
            self._send_end,
            self._leave_raw_row,
            self._leave_bad_value,
        ]

    async def _send_unusable(self) -> None:
        """Send a report that every agent has to reject."""
        worker = self._pick_worker()
        data = self._rng.choice([self._drop, self._retype, self._move, self._garble])(worker)
        status = await self._send(worker, "Heartbeat", self._pick_id(worker), data)
        if status == 200:
            self._broken.append(f"a foreign report was accepted: {data!r}")

    async def _send_contradicting(self) -> None:
        """Send a report that contradicts a live worker; a restarted agent may accept it."""
        worker = self._pick_worker()
        changes: list[dict[str, Any]] = [
            {"seq": 10**9},
            {"capacity": {"cpu": 10, "mem_mb": 10}},
            {"labels": ["b"]},
        ]
        if "born" in _read(worker):
            changes += [{"born": 10**12}, {"born": 10**14}]
        fields = self._rng.choice(changes)
        data = _change(worker, state="draining", **fields)
        await self._send(worker, "Heartbeat", worker.worker_id, data)

    async def _send_end(self) -> None:
        """Deregister a worker, unless it is leaving and may deregister itself."""
        worker = self._pick_worker()
        life_id = self._pick_id(worker)
        if worker.state != "draining":
            await self._send(worker, "Deregister", life_id, b"")

    async def _leave_raw_row(self) -> None:
        """Write a row with fields of wrong types or of another partition."""
        table, key = self._pick_row()
        row = {"key": key, "value": "e30=", "ver": 1}
        name = self._rng.choice(["key", "value", "ver", "part"])
        value = self._rng.choice([7, None, [], {}]) if name != "part" else "mine"
        self._cluster.store.put_raw(table, key, msgspec.json.encode({**row, name: value}))

    async def _leave_bad_value(self) -> None:
        """Write a row whose value cannot be decoded or is not a document of its table."""
        table, key = self._pick_row()
        store = self._cluster.store
        if self._rng.random() < 0.5:
            store.put_value(table, key, self._rng.choice(["", "%%", "/w==", "bnVsbA=="]))
            return
        store.put(table, key, self._rng.choice([{}, {"name": "e"}, make_configuration(10**6)]))

    def _drop(self, worker: EmulatedWorker) -> bytes:
        report = _read(worker)
        # Never one of these: agents may accept reports without them.
        needed = [name for name in report if name not in ("clock_ms", "born", "remaining_ms")]
        del report[self._rng.choice(needed)]
        return msgspec.json.encode(report)

    def _retype(self, worker: EmulatedWorker) -> bytes:
        names = [name for name in _read(worker) if name not in ("labels", "remaining_ms")]
        return _change(worker, **{self._rng.choice(names): self._rng.choice(WRONG_VALUES)})

    def _move(self, worker: EmulatedWorker) -> bytes:
        fields = [{"addr": "127.0.0.1:1"}, {"zone": "nowhere"}, {"state": "gone"}]
        return _change(worker, **self._rng.choice(fields))

    def _garble(self, _: EmulatedWorker) -> bytes:
        return self._rng.choice(RAW_BODIES)

    def _pick_worker(self) -> EmulatedWorker:
        return self._rng.choice(self._cluster.workers)

    def _pick_id(self, worker: EmulatedWorker) -> str:
        return self._rng.choice([worker.worker_id, f"i-foreign-{self._rng.randrange(10**6)}"])

    def _pick_row(self) -> tuple[str, str]:
        number = self._rng.randrange(ROWS)
        key = self._rng.choice([f"a{number}", f"z{number}", "evacuate/", f"evacuate/{number}/x"])
        table = self._rng.choice(TABLES)
        return (table, key) if table == "op" else (table, f"foreign-{number}")

    async def _send(self, worker: EmulatedWorker, name: str, life_id: str, data: bytes) -> int:
        """Send a request to the agent of a worker; return the status, or 0 without an answer."""
        url = f"http://{worker.report_to}/v1/Instances.{name}/{life_id}"
        try:
            return (
                await self._cluster.client.request("POST", url, body=data, timeout_s=1.0)
            ).status
        except HttpFailure:
            # The agent may be down or paused.
            return 0

    async def _check_workers(self) -> None:
        """Wait until every agent knows the incarnation of its own worker."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + WORKERS_KNOWN_TIMEOUT_S
        wrong = await self._find_wrong()
        while wrong and loop.time() < give_up_at:
            await asyncio.sleep(0.1)
            wrong = await self._find_wrong()
        if wrong:
            self._broken.append(
                f"agents know other incarnations than those of their workers: {wrong}"
            )

    async def _find_wrong(self) -> list[tuple[str, object]]:
        """Return the agents that know another incarnation or none, and what they know."""
        wrong = []
        for agent, worker in zip(self._cluster.agents, self._cluster.workers, strict=True):
            state = await self._cluster.get_state(agent)
            known = None if state is None else state["worker"]
            if known != worker.life_id:
                wrong.append((agent.name, known))
        return wrong


def _read(worker: EmulatedWorker) -> dict[str, Any]:
    """Return a report of the worker as a document."""
    return dict(msgspec.json.decode(msgspec.json.encode(worker.make_report())))


def _change(worker: EmulatedWorker, **fields: Any) -> bytes:
    """Return the bytes of a worker's report with some fields changed."""
    return msgspec.json.encode({**_read(worker), **fields})
