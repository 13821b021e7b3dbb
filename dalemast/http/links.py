"""The sending side of a link, shared by entries and agents."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tornado.iostream import StreamClosedError
from tornado.websocket import WebSocketClosedError

from dalemast import clock

__all__ = ["LINK_PATH", "LinkWriter"]

LINK_PATH = "/v1/link"


class LinkWriter:
    """Sends messages in order from a task of its own, each after an emulated one-way delay."""

    def __init__(
        self,
        *,
        write: Callable[[bytes], Awaitable[None]],
        close: Callable[[], None],
        delay_s: float,
    ) -> None:
        self._write = write
        self._close = close
        self._delay_s = delay_s
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())

    def set_delay(self, delay_s: float) -> None:
        """Set the emulated delay, which is known only after the other end's hello."""
        self._delay_s = delay_s

    def send(self, data: bytes) -> None:
        """Queue a message for sending."""
        self._queue.put_nowait((clock.monotonic() + self._delay_s, data))

    def end(self) -> None:
        """Stop sending and close the link."""
        self._task.cancel()
        self._close()

    async def _run(self) -> None:
        with contextlib.suppress(WebSocketClosedError, StreamClosedError):
            while True:
                due_at, data = await self._queue.get()
                if self._delay_s:
                    await asyncio.sleep(max(0.0, due_at - clock.monotonic()))
                await self._write(data)
