"""The platform's store: the configuration that operators write, and the list of entries."""

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
    TableNews,
    find_last_key,
)
from dalemast.platform.wire import FeedResponse, RowsResponse, RowWrite, TransactionCall

__all__ = ["PlatformStore"]

READ_TIMEOUT_S = 1.0
"""A healthy store answers in about 4 ms; a slow one may take 60 times as long."""
DECLARATIONS_WAIT_S = 2.0
"""Length of one long poll for configurations and evacuations. A cut connection says nothing, so
this bounds how late a change is heard once the path is back; each poll is priced at 0.00015."""
MEMBERS_WAIT_S = 25.0
"""The same for the list of entries, which peers tell each other as well."""
WAIT_SLACK_S = 0.5
MAX_CALLS = 4
"""Calls at a time: two feeds, an announcement and a reading."""
RETRY_S = (0.2, 1.0)
"""First and longest pause after a call that failed."""
GONE = 410


Answer = TypeVar("Answer", RowsResponse, FeedResponse)


class StoreUnavailable(Exception):
    """The store gave no good answer."""


class HistoryGone(Exception):
    """The store has forgotten the versions that a feed would continue from."""


class PlatformStore(BaseMemberStore):
    """Rows of the store, by feeds that begin with a full read."""

    def __init__(self, *, settings: Any, metrics: Metrics | None = None) -> None:
        self._client = DirectClient(address=settings.store.address, max_connections=MAX_CALLS)
        self._reader = RowReader(data_centres=settings.data_centres, metrics=metrics or Metrics())
        self._is_reachable = True
        self._was_unanswered = False
        """The last call got no answer: the next one takes a new connection, since each kept one
        that has fallen silent would cost the whole time-out of another call."""

    async def announce(self, member: Member) -> None:
        """Write this entry's row; tries until it is written."""
        value = base64.b64encode(msgspec.json.encode(member)).decode()
        row = RowWrite(table=MEMBERS_TABLE, part="", key=member.name, value=value)
        call = TransactionCall(writes=(row,))
        pause_s = RETRY_S[0]
        while True:
            try:
                # Writing the same row again does no harm, so an answer that was lost is no matter.
                await self._request("POST", "/v1/rows-tx", READ_TIMEOUT_S, body=call)
            except StoreUnavailable:
                pause_s = await _pause(pause_s)
            else:
                log_event("entry:announced", entry=member.name)
                return

    async def list_members(self) -> list[Member]:
        """Return the entries that were announced; none when the store can't be read."""
        try:
            news = await self._read(MEMBERS_TABLE)
        except StoreUnavailable:
            return []
        return self._reader.read_members(news)

    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Report what operators declare as it is accepted."""

        def take(news: TableNews) -> None:
            observer.handle_evacuations(self._reader.read_evacuations(news))
            for configuration in self._reader.read_configurations(news):
                observer.handle_configuration(configuration)

        await self._watch(OPERATORS_TABLE, DECLARATIONS_WAIT_S, take)

    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Report each announced entry."""

        def take(news: TableNews) -> None:
            for member in self._reader.read_members(news):
                callback(member)

        await self._watch(MEMBERS_TABLE, MEMBERS_WAIT_S, take)

    async def _watch(self, table: str, wait_s: float, take: Callable[[TableNews], None]) -> None:
        """Read a table in whole, then follow it; begin anew when its history is gone."""
        pause_s = RETRY_S[0]
        version: int | None = None
        while True:
            try:
                if version is None:
                    news = await self._read(table)
                else:
                    news = await self._follow(table, version, wait_s)
            except HistoryGone:
                log_event("store:history-gone", table=table, since=version)
                version = None
            except StoreUnavailable:
                pause_s = await _pause(pause_s)
            else:
                pause_s = RETRY_S[0]
                version = news.version
                take(news)

    async def _read(self, table: str) -> TableNews:
        """Read a table page by page, as of the first page's version.

        What changes while later pages are read comes again with the feed from that version.
        """
        first = page = await self._read_page(table, "")
        rows = list(self._reader.read_rows(table, first.rows))
        last_key = find_last_key(first.rows)
        while page.has_more:
            # A page begins with the key that it is asked from: the last one of the page before.
            page = await self._read_page(table, last_key)
            found = self._reader.read_rows(table, page.rows)
            rows += [row for row in found if row.key != last_key]
            before, last_key = last_key, find_last_key(page.rows)
            if last_key <= before:
                log_error("store:unreadable-page", table=table, after=before)
                break
        return TableNews(rows=tuple(rows), version=first.ver, is_whole=True)

    async def _read_page(self, table: str, first_key: str) -> RowsResponse:
        query = urlencode({"table": table, "part": "", "from": first_key})
        response = await self._request("GET", f"/v1/rows-get?{query}", READ_TIMEOUT_S)
        return self._decode(table, response, RowsResponse)

    async def _follow(self, table: str, version: int, wait_s: float) -> TableNews:
        """Return what has changed after a version; raises :class:`HistoryGone`."""
        query = urlencode({"table": table, "since_rev": version, "wait_ms": round(wait_s * 1000)})
        response = await self._request("GET", f"/v1/rows-feed?{query}", wait_s + WAIT_SLACK_S)
        if response.status == GONE:
            raise HistoryGone
        feed = self._decode(table, response, FeedResponse)
        rows = self._reader.read_rows(table, feed.rows)
        return TableNews(rows=rows, version=max(version, feed.ver), is_whole=False)

    def _decode(self, table: str, response: JsonResponse, answer_type: type[Answer]) -> Answer:
        """Decode an answer but for its rows; one that can't be read is as good as none."""
        try:
            answer: Answer = read_json(response.body, answer_type)
        except ForeignInput as refusal:
            self._reader.note_foreign(table, refusal)
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
            self._note(failure.message)
            raise StoreUnavailable(failure.message) from failure
        self._was_unanswered = False
        if response.status not in (200, GONE):
            self._note(f"status {response.status}")
            raise StoreUnavailable(f"status {response.status}")
        self._note("")
        return response

    def _note(self, trouble: str) -> None:
        """Log when the store is lost and when it is back, not each call."""
        if bool(trouble) == self._is_reachable:
            self._is_reachable = not trouble
            log_event("store:lost" if trouble else "store:regained", reason=trouble)


async def _pause(pause_s: float) -> float:
    """Sleep for about this long and return the next pause."""
    await asyncio.sleep(pause_s * (0.5 + random.random()))
    return min(pause_s * 2, RETRY_S[1])
