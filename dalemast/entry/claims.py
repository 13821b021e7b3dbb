"""Bind a caller's idempotency key to one owner by a conditional insert in the platform's table.

Claims that arrive during a write are batched into the next one. If the response to a write is
lost, the row is read back instead of written again: its value names the owner
(docs/decisions/0002-submissions.md).
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from dalemast import clock
from dalemast.core.submissions import ClaimKey, KeyUnproved
from dalemast.hosting import BaseTable, PlatformAnswerLost, PlatformError, Put, Row
from dalemast.observability import Metrics

__all__ = ["ClaimBatcher", "ClaimOutcome"]

MAX_BATCH = 200
"""Keys per write."""
TABLE_WRITES_PER_S = 300.0
"""Limit of claim writes per second for all entries together."""


class _ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim's row: the incarnation that owns the key, and its address."""

    owner: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """The owner of a key: an entry's incarnation and its operators' address."""

    owner: str
    address: str


class ClaimBatcher:
    """Claims keys for one entry incarnation, batching concurrent claims into one write."""

    def __init__(
        self,
        *,
        table: BaseTable,
        incarnation: str,
        address: str,
        metrics: Metrics,
        get_entry_count: Callable[[], int],
    ) -> None:
        self._table = table
        self._value = msgspec.Raw(
            msgspec.json.encode(_ClaimRow(owner=incarnation, address=address))
        )
        self._metrics = metrics
        self._get_entry_count = get_entry_count
        self._waiting: dict[str, asyncio.Future[ClaimOutcome]] = {}
        self._next_write_at = 0.0
        self._writer: asyncio.Task[None] | None = None

    async def claim(self, key: ClaimKey) -> ClaimOutcome:
        """Claim a key and return its owner, which may be another entry.

        Raise :class:`KeyUnproved` if the owner could not be determined.
        """
        row_key = _get_row_key(key)
        future = self._waiting.get(row_key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[row_key] = future
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())
        return await asyncio.shield(future)

    async def _write_all(self) -> None:
        while self._waiting:
            await self._wait_for_write_slot()
            batch = dict(list(self._waiting.items())[:MAX_BATCH])
            for row_key in batch:
                del self._waiting[row_key]
            await self._write(batch)

    async def _wait_for_write_slot(self) -> None:
        """Limit this entry to its share of the table's write rate.

        Claims that arrive during the wait join the batch, so more entries add latency, not load.
        """
        now = clock.monotonic()
        if now < self._next_write_at:
            await asyncio.sleep(self._next_write_at - now)
        interval_s = self._get_entry_count() / TABLE_WRITES_PER_S
        self._next_write_at = clock.monotonic() + interval_s

    async def _write(self, batch: dict[str, asyncio.Future[ClaimOutcome]]) -> None:
        started_at = clock.monotonic()
        self._metrics.count("claims.writes")
        self._metrics.count("claims.keys", len(batch))
        puts = tuple(Put(key=row_key, value=self._value) for row_key in batch)
        try:
            rows: tuple[Row | None, ...] = await self._table.insert_rows(puts)
        except PlatformAnswerLost:
            rows = await self._read_back(tuple(batch))
        except PlatformError as error:
            self._fail(batch, error)
            return
        self._metrics.record("claim", "all", clock.monotonic() - started_at)
        for future, row in zip(batch.values(), rows, strict=True):
            _resolve(future, row)

    async def _read_back(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        self._metrics.count("claims.read_back")
        try:
            return await self._table.get_rows(keys)
        except PlatformError:
            return (None,) * len(keys)

    def _fail(self, batch: dict[str, asyncio.Future[ClaimOutcome]], error: PlatformError) -> None:
        for future in batch.values():
            if not future.done():
                future.set_exception(_make_unproved(str(error)))


def _resolve(future: asyncio.Future[ClaimOutcome], row: Row | None) -> None:
    if future.done():
        return
    if row is None:
        future.set_exception(
            _make_unproved("the response to the claim was lost and the row could not be read back")
        )
        return
    claim = msgspec.json.decode(row.value, type=_ClaimRow)
    future.set_result(ClaimOutcome(owner=claim.owner, address=claim.address))


def _make_unproved(reason: str) -> KeyUnproved:
    return KeyUnproved(f"the key could not be claimed: {reason}", retry_after_s=1.0)


def _get_row_key(key: ClaimKey) -> str:
    digest = hashlib.sha256(key.key.encode()).hexdigest()
    return f"claims/{key.account}/{digest}"
