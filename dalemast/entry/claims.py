"""Claims: bind a caller's own key to one owner by a conditional insert in the platform's table.

Claims that arrive while a write is under way share the next one. When the answer to a write is
lost, the row is read back: it names the writer. This is the resolution that log-based recovery
gives a transaction whose commit answer was lost, by asking for the outcome and never writing
blindly again (see docs/decisions/0002-submissions.md).
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
TABLE_WRITES_PER_S = 300.0
"""Writes a second that all entries together spend on claims."""


class _ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a claim's row."""

    owner: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """Who owns a key."""

    owner: str
    address: str


class ClaimBatcher:
    """Claims keys for one entry incarnation, many to a write."""

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
        """Claim a key or learn who has it; raises :class:`KeyUnproved`."""
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
            await self._keep_pace()
            batch = dict(list(self._waiting.items())[:MAX_BATCH])
            for row_key in batch:
                del self._waiting[row_key]
            await self._write(batch)

    async def _keep_pace(self) -> None:
        """Leave the other entries their part of the writes that the table takes.

        What arrives meanwhile shares the write, so more entries mean a longer wait, not more load.
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
        future.set_exception(_make_unproved("the answer to the claim was lost"))
        return
    claim = msgspec.json.decode(row.value, type=_ClaimRow)
    future.set_result(ClaimOutcome(owner=claim.owner, address=claim.address))


def _make_unproved(reason: str) -> KeyUnproved:
    return KeyUnproved(f"the key could not be claimed: {reason}", retry_after_s=1.0)


def _get_row_key(key: ClaimKey) -> str:
    digest = hashlib.sha256(key.key.encode()).hexdigest()
    return f"claims/{key.account}/{digest}"
