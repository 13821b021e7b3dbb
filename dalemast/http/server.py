"""Listeners: an application on an address of the settings, with TLS if they say so."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from dalemast.http.base import NotFoundHandler
from dalemast.settings import ListenerSettings

__all__ = ["Listener"]

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
        host, _, port = settings.address.rpartition(":")
        self._sockets = bind_sockets(int(port), host.strip("[]"), backlog=1024)
        self._host = host
        self._application = Application(
            routes,  # type: ignore[arg-type]
            default_handler_class=NotFoundHandler,
            log_function=_get_silence(),
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
        """The address in use, with the port that the system chose."""
        return f"{self._host}:{self._sockets[0].getsockname()[1]}"

    def add_routes(self, routes: list[Route]) -> None:
        """Add routes that could not be made before the address was known."""
        self._application.add_handlers(".*", routes)  # type: ignore[arg-type]

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.add_sockets(self._sockets)

    def stop_accepting(self) -> None:
        """Accept no further connections; the open ones go on."""
        self._server.stop()

    async def close(self) -> None:
        """Stop and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()


def _get_silence() -> Callable[[Any], None]:
    return lambda handler: None


def _get_ssl(settings: ListenerSettings) -> ssl.SSLContext | None:
    if settings.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls.certificate, settings.tls.key)
    return context
