"""HTTP servers bound to the addresses of the settings, with TLS if configured."""

from __future__ import annotations

import socket
import ssl
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from dalemast.http.base import NotFoundHandler
from dalemast.settings import ListenerSettings

__all__ = ["BACKLOG", "Listener", "bind_address", "skip_access_log"]

BACKLOG = 1024
"""Listen backlog for addresses to which many clients connect at once."""
DEFAULT_BACKLOG = 128
"""Listen backlog for other addresses; the same as Tornado's default."""

Route = tuple[str, type, dict[str, Any]]


class Listener:
    """An HTTP server on one address."""

    def __init__(
        self,
        *,
        settings: ListenerSettings,
        routes: list[Route],
        max_body_bytes: int = 8 * 1024 * 1024,
        websocket_ping_s: float | None = None,
    ) -> None:
        self._sockets, self._address = bind_address(settings.address, backlog=BACKLOG)
        self._application = Application(
            routes,  # type: ignore[arg-type]
            default_handler_class=NotFoundHandler,
            log_function=skip_access_log,
            websocket_ping_interval=websocket_ping_s,
            websocket_max_message_size=max_body_bytes,
        )
        self._server = HTTPServer(
            self._application,
            max_body_size=max_body_bytes,
            max_buffer_size=max_body_bytes + 1024 * 1024,
            ssl_options=_get_ssl(settings),
        )

    @property
    def address(self) -> str:
        """The bound address, with the port chosen by the system if the configured one is 0."""
        return self._address

    def add_routes(self, routes: list[Route]) -> None:
        """Add routes that depend on the bound address."""
        self._application.add_handlers(".*", routes)  # type: ignore[arg-type]

    def start(self) -> None:
        """Start accepting connections."""
        self._server.add_sockets(self._sockets)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._server.stop()

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.stop()
        await self._server.close_all_connections()


def bind_address(
    address: str, *, backlog: int = DEFAULT_BACKLOG
) -> tuple[list[socket.socket], str]:
    """Bind sockets to a host and port; return them and the bound address.

    The bound address has the port chosen by the system if the requested port is 0.
    """
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host.strip("[]"), backlog=backlog)
    return sockets, f"{host}:{sockets[0].getsockname()[1]}"


def skip_access_log(handler: RequestHandler) -> None:
    """Disable Tornado's access log; requests are logged by the code that handles them."""


def _get_ssl(settings: ListenerSettings) -> ssl.SSLContext | None:
    if settings.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls.certificate, settings.tls.key)
    return context
