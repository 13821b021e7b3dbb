"""An HTTP server that tracks which persistent connections of callers are idle."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.web import Application

__all__ = ["CallerServer"]


class CallerServer(HTTPServer):
    """Counts open connections and can close those without a request in progress.

    Its handlers must call :meth:`note_request` for each request.
    """

    def __init__(self, application: Application, **options: Any) -> None:
        super().__init__(application, **options)
        self._served: set[object] = set()
        """Connections that have received at least one request."""
        self._idle: set[object] = set()
        """Connections in ``_served`` that wait for their next request."""

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Mark a connection as idle, unless it has not received its first request yet."""
        if server_conn in self._served:
            self._idle.add(server_conn)
        return super().start_request(server_conn, request_conn)

    def note_request(self, server_conn: object) -> None:
        """Mark a connection as busy with a request."""
        self._served.add(server_conn)
        self._idle.discard(server_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._served.discard(server_conn)
        self._idle.discard(server_conn)
        super().on_close(server_conn)

    def close_idle(self) -> int:
        """Close the idle connections and return their number.

        A new connection stays open, since its first request may be on its way.
        """
        idle = list(self._idle)
        for connection in idle:
            connection.stream.close()  # type: ignore[attr-defined]
        return len(idle)
