"""Client of the platform's store, which holds the operators' declarations and the entries."""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from dalemast.fleet.base import BaseMemberStore, DeclarationObserver, Member
from dalemast.http.direct import DirectClient
from dalemast.http.messages import HttpFailure, JsonResponse
from dalemast.observability import Metrics, log_error, log_event
from dalemast.platform.foreign import ForeignInput, read_json
from dalemast.platform.rows import (
    MEMBERS_TABLE,
    OPERATORS_TABLE,
    RowReader,
    TableUpdate,
    find_last_readable_key,
)
from dalemast.platform.wire import FeedResponse, RowsResponse, RowWrite, TransactionCall

__all__ = ["PlatformStore"]

READ_TIMEOUT_S = 1.0
"""Timeout of a read or a write, in seconds. A healthy store answers in about 4 ms, and a slow one
may take 60 times as long."""
DECLARATIONS_WAIT_S = 2.0
"""Duration of a long poll for configurations and evacuations, in seconds. A lost connection is not
noticed before its end, so it bounds the delay of changes; shorter polls cost more calls."""
MEMBERS_WAIT_S = 25.0
"""The same for the list of entries. May be longer, since peers also exchange that list."""
WAIT_SLACK_S = 0.5
"""Time for the response to a long poll beyond its duration, in seconds."""
MAX_CALLS = 4
"""Maximum number of concurrent calls: two feeds, an announcement and a read."""
RETRY_PAUSES_S = (0.2, 1.0)
"""Initial and maximum pause after a failed call, in seconds."""
GONE = 410


Answer = TypeVar("Answer", RowsResponse, FeedResponse)


class StoreUnavailable(Exception):
    """The store did not return a valid response."""


class HistoryGone(Exception):
    """The store no longer keeps the version that a feed continues from."""


