"""A loopback proxy that can delay, hold back, cut or reset the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time

PAUSE_S = 0.25
"""Pause of this process after which bytes in its sockets count as held back. It must be shorter
than the 0.45 s after which owners close an unresponsive link, whose bytes must not arrive later."""
TICK_S = 0.02
"""Interval between two ticks that detect pauses of this process: far below :data:`PAUSE_S`."""
AFTER_PAUSE_S = 0.05
"""Time after a pause for which bytes still count as held back: the tick may run in the same turn of
the event loop before the sockets are read."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with timeout 0: closing the connection resets it."""
CHUNK_BYTES = 65536


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which its other end detects at once."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Proxy:
    """A listening address that forwards to a target address.

    Held bytes are forwarded when the fault is over, unless their sender has reset the connection
    meanwhile: then they are lost, as on the platform. After a pause of this process itself, a reset
    may be queued in a socket behind the bytes, so such connections are reset with their data.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._passages: set[asyncio.Event] = set()
        """One event for each connection, set while it is not cut."""
        self._is_cutting = False
        self.delay_s = 0.0
        self.address = ""
        self._ticked_at = time.monotonic()
        self._suspect_until = 0.0
        self._generation = 0
        """Connections of earlier generations discard all data."""
        self.heal()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._ticker = asyncio.create_task(self._tick_forever())

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self._server.close()
        self._ticker.cancel()
        self.heal()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def silence(self, *ways: str) -> None:
        """Hold back data in the given directions, "up" to the target or "down" from it."""
        for way in ways:
            self._open[way].clear()

    def cut_some(self, share: float, rng: random.Random) -> None:
        """Hold back a share of the open connections, and all new ones, since clients reconnect."""
        self._is_cutting = True
        for passage in self._passages:
            if rng.random() < share:
                passage.clear()

    def heal(self) -> None:
        """End all faults."""
        self.delay_s = 0.0
        self._is_cutting = False
        for event in [*self._open.values(), *self._passages]:
            event.set()

    def discard_open(self) -> None:
        """Discard all data of the open connections permanently, without a reset; new ones work."""
        self._generation += 1

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _tick_forever(self) -> None:
        """Record the time at short intervals; an old record means that this process was paused."""
        while True:
            now = time.monotonic()
            if now - self._ticked_at > PAUSE_S:
                self._suspect_until = now + AFTER_PAUSE_S
            self._ticked_at = now
            await asyncio.sleep(TICK_S)

    def _was_paused(self) -> bool:
        """Return whether this process was paused before the current read."""
        now = time.monotonic()
        return now - self._ticked_at > PAUSE_S or now < self._suspect_until

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.current_task()
        assert serving is not None
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)
        host, _, port = self._target.rpartition(":")
        try:
            onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        passage = asyncio.Event()
        if not self._is_cutting:
            passage.set()
        self._passages.add(passage)
        ways = [("up", reader, onward[1]), ("down", onward[0], writer)]
        tasks = [asyncio.create_task(self._pump(*way, passage)) for way in ways]
        self._tasks.update(tasks)
        self._writers.update((writer, onward[1]))
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        # The end of a connection must not pass a cut either.
        await passage.wait()
        self._passages.discard(passage)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        for end in (writer, onward[1]):
            self._writers.discard(end)
            end.close()

    async def _pump(
        self,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passage: asyncio.Event,
    ) -> None:
        generation = self._generation
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(CHUNK_BYTES):
                if self._was_paused():
                    reset_connection(writer)
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open[way].wait()
                await passage.wait()
                if generation < self._generation:
                    continue
                if reader.exception() is not None:
                    # The sender has reset the connection while its bytes were held back.
                    return
                writer.write(data)
                await writer.drain()
            if generation < self._generation:
                # The end of a connection that discards its data is not forwarded either.
                await asyncio.Event().wait()
