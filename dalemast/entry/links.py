"""The entry's links: one asyncio task per worker maintains a connection to its agent."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.websocket import WebSocketClientConnection, WebSocketClosedError, websocket_connect

from dalemast import clock
from dalemast.core.configuration import Endpoint
from dalemast.core.placement.subsetting import is_in_subset
from dalemast.core.wire import AgentHello
from dalemast.entry.engine import EntryEngine
from dalemast.http.links import LINK_PATH, LinkWriter
from dalemast.http.security import SystemProof
from dalemast.observability import log_error, log_event

__all__ = ["LinkSupervisor"]

CONNECT_TIMEOUT_S = 2.0
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 2.0
PING_INTERVAL_S = 30.0
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class LinkSupervisor:
    """Maintains links to this entry's view: the workers that it may use.

    If there are more entries than a worker accepts links, each entry's view is a subset.
    """

    def __init__(
        self,
        *,
        engine: EntryEngine,
        name: str,
        data_centre: str,
        proof: SystemProof,
        max_links_per_worker: int,
        lost_after_s: float,
        same_data_centre_delay_s: float,
        other_data_centre_delay_s: float,
    ) -> None:
        self._engine = engine
        self._name = name
        self._data_centre = data_centre
        self._proof = proof
        self._max_links_per_worker = max_links_per_worker
        self._lost_after_s = lost_after_s
        self._same_data_centre_delay_s = same_data_centre_delay_s
        self._other_data_centre_delay_s = other_data_centre_delay_s
        self._entries: frozenset[str] = frozenset({name})
        self._tasks: dict[str, tuple[str, asyncio.Task[None]]] = {}
        engine.on_configuration(self.update)

    def set_entries(self, entries: frozenset[str]) -> None:
        """Set the names of the live entries, among which the workers' links are divided."""
        if entries != self._entries:
            self._entries = entries
            self.update()

    def update(self) -> None:
        """Start and stop link tasks to match the configuration and the view."""
        if not self._engine.configuration.is_ready:
            return
        wanted = {
            endpoint.name: endpoint
            for endpoint in self._engine.configuration.current.endpoints
            if self._is_wanted(endpoint)
        }
        for name, (address, task) in list(self._tasks.items()):
            is_gone = name not in wanted or wanted[name].agent != address
            if is_gone and not self._engine.owner.has_outstanding(name):
                task.cancel()
                del self._tasks[name]
        for name, endpoint in wanted.items():
            if name not in self._tasks:
                task = asyncio.create_task(self._maintain(endpoint))
                self._tasks[name] = (endpoint.agent, task)

    async def stop(self) -> None:
        """Close every link."""
        for _, task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*(task for _, task in self._tasks.values()), return_exceptions=True)

    def _is_wanted(self, endpoint: Endpoint) -> bool:
        return is_in_subset(
            entry=self._name,
            entries=self._entries,
            worker=endpoint.name,
            limit=self._max_links_per_worker,
        )

    async def _maintain(self, endpoint: Endpoint) -> None:
        """Connect and reconnect; report the worker as lost after ``lost_after_s`` of failures."""
        retry_s = FIRST_RETRY_S
        failing_since: float | None = None
        while True:
            connection = await self._connect(endpoint)
            if connection is not None:
                is_greeted = await self._serve(endpoint, connection)
                self._engine.close_link(endpoint.name)
                if is_greeted:
                    retry_s = FIRST_RETRY_S
                    failing_since = None
            now = clock.monotonic()
            failing_since = now if failing_since is None else failing_since
            if now - failing_since >= self._lost_after_s:
                self._engine.lose_worker(endpoint.name)
            await asyncio.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    async def _connect(self, endpoint: Endpoint) -> WebSocketClientConnection | None:
        request = HTTPRequest(
            f"ws://{endpoint.agent}{LINK_PATH}",
            headers=self._proof.headers,
            connect_timeout=CONNECT_TIMEOUT_S,
        )
        try:
            return await asyncio.wait_for(
                websocket_connect(
                    request,
                    ping_interval=PING_INTERVAL_S,
                    max_message_size=MAX_MESSAGE_BYTES,
                ),
                timeout=CONNECT_TIMEOUT_S,
            )
        except HTTPClientError as error:
            log_error("entry:link-refused", worker=endpoint.name, reason=str(error))
        except (OSError, StreamClosedError, TimeoutError):
            self._engine.metrics.count("links.failed")
        return None

    async def _serve(self, endpoint: Endpoint, connection: WebSocketClientConnection) -> bool:
        """Exchange hellos and handle the agent's frames; return whether it answered the hello."""
        writer = self._make_writer(endpoint, connection)
        try:
            hello = self._engine.make_hello(endpoint.name)
            if hello is None:
                return False
            writer.send(msgspec.json.encode(hello))
            message = await asyncio.wait_for(connection.read_message(), CONNECT_TIMEOUT_S)
            if message is None:
                return False
            answer = msgspec.json.decode(message, type=AgentHello)
            self._engine.open_link(endpoint.name, answer, writer.send)
            log_event("entry:link", worker=endpoint.name, session=answer.session)
            while True:
                message = await connection.read_message()
                if message is None:
                    return True
                self._engine.receive(endpoint.name, message)
        except TimeoutError:
            return False
        except msgspec.MsgspecError as error:
            log_error("entry:bad-frame", worker=endpoint.name, reason=str(error))
            return False
        finally:
            writer.end()

    def _make_writer(self, endpoint: Endpoint, connection: WebSocketClientConnection) -> LinkWriter:
        async def write(data: bytes) -> None:
            with contextlib.suppress(WebSocketClosedError):
                await connection.write_message(data, binary=False)

        is_same_data_centre = endpoint.data_centre == self._data_centre
        delay_s = (
            self._same_data_centre_delay_s
            if is_same_data_centre
            else self._other_data_centre_delay_s
        )
        return LinkWriter(write=write, close=connection.close, delay_s=delay_s)