class PlatformStore(BaseMemberStore):
    """Client that reads a whole table, then follows its changes by long polls."""

    def __init__(self, *, settings: Any, metrics: Metrics | None = None) -> None:
        self._client = DirectClient(address=settings.store.address, max_connections=MAX_CALLS)
        self._reader = RowReader(data_centres=settings.data_centres, metrics=metrics or Metrics())
        self._is_reachable = True
        self._was_unanswered = False
        """Whether the last call was unanswered. The next one then uses a new connection, since each
        unresponsive connection kept open would cost another timeout."""

    async def announce(self, member: Member) -> None:
        """Write this entry's row, retrying until it is written."""
        value = base64.b64encode(msgspec.json.encode(member)).decode()
        row = RowWrite(table=MEMBERS_TABLE, part="", key=member.name, value=value)
        call = TransactionCall(writes=(row,))
        pause_s = RETRY_PAUSES_S[0]
        while True:
            try:
                # Writing the row again is harmless, so the call is retried if its response is lost.
                await self._request("POST", "/v1/rows-tx", READ_TIMEOUT_S, body=call)
            except StoreUnavailable:
                pause_s = await _pause(pause_s)
            else:
                log_event("entry:announced", entry=member.name)
                return

    async def list_members(self) -> list[Member]:
        """Return the announced entries, or an empty list if the store is unavailable."""
        try:
            update = await self._read(MEMBERS_TABLE)
        except StoreUnavailable:
            return []
        return self._reader.read_members(update)

    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Pass the operators' declarations to the observer, now and on each change."""

        def handle(update: TableUpdate) -> None:
            observer.handle_evacuations(self._reader.read_evacuations(update))
            for configuration in self._reader.read_configurations(update):
                observer.handle_configuration(configuration)

        await self._watch(OPERATORS_TABLE, DECLARATIONS_WAIT_S, handle)

    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Call ``callback`` with each announced entry, now and on each change."""

        def handle(update: TableUpdate) -> None:
            for member in self._reader.read_members(update):
                callback(member)

        await self._watch(MEMBERS_TABLE, MEMBERS_WAIT_S, handle)

    async def _watch(
        self, table: str, wait_s: float, handle: Callable[[TableUpdate], None]
    ) -> None:
        """Read a whole table, then follow its changes; restart if its history is gone."""
        pause_s = RETRY_PAUSES_S[0]
        version: int | None = None
        while True:
            try:
                if version is None:
                    update = await self._read(table)
                else:
                    update = await self._follow(table, version, wait_s)
            except HistoryGone:
                log_event("store:history-gone", table=table, since=version)
                version = None
            except StoreUnavailable:
                pause_s = await _pause(pause_s)
            else:
                pause_s = RETRY_PAUSES_S[0]
                version = update.version
                handle(update)

    async def _read(self, table: str) -> TableUpdate:
        """Read a table page by page; return it with the first page's version.

        A feed from that version repeats the changes made while later pages were read.
        """
        first = page = await self._read_page(table, "")
        rows = list(self._reader.read_rows(table, first.rows))
        last_key = find_last_readable_key(first.rows)
        while page.has_more:
            # A page begins with the requested key, the last one of the page before.
            page = await self._read_page(table, last_key)
            found = self._reader.read_rows(table, page.rows)
            rows += [row for row in found if row.key != last_key]
            before, last_key = last_key, find_last_readable_key(page.rows)
            if last_key <= before:
                log_error("store:unreadable-page", table=table, after=before)
                break
        return TableUpdate(rows=tuple(rows), version=first.ver, is_whole=True)

    async def _read_page(self, table: str, first_key: str) -> RowsResponse:
        query = urlencode({"table": table, "part": "", "from": first_key})
        response = await self._request("GET", f"/v1/rows-get?{query}", READ_TIMEOUT_S)
        return self._decode(table, response, RowsResponse)

    async def _follow(self, table: str, version: int, wait_s: float) -> TableUpdate:
        """Return the rows changed after a version; raises :class:`HistoryGone`."""
        query = urlencode({"table": table, "since_rev": version, "wait_ms": round(wait_s * 1000)})
        response = await self._request("GET", f"/v1/rows-feed?{query}", wait_s + WAIT_SLACK_S)
        if response.status == GONE:
            raise HistoryGone
        feed = self._decode(table, response, FeedResponse)
        rows = self._reader.read_rows(table, feed.rows)
        return TableUpdate(rows=rows, version=max(version, feed.ver), is_whole=False)

    def _decode(self, table: str, response: JsonResponse, response_type: type[Answer]) -> Answer:
        """Decode a response except its rows; raises :class:`StoreUnavailable` if it is invalid."""
        try:
            answer: Answer = read_json(response.body, response_type)
        except ForeignInput as refusal:
            self._reader.record_foreign(table, refusal)
            raise StoreUnavailable(str(refusal)) from refusal
        return answer

    async def _request(
        self, method: str, path: str, timeout_s: float, *, body: object = None
    ) -> JsonResponse:
        try:
            response = await self._client.request(
                method,
                path,
                body=body,
                timeout_s=timeout_s,
                is_fresh=self._was_unanswered,
            )
        except HttpFailure as failure:
            self._was_unanswered = True
            self._record_reachability(failure.message)
            raise StoreUnavailable(failure.message) from failure
        self._was_unanswered = False
        if response.status not in (200, GONE):
            self._record_reachability(f"status {response.status}")
            raise StoreUnavailable(f"status {response.status}")
        self._record_reachability("")
        return response

    def _record_reachability(self, failure: str) -> None:
        """Log when the store becomes unreachable or reachable, rather than each failed call."""
        if bool(failure) == self._is_reachable:
            self._is_reachable = not failure
            log_event("store:lost" if failure else "store:regained", reason=failure)


async def _pause(pause_s: float) -> float:
    """Sleep for about ``pause_s``, with random jitter; return the next pause."""
    await asyncio.sleep(pause_s * (0.5 + random.random()))
    return min(pause_s * 2, RETRY_PAUSES_S[1])
