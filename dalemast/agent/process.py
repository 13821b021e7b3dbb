"""The agent process: wires the engine and its listeners together."""

from __future__ import annotations

import asyncio

from dalemast import clock
from dalemast.agent.endpoints import HttpEndpoint
from dalemast.agent.engine import AgentEngine
from dalemast.agent.links import LinkHandler
from dalemast.agent.operators import get_operators_routes
from dalemast.core.gate import Gate
from dalemast.http.links import LINK_PATH
from dalemast.http.security import SystemProof
from dalemast.http.server import Listener
from dalemast.observability import Metrics, log_event
from dalemast.process import BaseProcess, make_incarnation
from dalemast.settings import AgentSettings

__all__ = ["AgentProcess"]

DRAIN_POLL_S = 0.05
PING_INTERVAL_S = 30.0


class AgentProcess(BaseProcess):
    """An agent: the gate's engine, the link listener and the operators' listener."""

    def __init__(
        self, *, settings: AgentSettings, system_key: bytes, operators_token: str = ""
    ) -> None:
        self._settings = settings
        self._metrics = Metrics()
        gate = Gate(
            worker=settings.name,
            incarnation=make_incarnation(),
            slots=settings.slots,
            queue_limit=settings.queue_limit,
            max_links=settings.max_links,
            is_holding_answers=settings.is_holding_answers,
        )
        endpoint = HttpEndpoint(
            url=settings.endpoint_url, max_calls=settings.slots, max_run_s=settings.max_run_s
        )
        self._engine = AgentEngine(gate=gate, endpoint=endpoint, metrics=self._metrics)
        link_arguments = {
            "engine": self._engine,
            "proof": SystemProof(key=system_key),
            "data_centre": settings.data_centre,
            "delays": settings.emulation,
        }
        self._link_listener = Listener(
            settings=settings.link,
            routes=[(LINK_PATH, LinkHandler, link_arguments)],
            websocket_ping_s=PING_INTERVAL_S,
        )
        self._operators_listener = Listener(
            settings=settings.operators,
            routes=get_operators_routes(
                engine=self._engine,
                settings=settings,
                metrics=self._metrics,
                token=operators_token,
            ),
        )

    @property
    def engine(self) -> AgentEngine:
        """The engine, for state dumps and tests."""
        return self._engine

    @property
    def metrics(self) -> Metrics:
        """The counters and latency histograms."""
        return self._metrics

    @property
    def link_address(self) -> str:
        """The address at which entries connect."""
        return self._link_listener.address

    @property
    def operators_address(self) -> str:
        """The address at which operators connect."""
        return self._operators_listener.address

    async def start(self) -> None:
        """Start the timer and listen for entries and operators."""
        self._engine.start()
        self._link_listener.start()
        self._operators_listener.start()
        log_event("agent:started", name=self._settings.name)

    async def drain(self) -> None:
        """Refuse starts and wait, within the drain limit, until owners confirmed every answer."""
        self._engine.start_draining()
        log_event("agent:draining", name=self._settings.name)
        give_up_at = clock.monotonic() + self._settings.drain_limit_s
        while clock.monotonic() < give_up_at:
            if self._engine.gate.is_idle(clock.monotonic()):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def get_unfinished(self) -> list[str]:
        """Describe the running tasks and the answers that no owner has confirmed."""
        gate = self._engine.gate
        unfinished = [
            f"task {run.owner}/{run.job}/{run.index} of {run.service}" for run in gate.get_running()
        ]
        undelivered = gate.count_undelivered(clock.monotonic())
        if undelivered:
            unfinished.append(f"{undelivered} frames with answers that no owner confirmed")
        return unfinished

    async def close(self) -> None:
        """Stop the engine and close all sockets."""
        await self._engine.stop()
        await self._link_listener.close()
        await self._operators_listener.close()
