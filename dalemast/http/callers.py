"""A server for callers that keep their connections, and which of these wait without a request."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.web import Application

__all__ = ["CallerServer"]


class CallerServer(HTTPServer):
    """Knows how many connections are open, and closes those that wait for a further request.

    Its handlers tell of each request by :meth:`note_request`.
    """

    def __init__(self, application: Application, **options: Any) -> None:
        super().__init__(application, **options)
        self._served: set[object] = set()
        """Connections that have brought a request."""
        self._idle: set[object] = set()
        """Those of them that wait for the next one."""

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Note that a connection waits for a request: its first, or the one after an answer."""
        if server_conn in self._served:
            self._idle.add(server_conn)
        return super().start_request(server_conn, request_conn)

    def note_request(self, server_conn: object) -> None:
        """Note that a connection has brought a request."""
        self._served.add(server_conn)
        self._idle.discard(server_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._served.discard(server_conn)
        self._idle.discard(server_conn)
        super().on_close(server_conn)

    def close_idle(self) -> int:
        """Close the connections that wait for a further request; return how many.

        One that was just opened stays: its first request is on its way.
        """
        idle = list(self._idle)
        for connection in idle:
            connection.stream.close()  # type: ignore[attr-defined]
        return len(idle)
