"""Tests of single links: delivery, reconnecting and invalid input."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from picows import WSFrame, WSListener, WSMsgType, WSTransport, ws_connect

from dalemast.fleet.frames import LinkHeartbeat, PeerMessage
from dalemast.fleet.links import Dialer, Link, LinkListener, LinkRoute
from tests.base import AsyncTestCase, wait_until
from tests.fleet.base import find_address

PATH = "/links"


class Receiver:
    """Records the messages of a link, and its end."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.messages: list[Any] = []
        self.is_closed = False

    def receive(self, messages: list[Any]) -> None:
        self.messages += messages
        if any(
            isinstance(message, LinkHeartbeat) and not message.is_receiving for message in messages
        ):
            raise RuntimeError("a failure of the receiver")

    def close(self) -> None:
        self.is_closed = True


async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward bytes until the reader ends."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(4096):
            writer.write(data)
    writer.close()


class RawPeer(WSListener):  # type: ignore[misc]
    """A peer that can send invalid frames."""

    def __init__(self) -> None:
        super().__init__()
        self.is_over = asyncio.Event()

    def on_ws_frame(self, transport: WSTransport, frame: WSFrame) -> None:
        """Ignore received frames."""

    def on_ws_disconnected(self, transport: WSTransport) -> None:
        self.is_over.set()


