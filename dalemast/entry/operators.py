"""The operators' API of an entry, and the configuration and status paths for its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from dalemast.core.configuration import KINDS, Configuration, UnknownKind, UnknownName
from dalemast.entry.callers import PEER_PREFIX, CallersContext, get_peer_routes
from dalemast.entry.configuration import ConfigurationStore
from dalemast.entry.engine import EntryEngine
from dalemast.entry.membership import Membership
from dalemast.http.base import BaseHandler, decode_body
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.http.exceptions import BadBody, BadToken
from dalemast.http.operators import OperatorsHandler, get_common_routes
from dalemast.http.security import SYSTEM_HEADER, SystemProof
from dalemast.http.server import Route
from dalemast.observability import Metrics
from dalemast.settings import EntrySettings

__all__ = ["ChangeBody", "EntryState", "OperatorsContext", "PlatformStatus", "get_operators_routes"]


class WorkerState(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's state as known to this entry."""

    endpoint: str
    worker: str
    data_centre: str
    is_linked: bool
    is_usable: bool
    is_draining: bool
    ejected_for: tuple[str, ...]
    session: str
    own_tasks: int


class AccountState(msgspec.Struct, frozen=True, kw_only=True):
    """One account's use of the platform through this entry."""

    name: str
    running_tasks: int
    queued_tasks: int
    queued_bytes: int


class EntryState(msgspec.Struct, frozen=True, kw_only=True):
    """State dump of an entry."""

    role: str
    name: str
    data_centre: str
    incarnation: str
    configuration_version: int
    is_draining: bool
    open_jobs: int
    queued_jobs: int
    kept_submissions: int
    kept_bytes: int
    tickets_issued: int
    replaced_tasks: int
    peers: tuple[str, ...]
    accounts: tuple[AccountState, ...]
    workers: tuple[WorkerState, ...]


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An entry's part of :class:`PlatformStatus`, as peers exchange it."""

    name: str
    address: str
    incarnation: str
    configuration_version: int
    is_ready: bool
    is_draining: bool
    open_jobs: int


class PlatformStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of all entries, collected by one of them; ``unreachable`` are peers' addresses."""

    accepted_version: int | None
    entries: tuple[EntryStatus, ...]
    unreachable: tuple[str, ...]


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Kinds to replace as a whole if the accepted configuration is at ``version``."""

    version: int
    kinds: dict[str, list[Any]]


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorsContext:
    """Dependencies of the operators' handlers."""

    callers: CallersContext
    engine: EntryEngine
    settings: EntrySettings
    store: ConfigurationStore
    membership: Membership
    client: JsonClient
    proof: SystemProof
    scheme: str
    token: str

    @property
    def metrics(self) -> Metrics:
        """Counters and latencies."""
        return self.engine.metrics

    def get_status(self) -> str:
        """Return "ready" or the reason why jobs are not accepted, for the balancer."""
        if self.engine.is_draining:
            return "draining"
        return "ready" if self.engine.configuration.is_ready else "unconfigured"

    def get_state(self) -> EntryState:
        """Return the state dump."""
        return get_state(self)


class _EntryHandler(OperatorsHandler):
    _process: OperatorsContext


class DrainHandler(_EntryHandler):
    """``POST /v1/drain``: refuse new jobs; open jobs continue."""

    def post(self) -> None:
        """Start draining."""
        self._process.engine.start_draining()
        self.send_json(self._process.get_state())


class ConfigurationHandler(_EntryHandler):
    """``GET`` and ``PUT /v1/configuration``."""

    async def get(self) -> None:
        """Read the accepted configuration from the table."""
        self.send_json(await self._process.store.read())

    async def put(self) -> None:
        """Accept a change by compare-and-set and apply it to this entry at once."""
        body: ChangeBody = decode_body(self.request.body, ChangeBody)
        for kind in body.kinds:
            if kind not in KINDS:
                raise UnknownKind(f"there is no kind {kind!r}", place=f"$.kinds.{kind}")
        if not body.kinds:
            raise BadBody("a change must contain at least one kind", place="$.kinds")
        accepted = await self._process.store.replace(
            expected_version=body.version, kinds=dict(body.kinds)
        )
        self._process.engine.offer_configuration(accepted)
        self.send_json({"version": accepted.version})


class KindHandler(_EntryHandler):
    """``GET /v1/configuration/KIND[/NAME]`` and ``DELETE /v1/configuration/KIND/NAME``."""

    async def get(self, kind: str, name: str | None = None) -> None:
        """Read the items of a kind, or one of them."""
        if kind not in KINDS:
            raise UnknownKind(f"there is no kind {kind!r}")
        items = getattr(await self._process.store.read(), kind)
        if name is None:
            self.send_json(items)
            return
        for item in items:
            if item.name == name:
                self.send_json(item)
                return
        raise UnknownName(f"no {kind} item is named {name!r}")

    async def delete(self, kind: str, name: str | None = None) -> None:
        """Delete an item."""
        accepted = await self._process.store.delete(kind=kind, name=name or "")
        self._process.engine.offer_configuration(accepted)
        self.send_json({"version": accepted.version})


