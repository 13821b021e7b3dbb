"""A loopback proxy that delays, silences, cuts one way or resets what passes through it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time

LATE_S = 0.25
"""How long this process may stand still before what waited in its sockets counts as held up. Owners
give a silent link up after 0.45 s, and then what they sent must not arrive any more."""
TICK_S = 0.02
"""Pause between two marks of the time at which this process ran: far below :data:`LATE_S`."""
DOUBT_S = 0.05
"""For how long after a standstill bytes still count as held up: the mark may be renewed in the same
turn of the loop before the sockets are read."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger for no time: a connection that is closed so is reset."""
CHUNK_BYTES = 65536


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its other end learns of it at once."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Proxy:
    """One listening address in front of another.

    Held-up bytes pass on once the fault is over, unless their sender has reset the connection
    meanwhile: then they are lost, as on the platform. When this process itself stood still, resets
    may wait in its sockets behind the bytes, so such connections are reset with all they hold.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._passages: set[asyncio.Event] = set()
        """One for each connection, set while it isn't cut."""
        self._is_cutting = False
        self.delay_s = 0.0
        self.address = ""
        self._ticked_at = time.monotonic()
        self._doubted_until = 0.0
        self._generation = 0
        """Connections of earlier generations swallow what they get and pass nothing on."""
        self.heal()

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._ticker = asyncio.create_task(self._tick_forever())

    async def close(self) -> None:
        """Stop and drop all connections."""
        self._server.close()
        self._ticker.cancel()
        self.heal()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def silence(self, *ways: str) -> None:
        """Hold up what goes up, down, or both."""
        for way in ways:
            self._open[way].clear()

    def cut_some(self, share: float, rng: random.Random) -> None:
        """Hold up a share of the open connections, and all new ones: those whom it strikes dial."""
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

    def swallow_open(self) -> None:
        """Let all open connections fall silent for good, without a reset; new ones work."""
        self._generation += 1

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _tick_forever(self) -> None:
        """Mark the time over and over; a mark that is old tells of a standstill."""
        while True:
            now = time.monotonic()
            if now - self._ticked_at > LATE_S:
                self._doubted_until = now + DOUBT_S
            self._ticked_at = now
            await asyncio.sleep(TICK_S)

    def _stood_still(self) -> bool:
        """Tell whether this process did not run for a while before what is being read was read."""
        now = time.monotonic()
        return now - self._ticked_at > LATE_S or now < self._doubted_until

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
        # The other end of a connection that is cut does not hear of its end before the cut is over.
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
                if self._stood_still():
                    reset_connection(writer)
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open[way].wait()
                await passage.wait()
                if generation < self._generation:
                    continue
                if reader.exception() is not None:
                    # The sender has reset the connection while its bytes were held up.
                    return
                writer.write(data)
                await writer.drain()
            if generation < self._generation:
                # The other end of a silent connection does not hear of its end either.
                await asyncio.Event().wait()
