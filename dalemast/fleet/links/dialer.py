"""The dialling end of links."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any

from picows import WSError, WSParsedURL, ws_connect

from dalemast import clock
from dalemast.fleet.links.base import MAX_FRAME_BYTES, Link, LinkReceiver, LinkSocket
from dalemast.observability import log_error

__all__ = ["Dialer"]


OPEN_TIMEOUT_S = 0.8
"""Timeout of one attempt to open a link, in seconds."""
FIRST_CONNECT_S = 0.1
"""Connection timeout of the first attempt, in seconds; it is doubled at each further one, up to
:data:`OPEN_TIMEOUT_S`. It is short since the kernel repeats a lost SYN packet only after a second,
and a new attempt reaches a host that has just started sooner."""
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.25
"""Minimum and maximum delay between attempts, in seconds."""
SLOW_RETRY_S = 1.0
"""Delay between attempts after :data:`SLOW_RETRY_AFTER_S` without a link."""
SLOW_RETRY_AFTER_S = 5.0
"""Time without a link after which attempts become less frequent, in seconds. A peer that is
restarting is usually back sooner."""
LOST_RETRY_S = 4.0
"""Delay between attempts after :data:`LOST_AFTER_S` without a link."""
LOST_AFTER_S = 20.0
"""The host is presumed lost after this time without a link."""
MAX_DOUBLINGS = 4
"""Maximum number of doublings; enough for both values to reach their maximum."""


class Dialer:
    """Keeps a link to one address open and reconnects whenever it ends.

    ``make_receiver`` is called with each new link and returns its receiver.
    """

    def __init__(
        self,
        *,
        url: str,
        message_type: Any,
        make_receiver: Callable[[Link], LinkReceiver],
    ) -> None:
        self._url = url
        self._message_type = message_type
        self._make_receiver = make_receiver
        self._link: Link | None = None
        """The open link. It is set before ``_connect`` returns."""
        self._failing_since: float | None = clock.monotonic()
        """When the last link ended, or None while one is open."""
        self._task = asyncio.create_task(self._keep())

    def is_failing(self, now: float, *, longer_than_s: float) -> bool:
        """Return whether no link has been open for longer than this."""
        return self._failing_since is not None and now - self._failing_since > longer_than_s

    def stop(self) -> None:
        """Close the link and stop reconnecting."""
        self._task.cancel()
        if self._link is not None:
            self._link.end()

    async def _keep(self) -> None:
        tries = 0
        while True:
            opened = await self._connect(min(FIRST_CONNECT_S * 2**tries, OPEN_TIMEOUT_S))
            if opened is not None:
                tries = 0
                self._failing_since = None
                await opened.ended
                self._link = None
                self._failing_since = clock.monotonic()
            await asyncio.sleep(self._get_retry_s(tries) * (0.5 + random.random()))
            tries = min(tries + 1, MAX_DOUBLINGS)

    def _get_retry_s(self, tries: int) -> float:
        """Return the delay after this number of consecutive failed attempts."""
        now = clock.monotonic()
        if self.is_failing(now, longer_than_s=LOST_AFTER_S):
            return LOST_RETRY_S
        if self.is_failing(now, longer_than_s=SLOW_RETRY_AFTER_S):
            return SLOW_RETRY_S
        return min(FIRST_RETRY_S * 2**tries, MAX_RETRY_S)

    def _handle_link(self, link: Link) -> LinkReceiver:
        """Store a new link and return its receiver."""
        self._link = link
        return self._make_receiver(link)

    async def _connect(self, connect_s: float) -> LinkSocket | None:
        """Open a link; ``connect_s`` is the timeout of the TCP connection alone."""
        opening = LinkSocket(message_type=self._message_type, make_receiver=self._handle_link)

        async def connect(url: WSParsedURL) -> socket.socket:
            return await _connect_socket(url.host, url.port, connect_s)

        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await ws_connect(
                    lambda: opening,
                    self._url,
                    socket_factory=connect,
                    max_frame_size=MAX_FRAME_BYTES,
                    max_redirects=0,
                    websocket_handshake_timeout=OPEN_TIMEOUT_S,
                )
        except (OSError, WSError, TimeoutError):
            # Not logged: addresses are often unreachable while hosts restart or are disconnected.
            # The loss of an owner or a peer is logged where it is detected.
            opening.give_up()
            self._link = None
            return None
        except asyncio.CancelledError:
            opening.give_up()
            raise
        except Exception as error:
            # An error in the library or in the receiver must not stop reconnecting permanently.
            log_error("link:fault", url=self._url, reason=repr(error))
            opening.give_up()
            self._link = None
            return None
        if opening.link is None:
            # The connection ended before the handshake completed. The library does not report the
            # end of such a connection, so waiting for it would stop reconnecting permanently.
            opening.give_up()
            return None
        return opening


async def _connect_socket(host: str, port: int, connect_s: float) -> socket.socket:
    """Return a connected socket; raise ``OSError`` or ``TimeoutError`` on failure."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(connect_s):
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock
