"""Store the configuration in the platform's table and keep this entry up to date."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from dalemast.core.configuration import (
    KINDS,
    Configuration,
    VersionConflict,
    parse_items,
    validate_configuration,
)
from dalemast.core.configuration.exceptions import UnknownKind, UnknownName
from dalemast.entry.engine import EntryEngine
from dalemast.hosting import (
    BaseTable,
    Condition,
    ConditionFailed,
    PlatformAnswerLost,
    PlatformError,
    Put,
    Row,
)
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.http.security import SystemProof
from dalemast.observability import log_error, log_event

__all__ = ["ConfigurationPoller", "ConfigurationStore"]

INDEX_KEY = "configuration/index"
MAX_CHANGES = 64
"""Changes listed in the index row, by which a writer recognizes its own write."""
MAX_WRITE_ATTEMPTS = 5


class _Index(msgspec.Struct, frozen=True, kw_only=True):
    """Index row: the accepted version and the identifiers of the latest changes."""

    version: int = 0
    changes: tuple[tuple[int, str], ...] = ()


def _get_kind_key(kind: str) -> str:
    return f"configuration/{kind}"


class ConfigurationStore:
    """Reads and changes the configuration in the table."""

    def __init__(self, *, table: BaseTable) -> None:
        self._table = table

    async def get_version(self) -> int:
        """Return the accepted version by reading the index row only."""
        (row,) = await self._table.get_rows((INDEX_KEY,))
        return _read_index(row).version

    async def read(self) -> Configuration:
        """Read the whole configuration in one consistent read."""
        keys = (INDEX_KEY, *(_get_kind_key(kind) for kind in KINDS))
        index, *rows = await self._table.get_rows(keys)
        items = {
            kind: parse_items(kind, msgspec.json.decode(row.value))
            for kind, row in zip(KINDS, rows, strict=True)
            if row is not None
        }
        return Configuration(version=_read_index(index).version, **items)

    async def replace(self, *, expected_version: int, kinds: dict[str, object]) -> Configuration:
        """Replace whole kinds if the version is still the expected one; return the result.

        Raise :class:`VersionConflict` if another change was accepted first, and
        :class:`ConfigurationInvalid` if the result would not be valid.
        """
        current = await self.read()
        if current.version != expected_version:
            raise _make_conflict(expected_version, current.version)
        changed = {kind: parse_items(kind, items) for kind, items in kinds.items()}
        wanted = msgspec.structs.replace(current, version=expected_version + 1, **changed)
        validate_configuration(wanted)
        await self._write(wanted, tuple(changed))
        return wanted

    async def delete(self, *, kind: str, name: str) -> Configuration:
        """Delete one item of a kind."""
        if kind not in KINDS:
            raise UnknownKind(f"there is no kind {kind!r}")
        current = await self.read()
        items = getattr(current, kind)
        remaining = [msgspec.to_builtins(item) for item in items if item.name != name]
        if len(remaining) == len(items):
            raise UnknownName(f"no {kind} item is named {name!r}")
        return await self.replace(expected_version=current.version, kinds={kind: remaining})

    async def _write(self, wanted: Configuration, kinds: tuple[str, ...]) -> None:
        """Write a version in one transaction.

        If the response is lost, read the index to find out whether the change was accepted.
        """
        change = secrets.token_hex(8)
        (row,) = await self._table.get_rows((INDEX_KEY,))
        index = _read_index(row)
        if index.version != wanted.version - 1:
            raise _make_conflict(wanted.version - 1, index.version)
        changes = (*index.changes, (wanted.version, change))[-MAX_CHANGES:]
        new_index = _Index(version=wanted.version, changes=changes)
        condition = Condition(key=INDEX_KEY, version=0 if row is None else row.version)
        documents = [_make_put(_get_kind_key(kind), getattr(wanted, kind)) for kind in kinds]
        puts = (_make_put(INDEX_KEY, new_index), *documents)
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._table.transact(conditions=(condition,), puts=puts)
                return
            except (PlatformAnswerLost, ConditionFailed) as error:
                if await self._is_accepted(wanted.version, change):
                    return
                if isinstance(error, ConditionFailed):
                    raise _make_conflict(wanted.version - 1, wanted.version) from error
        raise PlatformAnswerLost(
            f"no response from the table in {MAX_WRITE_ATTEMPTS} attempts; "
            "the change may or may not have been accepted"
        )

    async def _is_accepted(self, version: int, change: str) -> bool:
        (row,) = await self._table.get_rows((INDEX_KEY,))
        return (version, change) in _read_index(row).changes


def _make_conflict(expected: int, found: int) -> VersionConflict:
    return VersionConflict(f"the configuration is at version {found}, not {expected}")


def _read_index(row: Row | None) -> _Index:
    return _Index() if row is None else msgspec.json.decode(row.value, type=_Index)


def _make_put(key: str, value: object) -> Put:
    return Put(key=key, value=msgspec.Raw(msgspec.json.encode(value)))


class ConfigurationPoller:
    """Polls the table for the accepted configuration.

    An entry that has no configuration yet requests it from its peers if the table is down.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        engine: EntryEngine,
        client: JsonClient,
        proof: SystemProof,
        scheme: str,
        get_peers: Callable[[], frozenset[str]],
        interval_s: float,
    ) -> None:
        self._store = store
        self._engine = engine
        self._client = client
        self._proof = proof
        self._scheme = scheme
        self._get_peers = get_peers
        self._interval_s = interval_s

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._interval_s)

    async def poll(self) -> None:
        """Read the accepted version and, if it is newer, the documents."""
        try:
            version = await self._store.get_version()
            if version > self._engine.configuration.version:
                self._offer(await self._store.read(), source="table")
        except PlatformError as error:
            self._engine.metrics.count("configuration.poll_failed")
            if not self._engine.configuration.is_ready:
                log_error("entry:table-unavailable", reason=str(error))
                await self._fetch_from_peers()

    async def _fetch_from_peers(self) -> None:
        answers = await asyncio.gather(*(self._fetch(peer) for peer in self._get_peers()))
        received = [answer for answer in answers if answer is not None]
        if received:
            self._offer(max(received, key=lambda answer: answer.version), source="peer")

    async def _fetch(self, peer: str) -> Configuration | None:
        try:
            response = await self._client.request(
                "GET",
                f"{self._scheme}://{peer}/v1/peer/configuration",
                headers=self._proof.headers,
                timeout_s=2.0,
            )
            return response.decode(Configuration) if response.status == 200 else None
        except (HttpFailure, msgspec.MsgspecError):
            return None

    def _offer(self, configuration: Configuration, *, source: str) -> None:
        if self._engine.offer_configuration(configuration):
            log_event("entry:configuration", version=configuration.version, source=source)
