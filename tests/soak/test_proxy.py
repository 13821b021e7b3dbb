"""The proxy must treat held bytes as the platform does, or the soak test reports false failures."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from tests.base import AsyncTestCase
from tests.soak.proxy import PAUSE_S, Proxy, reset_connection


class HeldBytesTests(AsyncTestCase):
    async def _pass_on(self, *, resets: bool) -> bytes:
        """Send bytes while they are held back, end the sender, heal, and return what arrives."""
        arrived: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            arrived.set_result(await reader.read())
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        proxy = Proxy(target=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await proxy.start()
        host, port = proxy.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        proxy.silence("up", "down")
        writer.write(b"held up")
        await asyncio.sleep(0.05)
        if resets:
            reset_connection(writer)
        else:
            writer.close()
        await asyncio.sleep(0.05)
        proxy.heal()
        try:
            return await arrived
        finally:
            await proxy.close()
            server.close()

    def test_bytes_that_waited_while_the_proxy_was_paused_are_lost(self) -> None:
        """A paused proxy must not deliver bytes if their sender may have reset the connection."""

        async def scenario() -> bytes:
            arrived: list[bytes] = []

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(ConnectionError):
                    arrived.append(await reader.read(100))
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            proxy = Proxy(target=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            await proxy.start()
            host, port = proxy.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(0.1)
            writer.write(b"sent before the pause")
            time.sleep(2 * PAUSE_S)
            await asyncio.sleep(0.2)
            await proxy.close()
            server.close()
            return b"".join(arrived)

        self.assertEqual(b"", self.run_async(scenario()))

    def test_bytes_are_lost_if_their_sender_resets_the_connection(self) -> None:
        self.assertEqual(b"", self.run_async(self._pass_on(resets=True)))

    def test_bytes_arrive_if_their_sender_closes_it(self) -> None:
        self.assertEqual(b"held up", self.run_async(self._pass_on(resets=False)))

    def test_a_cut_holds_up_the_end_of_a_connection_too(self) -> None:
        """Neither end may detect the end of the connection before the cut is over."""

        async def scenario() -> None:
            ended = asyncio.Event()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                ended.set()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            proxy = Proxy(target=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            await proxy.start()
            host, port = proxy.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(0.05)
            proxy.cut_some(1.0, random.Random(1))
            reset_connection(writer)
            await asyncio.sleep(0.05)
            self.assertFalse(ended.is_set())
            proxy.heal()
            await ended.wait()
            await proxy.close()
            server.close()

        self.run_async(scenario())
