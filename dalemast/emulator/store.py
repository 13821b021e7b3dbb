"""An emulated store over HTTP: rows, feeds and transactions, with outages."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast.http.server import bind_address, skip_access_log
from dalemast.platform.wire import (
    FeedResponse,
    RowBody,
    RowsResponse,
)

__all__ = ["EmulatedStore"]

FEED_GRAIN_S = 0.01


class HistoryForgotten(Exception):
    """A feed would continue from a version that the store has forgotten."""


class RowsHandler(RequestHandler):
    """All calls of the store."""

    def initialize(self, store: EmulatedStore) -> None:
        """Take what the routes give."""
        self._store = store

    async def prepare(self) -> None:
        """Refuse or hang while the store is down."""
        self._store.calls += 1
        if self._store.outage == "silent":
            await asyncio.sleep(60.0)
        if self._store.outage:
            self.set_status(503)
            self.finish(b"{}")

    async def get(self, call: str) -> None:
        """Read a table or follow it."""
        if call == "get":
            first_key = self.get_argument("from", "")
            self._send(self._store.read_page(self.get_argument("table"), first_key))
            return
        since = int(self.get_argument("since_rev"))
        wait_s = int(self.get_argument("wait_ms", "0")) / 1000
        try:
            self._send(await self._store.follow(self.get_argument("table"), since, wait_s))
        except HistoryForgotten:
            self.set_status(410)
            self.finish(b"{}")

    def post(self, call: str) -> None:
        """Write rows."""
        body = msgspec.json.decode(self.request.body)
        self._store.write(body.get("set_keys", []))
        if self._store.loses_answers:
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self._send({"ver": self._store.version})

    def _send(self, body: Any) -> None:
        garbled = self._store.garbled_answers
        if garbled:
            self._store.garbled_answers = garbled - 1
            self.finish(b'{"rows":[{"key":"\xff')
            return
        self.finish(msgspec.json.encode(body))


class EmulatedStore:
    """Rows by table and key, each with the version of its last write."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._rows: dict[tuple[str, str], RowBody] = {}
        self._raw: dict[tuple[str, str], msgspec.Raw] = {}
        """What is shown in place of rows that another writer has left."""
        self.version = 0
        self.forgotten_version = 0
        self.outage = ""
        """Empty, ``busy`` or ``silent``."""
        self.loses_answers = False
        self.garbled_answers = 0
        """How many of the next answers can't be read."""
        self.calls = 0
        self.page_rows = 500
        """Rows of a page at the most; from the platform."""

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    def start(self) -> None:
        """Listen."""
        routes = [("/v1/rows-(get|feed|tx)", RowsHandler, {"store": self})]
        self._server = HTTPServer(Application(routes, log_function=skip_access_log))
        sockets, self._address = bind_address(self._address)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop."""
        self._server.stop()
        await self._server.close_all_connections()

    def put(self, table: str, key: str, document: object) -> None:
        """Write a document as the operator would."""
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self.write([{"table": table, "part": "", "key": key, "value": value}])

    def put_raw(self, table: str, key: str, row: bytes) -> None:
        """Show this JSON where the row of a key would stand, as another writer leaves it."""
        self.write([{"table": table, "part": "", "key": key, "value": ""}])
        self._raw[table, key] = msgspec.Raw(row)

    def put_value(self, table: str, key: str, value: str) -> None:
        """Write a row whose value is this text, base64 or not."""
        self.write([{"table": table, "part": "", "key": key, "value": value}])

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the operator would; feeds tell of it until the history is forgotten."""
        self.version += 1
        self._raw.pop((table, key), None)
        self._rows[table, key] = RowBody(table=table, key=key, ver=self.version, is_removed=True)

    def forget_history(self) -> None:
        """Let feeds from before now fail."""
        self.version += 1
        self.forgotten_version = self.version
        self._rows = {key: row for key, row in self._rows.items() if not row.is_removed}

    def write(self, rows: list[dict[str, Any]]) -> None:
        """Write rows under one new version."""
        self.version += 1
        for row in rows:
            body = RowBody(**row, ver=self.version)
            self._rows[body.table, body.key] = body
            self._raw.pop((body.table, body.key), None)

    def read_page(self, table: str, first_key: str) -> RowsResponse:
        """Return the rows of a table from a key on, as many as a page holds."""
        rows = tuple(
            row for row in self._get_rows(table) if row.key >= first_key and not row.is_removed
        )
        has_more = len(rows) > self.page_rows
        shown = self._show(rows[: self.page_rows])
        return RowsResponse(rows=shown, has_more=has_more, ver=self.version)

    def _get_rows(self, table: str) -> list[RowBody]:
        """Return the rows of a table by key, with those that were removed."""
        return [row for (name, _), row in sorted(self._rows.items()) if name == table]

    async def follow(self, table: str, since: int, wait_s: float) -> FeedResponse:
        """Return what has changed, as soon as anything has; raises :class:`HistoryForgotten`."""
        answer_by = asyncio.get_running_loop().time() + wait_s
        while True:
            if since < self.forgotten_version:
                raise HistoryForgotten
            rows = tuple(row for row in self._get_rows(table) if row.ver > since)
            if rows or asyncio.get_running_loop().time() >= answer_by:
                return FeedResponse(rows=self._show(rows), ver=self.version)
            await asyncio.sleep(FEED_GRAIN_S)

    def _show(self, rows: tuple[RowBody, ...]) -> tuple[Any, ...]:
        """Return rows as they are answered, those of another writer as it left them."""
        return tuple(self._raw.get((row.table, row.key), row) for row in rows)
