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
"""Longest time from a try to an open link. A slowed host answers within tenths of a second."""
FIRST_CONNECT_S = 0.1
"""How long the first try waits for a connection; each further one waits twice as long, up to
:data:`OPEN_TIMEOUT_S`. A host that is just starting says nothing at first, and the kernel sends the
opening packet again only after a second: a new try reaches it sooner."""
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.25
"""Bounds on the pause between tries. A restarted process is back within about a second."""
SLOW_RETRY_S = 1.0
"""Pause once an address has not answered for :data:`RESTART_S`."""
SLOW_RETRY_AFTER_S = 5.0
"""In this time a process that was killed or stopped is back, as a rule."""
LOST_RETRY_S = 4.0
"""Pause once an address has not answered for :data:`DOUBT_AFTER_S`: its host is likely gone."""
LOST_AFTER_S = 20.0
MAX_DOUBLINGS = 4
"""Enough for both pauses to reach their bounds."""


class Dialer:
    """Keeps a link to one address open: connects, serves, and connects again.

    ``make_receiver`` gets each new link and returns an object with ``receive`` and ``close``.
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
        """The open link, from its opening on, which is before the task that dials hears of it."""
        self._failing_since: float | None = clock.monotonic()
        """Since when no link is open, or None while one is."""
        self._task = asyncio.create_task(self._keep())

    def is_failing(self, now: float, *, longer_than_s: float) -> bool:
        """Tell whether no link has been open for longer than this."""
        return self._failing_since is not None and now - self._failing_since > longer_than_s

    def stop(self) -> None:
        """End the link and connect no more."""
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
        """Return the pause after so many tries in a row that failed."""
        now = clock.monotonic()
        if self.is_failing(now, longer_than_s=LOST_AFTER_S):
            return LOST_RETRY_S
        if self.is_failing(now, longer_than_s=SLOW_RETRY_AFTER_S):
            return SLOW_RETRY_S
        return min(FIRST_RETRY_S * 2**tries, MAX_RETRY_S)

    def _take_link(self, link: Link) -> LinkReceiver:
        """Take in a link that has just opened."""
        self._link = link
        return self._make_receiver(link)

    async def _connect(self, connect_s: float) -> LinkSocket | None:
        """Open a link; ``connect_s`` bounds the wait for its connection alone."""
        opening = LinkSocket(message_type=self._message_type, make_receiver=self._take_link)

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
            # An address that does not answer is normal here: hosts go, restart and are cut off.
            # What follows from it (a lost owner or peer) is logged where it is decided.
            opening.give_up()
            self._link = None
            return None
        except asyncio.CancelledError:
            opening.give_up()
            raise
        except Exception as error:
            # A fault in the library or in who takes the link must not end the dialling for good.
            log_error("link:fault", url=self._url, reason=repr(error))
            opening.give_up()
            self._link = None
            return None
        if opening.link is None:
            # The connection ended before it was a link, which the library tells by nothing else:
            # its end will never be reported, and waited for it would be the end of the dialling.
            opening.give_up()
            return None
        return opening


async def _connect_socket(host: str, port: int, connect_s: float) -> socket.socket:
    """Return a socket that is connected; raises ``OSError`` or ``TimeoutError``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(connect_s):
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock
