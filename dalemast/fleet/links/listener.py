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
    """Links that are opened at a path: the messages that arrive on them, and who takes them."""

    path: str
    message_type: Any
    accept: Callable[[Link], LinkReceiver]


class LinkListener:
    """Accepts links on one address, an IP number and a port."""

    def __init__(self, *, address: str, routes: tuple[LinkRoute, ...]) -> None:
        self._address = address
        self._routes = {route.path: route for route in routes}
        self._server: asyncio.Server | None = None
        self._open: set[LinkSocket] = set()

    @property
    def address(self) -> str:
        """The address in use, with the port that the system chose if 0 was asked for."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(":")
        self._server = await ws_create_server(
            self._accept, host, int(port), max_frame_size=MAX_FRAME_BYTES, backlog=BACKLOG
        )

    async def close(self) -> None:
        """Stop listening and end all links that were accepted."""
        if self._server is not None:
            self._server.close()
        for accepted in list(self._open):
            if accepted.link is not None:
                accepted.link.end()

    def _accept(self, request: WSUpgradeRequest) -> LinkSocket | None:
        """Return who serves a new WebSocket; None refuses its path."""
        route = self._routes.get(request.path.decode())
        if route is None:
            return None
        accepted = LinkSocket(message_type=route.message_type, make_receiver=route.accept)
        self._open.add(accepted)
        accepted.ended.add_done_callback(lambda _: self._open.discard(accepted))
        return accepted
