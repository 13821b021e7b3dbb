"""Run the gate: execute its tasks, send its frames and drive its clock."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from dalemast import clock
from dalemast.agent.endpoints import BaseEndpoint
from dalemast.core.gate import Gate, RunTask
from dalemast.core.wire import AgentFrame, EntryFrame, EntryHello
from dalemast.observability import Metrics

__all__ = ["AgentEngine", "MessageSender"]

TICK_S = 0.1

_decode_frame = msgspec.json.Decoder(EntryFrame).decode


class MessageSender(Protocol):
    """The sending side of a link."""

    def send(self, data: bytes) -> None:
        """Queue a message for sending."""

    def end(self) -> None:
        """Close the link."""


class AgentEngine:
    """Connects the gate to the clock, the endpoint and the links."""

    def __init__(self, *, gate: Gate, endpoint: BaseEndpoint, metrics: Metrics) -> None:
        self._gate = gate
        self._endpoint = endpoint
        self._metrics = metrics
        self._senders: dict[str, MessageSender] = {}
        self._runs: set[asyncio.Task[None]] = set()
        self._is_collect_scheduled = False
        self._ticker: asyncio.Task[None] | None = None

    @property
    def gate(self) -> Gate:
        """The gate, which accepts or refuses starts and keeps their outcomes."""
        return self._gate

    def start(self) -> None:
        """Start the timer."""
        self._ticker = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Cancel all tasks and close all links."""
        for task in (*self._runs, self._ticker):
            if task is not None:
                task.cancel()
        for sender in list(self._senders.values()):
            sender.end()

    def open_link(self, hello: EntryHello, sender: MessageSender) -> bool:
        """Answer an owner's hello on a new link; return False if the link is refused."""
        opened = self._gate.open_link(now=clock.monotonic(), hello=hello)
        if opened is None:
            self._metrics.count("links.refused")
            return False
        previous = self._senders.get(hello.owner)
        self._senders[hello.owner] = sender
        if previous is not None:
            previous.end()
        answer, frames = opened
        sender.send(msgspec.json.encode(answer))
        for frame in frames:
            self._metrics.count("frames.resent")
            sender.send(msgspec.json.encode(frame))
        self._schedule_collect()
        return True

    def close_link(self, hello: EntryHello, sender: MessageSender) -> None:
        """Unregister a closed link."""
        if self._senders.get(hello.owner) is sender:
            del self._senders[hello.owner]
        self._gate.close_link(now=clock.monotonic(), owner=hello.owner, connection=hello.connection)

    def receive(self, owner: str, data: bytes | str) -> None:
        """Handle a message from an owner."""
        self._metrics.count("frames.received")
        self._metrics.count("bytes.received", len(data))
        self._gate.receive(now=clock.monotonic(), owner=owner, frame=_decode_frame(data))
        self._schedule_collect()

    def start_draining(self) -> None:
        """Refuse new starts."""
        self._gate.start_draining(now=clock.monotonic())
        self._schedule_collect()

    def stop_draining(self) -> None:
        """Accept starts again."""
        self._gate.stop_draining()
        self._schedule_collect()

    def _schedule_collect(self) -> None:
        if not self._is_collect_scheduled:
            self._is_collect_scheduled = True
            asyncio.get_running_loop().call_soon(self._collect)

    def _collect(self) -> None:
        self._is_collect_scheduled = False
        effects = self._gate.collect(now=clock.monotonic())
        for run in effects.runs:
            task = asyncio.create_task(self._run(run))
            self._runs.add(task)
            task.add_done_callback(self._runs.discard)
        for owner, frame in effects.frames:
            self._send(owner, frame)

    def _send(self, owner: str, frame: AgentFrame) -> None:
        sender = self._senders.get(owner)
        if sender is None:
            return
        data = msgspec.json.encode(frame)
        has_answers = bool(frame.answers)
        self._metrics.count("frames.sent.answers" if has_answers else "frames.sent.other")
        self._metrics.count("bytes.sent.answers" if has_answers else "bytes.sent.other", len(data))
        if frame.refusals:
            self._metrics.count("tasks.refused", len(frame.refusals))
        sender.send(data)

    async def _run(self, run: RunTask) -> None:
        outcome = await self._endpoint.run(run)
        self._metrics.count(f"tasks.{outcome.kind.value}")
        self._metrics.record("endpoint", run.service, outcome.run_ms / 1000.0)
        self._gate.complete(now=clock.monotonic(), outcome=outcome)
        self._schedule_collect()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self._gate.queued or self._gate.link_count < len(self._gate.owner_names):
                self._gate.tick(now=clock.monotonic())
                self._schedule_collect()