class LinkTests(AsyncTestCase):
    def serve(self, scenario: Any) -> None:
        """Run a scenario with the address of a listener and the receivers of its links."""

        async def run() -> None:
            accepted: list[Receiver] = []

            def accept(link: Link) -> Receiver:
                accepted.append(Receiver(link))
                return accepted[-1]

            address = find_address()
            route = LinkRoute(path=PATH, message_type=PeerMessage, accept=accept)
            listener = LinkListener(address=address, routes=(route,))
            await listener.start()
            try:
                await scenario(address, accepted)
            finally:
                await listener.close()

        self.run_async(run())

    async def check_ends(self, address: str, accepted: list[Receiver], send: Any) -> None:
        """Check that a frame of a raw peer ends the link and is not delivered."""
        transport, peer = await ws_connect(RawPeer, f"ws://{address}{PATH}")
        send(transport)
        await asyncio.wait_for(peer.is_over.wait(), 10.0)
        await wait_until(lambda: accepted[-1].is_closed, "the link to end")
        self.assertEqual([], accepted[-1].messages)

    def test_messages_arrive_and_a_reset_link_is_dialled_again(self) -> None:
        async def scenario(address: str, accepted: list[Receiver]) -> None:
            dialled: list[Receiver] = []

            def make_receiver(link: Link) -> Receiver:
                dialled.append(Receiver(link))
                return dialled[-1]

            dialer = Dialer(
                url=f"ws://{address}{PATH}", message_type=PeerMessage, make_receiver=make_receiver
            )
            await wait_until(lambda: bool(dialled and accepted), "the link")
            for _ in range(3):
                dialled[0].link.send(LinkHeartbeat())
            await wait_until(lambda: len(accepted[0].messages) == 3, "the messages")
            accepted[0].link.reset()
            await wait_until(lambda: len(dialled) == 2, "a new link")
            self.assertTrue(dialled[0].is_closed)
            dialer.stop()
            await wait_until(lambda: accepted[-1].is_closed, "the end")

        self.serve(scenario)

    def test_a_dialer_that_stops_as_its_link_opens_leaves_none_open(self) -> None:
        """The link opens before ``_connect`` returns, and was left open permanently."""

        async def scenario(address: str, accepted: list[Receiver]) -> None:
            def make_receiver(link: Link) -> Receiver:
                dialer.stop()
                return Receiver(link)

            dialer = Dialer(
                url=f"ws://{address}{PATH}", message_type=PeerMessage, make_receiver=make_receiver
            )
            await wait_until(lambda: bool(accepted), "the link")
            await wait_until(lambda: accepted[0].is_closed, "its end")
            await asyncio.sleep(0.3)
            self.assertEqual(1, len(accepted))

        self.serve(scenario)

    def test_a_paused_host_gets_one_link_after_several_attempts(self) -> None:
        """With several links a task that was started on one ran twice, since the run list on
        another one did not include it."""

        async def scenario(address: str, accepted: list[Receiver]) -> None:
            resumed = asyncio.Event()
            host, _, port = address.rpartition(":")
            tries: list[asyncio.Task[None]] = []

            async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                tries.append(asyncio.current_task())  # type: ignore[arg-type]
                await resumed.wait()
                to_reader, to_writer = await asyncio.open_connection(host, int(port))
                await asyncio.gather(pipe(reader, to_writer), pipe(to_reader, writer))

            paused_server = await asyncio.start_server(hold, host, 0)
            url = f"ws://{host}:{paused_server.sockets[0].getsockname()[1]}{PATH}"
            dialled: list[Receiver] = []

            def make_receiver(link: Link) -> Receiver:
                dialled.append(Receiver(link))
                return dialled[-1]

            dialer = Dialer(url=url, message_type=PeerMessage, make_receiver=make_receiver)
            await wait_until(lambda: len(tries) == 3, "three tries")
            resumed.set()
            await wait_until(lambda: bool(dialled), "a link")
            await asyncio.sleep(0.3)
            self.assertEqual(1, len(dialled))
            dialer.stop()
            paused_server.close()

        self.serve(scenario)

    def test_a_host_that_closes_connections_during_the_handshake_is_dialled_again(self) -> None:
        """An agent whose first attempt reached a host that was starting never dialled it again."""

        async def read_nothing(reader: asyncio.StreamReader) -> None:
            """Close before the upgrade request is read."""

        async def read_some(reader: asyncio.StreamReader) -> None:
            await reader.read(10)

        async def read_all(reader: asyncio.StreamReader) -> None:
            await reader.readuntil(b"\r\n\r\n")

        async def run() -> None:
            for read in (read_nothing, read_some, read_all):
                tries: list[int] = []

                async def end(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    read: Any = read,
                    tries: list[int] = tries,
                ) -> None:
                    tries.append(len(tries))
                    await read(reader)
                    writer.close()

                server = await asyncio.start_server(end, "127.0.0.1", 0)
                url = f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}{PATH}"
                dialer = Dialer(url=url, message_type=PeerMessage, make_receiver=Receiver)
                await wait_until(lambda tries=tries: len(tries) >= 3, "further tries")
                dialer.stop()
                server.close()

        self.run_async(run())

    def test_an_invalid_frame_ends_the_link(self) -> None:
        async def scenario(address: str, accepted: list[Receiver]) -> None:
            await self.check_ends(
                address, accepted, lambda peer: peer.send(WSMsgType.TEXT, b'[["?"')
            )

        self.serve(scenario)

    def test_a_binary_or_partial_frame_ends_the_link(self) -> None:
        async def scenario(address: str, accepted: list[Receiver]) -> None:
            for kind, fin in ((WSMsgType.BINARY, True), (WSMsgType.TEXT, False)):
                await self.check_ends(
                    address,
                    accepted,
                    lambda peer, kind=kind, fin=fin: peer.send(kind, b'[["b"]]', fin=fin),
                )

        self.serve(scenario)

    def test_an_error_in_the_receiver_ends_the_link(self) -> None:
        async def scenario(address: str, accepted: list[Receiver]) -> None:
            transport, peer = await ws_connect(RawPeer, f"ws://{address}{PATH}")
            transport.send(WSMsgType.TEXT, b'[["b",false]]')
            await asyncio.wait_for(peer.is_over.wait(), 10.0)
            await wait_until(lambda: accepted[0].is_closed, "the link to end")

        self.serve(scenario)

    def test_an_unknown_path_is_refused(self) -> None:
        async def scenario(address: str, accepted: list[Receiver]) -> None:
            refused = asyncio.get_running_loop().create_future()

            def make_receiver(link: Link) -> Receiver:
                refused.set_result(False)
                return Receiver(link)

            dialer = Dialer(
                url=f"ws://{address}/other", message_type=PeerMessage, make_receiver=make_receiver
            )
            await asyncio.sleep(0.3)
            dialer.stop()
            self.assertFalse(refused.done())
            self.assertEqual([], accepted)

        self.serve(scenario)
