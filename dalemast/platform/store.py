"""The platform's store: the configuration that operators write, and the list of entries."""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from dalemast.core.evacuations import EvacuationChanges
from dalemast.core.workloads import Queue
from dalemast.fleet.base import BaseMemberStore, Configuration, DeclarationObserver, Member
from dalemast.http.direct import DirectClient
from dalemast.http.messages import HttpFailure, JsonResponse
from dalemast.observability import log_error, log_event
from dalemast.platform.wire import (
    ConfigurationDocument,
    FeedAnswer,
    RouteBody,
    RowBody,
    RowsAnswer,
    RowWrite,
    TransactionCall,
)

__all__ = ["PlatformStore"]

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""A row whose key goes on with the name of a data centre asks for its evacuation."""
MEMBERS_TABLE = "dalemast-entries"
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


class StoreUnavailable(Exception):
    """The store gave no good answer."""


class HistoryGone(Exception):
    """The store has forgotten the versions that a feed would continue from."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableNews:
    """Rows of a table as of a version: all of them, or those that changed since the last news."""

    rows: tuple[RowBody, ...]
    version: int
    is_whole: bool


class PlatformStore(BaseMemberStore):
    """Rows of the store, by feeds that begin with a full read."""

    def __init__(self, *, settings: object) -> None:
        address = settings.store.address  # type: ignore[attr-defined]
        self._client = DirectClient(address=address, max_connections=MAX_CALLS)
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
            answer = await self._read(MEMBERS_TABLE)
        except StoreUnavailable:
            return []
        return [member for row in answer.rows for member in _read_member(row)]

    async def watch_declarations(self, observer: DeclarationObserver) -> None:
        """Report what operators declare as it is accepted."""

        def take(news: TableNews) -> None:
            observer.take_evacuations(_read_evacuations(news))
            for row in news.rows:
                if row.key == CONFIGURATION_KEY and not row.is_removed:
                    for configuration in _read_configuration(row):
                        observer.take_configuration(configuration)

        await self._watch(OPERATORS_TABLE, DECLARATIONS_WAIT_S, take)

    async def watch_members(self, callback: Callable[[Member], None]) -> None:
        """Report each announced entry."""

        def take(news: TableNews) -> None:
            for row in news.rows:
                if not row.is_removed:
                    for member in _read_member(row):
                        callback(member)

        await self._watch(MEMBERS_TABLE, MEMBERS_WAIT_S, take)

    async def _watch(self, table: str, wait_s: float, take: Callable[[TableNews], None]) -> None:
        """Read a table in whole, then follow it; begin anew when its history is gone."""
        pause_s = RETRY_S[0]
        version: int | None = None
        while True:
            try:
                if version is None:
                    whole = await self._read(table)
                    news = TableNews(rows=whole.rows, version=whole.ver, is_whole=True)
                else:
                    feed = await self._follow(table, version, wait_s)
                    newest = max(version, feed.ver)
                    news = TableNews(rows=feed.rows, version=newest, is_whole=False)
            except HistoryGone:
                log_event("store:history-gone", table=table, since=version)
                version = None
            except StoreUnavailable:
                pause_s = await _pause(pause_s)
            else:
                pause_s = RETRY_S[0]
                version = news.version
                take(news)

    async def _read(self, table: str) -> RowsAnswer:
        """Read a table page by page, as of the first page's version.

        What changes while later pages are read comes again with the feed from that version.
        """
        first = page = await self._read_page(table, "")
        rows = list(first.rows)
        while page.has_more:
            # A page begins with the key that it is asked from: the last one of the page before.
            page = await self._read_page(table, rows[-1].key)
            rows += page.rows[1:]
        return RowsAnswer(rows=tuple(rows), ver=first.ver)

    async def _read_page(self, table: str, first_key: str) -> RowsAnswer:
        query = urlencode({"table": table, "part": "", "from": first_key})
        response = await self._request("GET", f"/v1/rows-get?{query}", READ_TIMEOUT_S)
        answer = response.decode(RowsAnswer)
        assert isinstance(answer, RowsAnswer)
        return answer

    async def _follow(self, table: str, version: int, wait_s: float) -> FeedAnswer:
        query = urlencode({"table": table, "since_rev": version, "wait_ms": round(wait_s * 1000)})
        response = await self._request("GET", f"/v1/rows-feed?{query}", wait_s + WAIT_SLACK_S)
        if response.status == GONE:
            raise HistoryGone
        answer = response.decode(FeedAnswer)
        assert isinstance(answer, FeedAnswer)
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


def _read_member(row: RowBody) -> list[Member]:
    try:
        return [msgspec.json.decode(base64.b64decode(row.value), type=Member)]
    except (ValueError, msgspec.MsgspecError) as error:
        log_error("store:bad-entry-row", key=row.key, reason=str(error))
        return []


def _read_evacuations(news: TableNews) -> EvacuationChanges:
    rows = [row for row in news.rows if row.key.startswith(EVACUATION_PREFIX)]
    return EvacuationChanges(
        version=news.version,
        begun=frozenset(_read_data_centre(row) for row in rows if not row.is_removed),
        ended=frozenset(_read_data_centre(row) for row in rows if row.is_removed),
        is_whole=news.is_whole,
    )


def _read_data_centre(row: RowBody) -> str:
    return row.key.removeprefix(EVACUATION_PREFIX)


def _read_configuration(row: RowBody) -> list[Configuration]:
    try:
        document = msgspec.json.decode(base64.b64decode(row.value), type=ConfigurationDocument)
    except (ValueError, msgspec.MsgspecError) as error:
        log_error("store:bad-configuration", version=row.ver, reason=str(error))
        return []
    queues = tuple(_make_queue(route) for route in document.routes)
    return [Configuration(version=document.version, queues=queues)]


def _make_queue(route: RouteBody) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        slack_s=route.slack_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        needs_advice=route.advice is not None,
    )
