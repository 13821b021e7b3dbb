"""An emulated store over HTTP: rows, feeds and transactions, with outages."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from dalemast.http.server import bind_address, log_nothing
from dalemast.platform.wire import FeedAnswer, RowBody, RowsAnswer

__all__ = ["EmulatedStore"]

FEED_GRAIN_S = 0.01


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
            self._send(self._store.read(self.get_argument("table")))
            return
        since = int(self.get_argument("since_rev"))
        if since < self._store.forgotten_version:
            self.set_status(410)
            self.finish(b"{}")
            return
        wait_s = int(self.get_argument("wait_ms", "0")) / 1000
        self._send(await self._store.follow(self.get_argument("table"), since, wait_s))

    def post(self, call: str) -> None:
        """Write rows."""
        body = msgspec.json.decode(self.request.body)
        self._store.write(body.get("set_keys", []))
        if self._store.loses_answers:
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self._send({"ver": self._store.version})

    def _send(self, body: Any) -> None:
        self.finish(msgspec.json.encode(body))


class EmulatedStore:
    """Rows by table and key, each with the version of its last write."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._rows: dict[tuple[str, str], RowBody] = {}
        self.version = 0
        self.forgotten_version = 0
        self.outage = ""
        """Empty, ``busy`` or ``silent``."""
        self.loses_answers = False
        self.calls = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    def start(self) -> None:
        """Listen."""
        routes = [("/v1/rows-(get|feed|tx)", RowsHandler, {"store": self})]
        self._server = HTTPServer(Application(routes, log_function=log_nothing))
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

    def forget_history(self) -> None:
        """Let feeds from before now fail."""
        self.version += 1
        self.forgotten_version = self.version

    def write(self, rows: list[dict[str, Any]]) -> None:
        """Write rows under one new version."""
        self.version += 1
        for row in rows:
            body = RowBody(**row, ver=self.version)
            self._rows[body.table, body.key] = body

    def read(self, table: str) -> RowsAnswer:
        """Return a table in whole."""
        rows = tuple(row for (name, _), row in sorted(self._rows.items()) if name == table)
        return RowsAnswer(rows=rows, ver=self.version)

    async def follow(self, table: str, since: int, wait_s: float) -> FeedAnswer:
        """Return what has changed, as soon as anything has."""
        answer_by = asyncio.get_running_loop().time() + wait_s
        while True:
            rows = tuple(row for row in self.read(table).rows if row.ver > since)
            if rows or asyncio.get_running_loop().time() >= answer_by:
                return FeedAnswer(rows=rows, ver=self.version)
            await asyncio.sleep(FEED_GRAIN_S)
