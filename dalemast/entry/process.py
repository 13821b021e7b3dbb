"""The entry process: wires the engine, links and listeners together."""

from __future__ import annotations

import asyncio

from dalemast import clock
from dalemast.core.dispatch import OwnerPolicy
from dalemast.core.submissions import TicketSigner
from dalemast.entry.accounts import Authenticator
from dalemast.entry.callers import CallersContext, get_caller_routes
from dalemast.entry.claims import ClaimBatcher
from dalemast.entry.configuration import ConfigurationPoller, ConfigurationStore
from dalemast.entry.engine import EntryEngine
from dalemast.entry.forwarding import Forwarder
from dalemast.entry.links import LinkSupervisor
from dalemast.entry.membership import Membership
from dalemast.entry.operators import OperatorsContext, get_operators_routes
from dalemast.hosting import BasePlatform
from dalemast.http.client import JsonClient
from dalemast.http.security import SystemProof
from dalemast.http.server import Listener
from dalemast.observability import Metrics, log_event
from dalemast.process import BaseProcess, make_incarnation
from dalemast.settings import EntrySettings, PolicySettings

__all__ = ["EntryProcess"]

DRAIN_POLL_S = 0.05
FLUSH_S = 0.2
"""Seconds after draining for responses in the socket buffers to be sent."""


class EntryProcess(BaseProcess):
    """An entry: the engine, its links, and the listeners for callers and operators."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        platform: BasePlatform,
        system_key: bytes,
        operators_token: str = "",
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._metrics = Metrics()
        self._proof = SystemProof(key=system_key)
        self._scheme = "http" if settings.operators.tls is None else "https"
        self._client = JsonClient(ca_file=settings.ca_file)
        self._tasks: list[asyncio.Task[None]] = []
        self._engine = EntryEngine(
            incarnation=make_incarnation(),
            name=settings.name,
            policy=_get_policy(settings.policy, settings.data_centre),
            ticket_life_s=settings.ticket_life_s,
            caller_grace_s=settings.caller_grace_s,
            metrics=self._metrics,
        )
        self._links = LinkSupervisor(
            engine=self._engine,
            name=settings.name,
            data_centre=settings.data_centre,
            proof=self._proof,
            max_links_per_worker=settings.max_links_per_worker,
            lost_after_s=settings.worker_lost_after_s,
            same_data_centre_delay_s=settings.emulation.near_ms / 1000.0,
            other_data_centre_delay_s=settings.emulation.far_ms / 1000.0,
        )
        # The routes need the operators' address. With port 0 it is known only once bound, so they
        # are added later.
        self._operators_listener = Listener(settings=settings.operators, routes=[])
        self._membership = Membership(
            hosts=platform.hosts,
            engine=self._engine,
            links=self._links,
            name=settings.name,
            address=self._operators_listener.address,
            peers=settings.peers,
            interval_s=settings.poll_interval_s,
        )
        self._store = ConfigurationStore(table=platform.table)
        self._poller = ConfigurationPoller(
            store=self._store,
            engine=self._engine,
            client=self._client,
            proof=self._proof,
            scheme=self._scheme,
            get_peers=self._membership.get_peers,
            interval_s=settings.poll_interval_s,
        )
        context = self._make_callers_context(system_key)
        self._callers_listener = Listener(
            settings=settings.callers,
            routes=get_caller_routes(context),
            max_body_bytes=settings.max_body_bytes,
        )
        self._operators_listener.add_routes(
            get_operators_routes(self._make_operators_context(context, operators_token))
        )

    @property
    def engine(self) -> EntryEngine:
        """The engine, for state dumps and tests."""
        return self._engine

    @property
    def callers_address(self) -> str:
        """The address at which callers connect."""
        return self._callers_listener.address

    @property
    def operators_address(self) -> str:
        """The address at which operators and peers connect."""
        return self._operators_listener.address

    async def start(self) -> None:
        """Read the host list and the configuration once, then listen."""
        self._engine.start()
        self._operators_listener.start()
        await self._membership.poll()
        await self._poller.poll()
        self._tasks.append(asyncio.create_task(self._membership.run()))
        self._tasks.append(asyncio.create_task(self._poller.run()))
        self._callers_listener.start()
        log_event("entry:started", name=self._settings.name)

    async def drain(self) -> None:
        """Refuse new jobs and wait, within the drain limit, until every open job has a result."""
        self._engine.start_draining()
        log_event("entry:draining", name=self._settings.name)
        give_up_at = clock.monotonic() + self._settings.drain_limit_s
        while self._engine.open_jobs and clock.monotonic() < give_up_at:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(FLUSH_S)

    def get_unfinished(self) -> list[str]:
        """Describe the jobs that have no result yet."""
        count = self._engine.open_jobs
        return [f"{count} jobs without an answer"] if count else []

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await self._links.stop()
        await self._engine.stop()
        await self._callers_listener.close()
        await self._operators_listener.close()
        await self._platform.close()

    def _make_callers_context(self, system_key: bytes) -> CallersContext:
        address = self._operators_listener.address
        return CallersContext(
            engine=self._engine,
            authenticator=Authenticator(configuration=self._engine.configuration),
            signer=TicketSigner(key=system_key),
            claims=ClaimBatcher(
                table=self._platform.table,
                incarnation=self._engine.incarnation,
                address=address,
                metrics=self._metrics,
                get_entry_count=lambda: self._engine.owner.entry_count,
            ),
            forwarder=Forwarder(
                client=self._client,
                proof=self._proof,
                scheme=self._scheme,
                metrics=self._metrics,
            ),
            proof=self._proof,
            metrics=self._metrics,
            address=address,
            max_tickets=self._settings.max_tickets_per_request,
        )

    def _make_operators_context(self, callers: CallersContext, token: str) -> OperatorsContext:
        return OperatorsContext(
            callers=callers,
            engine=self._engine,
            settings=self._settings,
            store=self._store,
            membership=self._membership,
            client=self._client,
            proof=self._proof,
            scheme=self._scheme,
            token=token,
        )


def _get_policy(settings: PolicySettings, data_centre: str) -> OwnerPolicy:
    return OwnerPolicy(
        placement=settings.placement,
        admission=settings.admission,
        data_centre=data_centre,
        queue_limit=settings.queue_limit,
        is_task_by_task=settings.is_task_by_task,
        is_ejecting=settings.is_ejecting,
        confirm_after_s=settings.confirm_after_s,
        revoke_factor=settings.revoke_factor,
    )