class StatusHandler(_EntryHandler):
    """``GET /v1/status``: every entry and the version it has in force."""

    async def get(self) -> None:
        """Collect the status of all peers."""
        peers = sorted(self._process.membership.get_peers())
        answers = await asyncio.gather(*(self._fetch_status(peer) for peer in peers))
        reached = [get_short_status(self._process)]
        reached += [answer for answer in answers if answer is not None]
        unreachable = [peer for peer, answer in zip(peers, answers, strict=True) if answer is None]
        self.send_json(
            PlatformStatus(
                accepted_version=await self._get_accepted(),
                entries=tuple(reached),
                unreachable=tuple(unreachable),
            )
        )

    async def _get_accepted(self) -> int | None:
        try:
            return await self._process.store.get_version()
        except Exception as error:
            if not hasattr(error, "code"):
                raise
            return None

    async def _fetch_status(self, peer: str) -> EntryStatus | None:
        try:
            response = await self._process.client.request(
                "GET",
                f"{self._process.scheme}://{peer}{PEER_PREFIX}/status",
                headers=self._process.proof.headers,
                timeout_s=2.0,
            )
            return response.decode(EntryStatus) if response.status == 200 else None
        except (HttpFailure, msgspec.MsgspecError):
            return None


class _PeerHandler(BaseHandler):
    def initialize(self, context: OperatorsContext) -> None:
        self._context = context

    def prepare(self) -> None:
        proof = self.request.headers.get(SYSTEM_HEADER, "")
        if not self._context.proof.is_valid(proof):
            raise BadToken("the path is reserved for processes that hold the system key")


class PeerConfigurationHandler(_PeerHandler):
    """``GET /v1/peer/configuration``: for an entry that starts while the table is down."""

    def get(self) -> None:
        """Send the configuration in force at this entry."""
        configuration: Configuration = self._context.engine.configuration.current
        self.send_json(configuration)


class PeerStatusHandler(_PeerHandler):
    """``GET /v1/peer/status``."""

    def get(self) -> None:
        """Send this entry's status."""
        self.send_json(get_short_status(self._context))


def get_short_status(context: OperatorsContext) -> EntryStatus:
    """Return an entry's status as peers exchange it."""
    engine = context.engine
    return EntryStatus(
        name=context.settings.name,
        address=context.callers.address,
        incarnation=engine.incarnation,
        configuration_version=engine.configuration.version,
        is_ready=engine.configuration.is_ready and not engine.is_draining,
        is_draining=engine.is_draining,
        open_jobs=engine.open_jobs,
    )


def get_state(context: OperatorsContext) -> EntryState:
    """Return the state dump of an entry."""
    engine = context.engine
    owner = engine.owner
    return EntryState(
        role="entry",
        name=context.settings.name,
        data_centre=context.settings.data_centre,
        incarnation=engine.incarnation,
        configuration_version=engine.configuration.version,
        is_draining=engine.is_draining,
        open_jobs=engine.open_jobs,
        queued_jobs=len(owner.backlog),
        kept_submissions=len(engine.ledger),
        kept_bytes=engine.ledger.kept_bytes,
        tickets_issued=engine.ledger.issued,
        replaced_tasks=owner.replaced_tasks,
        peers=tuple(sorted(context.membership.get_peers())),
        accounts=tuple(_get_account_state(owner, name) for name in engine.configuration.accounts),
        workers=tuple(
            _get_worker_state(view, owner, engine.configuration.accounts)
            for view in owner.pool.get_views()
        ),
    )


def _get_account_state(owner: Any, name: str) -> AccountState:
    usage = owner.backlog.get_usage(name)
    return AccountState(
        name=name,
        running_tasks=usage.running,
        queued_tasks=usage.queued_tasks,
        queued_bytes=usage.queued_bytes,
    )


def _get_worker_state(view: Any, owner: Any, accounts: Iterable[str]) -> WorkerState:
    return WorkerState(
        endpoint=view.name,
        worker=view.endpoint.worker,
        data_centre=view.endpoint.data_centre,
        is_linked=view.is_linked,
        is_usable=view.is_usable,
        is_draining=view.is_draining,
        ejected_for=tuple(
            account for account in accounts if view.name in owner.health.get(account).ejected
        ),
        session=view.session,
        own_tasks=view.own,
    )


def get_operators_routes(context: OperatorsContext) -> list[Route]:
    """Return the routes for the operators' listener, including those for peers."""
    arguments = {"context": context}
    kind = r"/v1/configuration/([a-z]+)(?:/([A-Za-z0-9._-]{1,63}))?"
    return [
        *get_peer_routes(context.callers),
        *get_common_routes(context),
        (f"{PEER_PREFIX}/configuration", PeerConfigurationHandler, arguments),
        (f"{PEER_PREFIX}/status", PeerStatusHandler, arguments),
        ("/v1/drain", DrainHandler, {"process": context}),
        ("/v1/status", StatusHandler, {"process": context}),
        ("/v1/configuration", ConfigurationHandler, {"process": context}),
        (kind, KindHandler, {"process": context}),
    ]
