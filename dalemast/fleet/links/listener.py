"""The accepting end of links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from picows import WSUpgradeRequest, ws_create_server

from dalemast.fleet.links.base import MAX_FRAME_BYTES, Link, LinkReceiver, LinkSocket
from dalemast.http.server import BACKLOG

__all__ = ["LinkListener", "LinkRoute"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkRoute:
    """The message type and the receivers of links that are opened at a URL path."""

    path: str
    message_type: Any
    accept: Callable[[Link], LinkReceiver]


class LinkListener:
    """Accepts links on one address, an IP address and a port."""

    def __init__(self, *, address: str, routes: tuple[LinkRoute, ...]) -> None:
        self._address = address
        self._routes = {route.path: route for route in routes}
        self._server: asyncio.Server | None = None
        self._open: set[LinkSocket] = set()

    @property
    def address(self) -> str:
        """The address in use; port 0 is replaced by the port that the system chose."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self._address.rpartition(":")
        self._server = await ws_create_server(
            self._accept, host, int(port), max_frame_size=MAX_FRAME_BYTES, backlog=BACKLOG
        )

    async def close(self) -> None:
        """Stop listening and close all accepted links."""
        if self._server is not None:
            self._server.close()
        for accepted in list(self._open):
            if accepted.link is not None:
                accepted.link.end()

    def _accept(self, request: WSUpgradeRequest) -> LinkSocket | None:
        """Return the handler of a new WebSocket, or None to refuse an unknown path."""
        route = self._routes.get(request.path.decode())
        if route is None:
            return None
        accepted = LinkSocket(message_type=route.message_type, make_receiver=route.accept)
        self._open.add(accepted)
        accepted.ended.add_done_callback(lambda _: self._open.discard(accepted))
        return accepted
