"""Client of the platform's services over HTTP, as served by the stand-in."""

from __future__ import annotations

from typing import Any

import msgspec

from dalemast.hosting import exceptions
from dalemast.hosting.base import (
    BaseHostList,
    BasePlatform,
    BaseTable,
    Condition,
    Host,
    Put,
    Row,
)
from dalemast.hosting.exceptions import PlatformAnswerLost, PlatformDown, PlatformError
from dalemast.http.client import HttpFailure, JsonClient

__all__ = ["GetRows", "HttpPlatform", "InsertRows", "Transact"]

DEFAULT_TIMEOUT_S = 2.0


class GetRows(msgspec.Struct, frozen=True, kw_only=True):
    """Request body of a read."""

    keys: tuple[str, ...]


class InsertRows(msgspec.Struct, frozen=True, kw_only=True):
    """Request body of an insert of several rows."""

    puts: tuple[Put, ...]


class Transact(msgspec.Struct, frozen=True, kw_only=True):
    """Request body of a transaction."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


_ERRORS = {
    cls.code: cls
    for cls in (
        exceptions.PlatformDown,
        exceptions.PlatformBusy,
        exceptions.PlatformAnswerLost,
        exceptions.ConditionFailed,
    )
}


class _Connection:
    def __init__(self, *, url: str, client: JsonClient, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._client = client
        self._timeout_s = timeout_s

    async def call(self, path: str, body: object, answer_type: Any) -> Any:
        try:
            response = await self._client.request(
                "GET" if body is None else "POST",
                self._url + path,
                body=body,
                timeout_s=self._timeout_s,
            )
        except HttpFailure as failure:
            if failure.is_unreachable:
                raise PlatformDown(failure.message) from failure
            raise PlatformAnswerLost(failure.message) from failure
        if response.status == 200:
            return response.decode(answer_type)
        raise self._make_error(response.get_error_code(), response.status)

    def _make_error(self, code: str, status: int) -> PlatformError:
        return _ERRORS.get(code, PlatformError)(
            f"the platform responded with status {status} {code}"
        )


class HttpTable(BaseTable):
    """The table service over HTTP."""

    def __init__(self, *, connection: _Connection) -> None:
        self._connection = connection

    async def get_rows(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys."""
        body = GetRows(keys=keys)
        rows = await self._connection.call("/v1/table/get", body, tuple[Row | None, ...])
        return tuple(rows)

    async def insert_rows(self, puts: tuple[Put, ...]) -> tuple[Row, ...]:
        """Insert each row unless its key exists."""
        body = InsertRows(puts=puts)
        rows = await self._connection.call("/v1/table/insert", body, tuple[Row, ...])
        return tuple(rows)

    async def transact(self, *, conditions: tuple[Condition, ...], puts: tuple[Put, ...]) -> None:
        """Write all rows if every condition holds."""
        body = Transact(conditions=conditions, puts=puts)
        await self._connection.call("/v1/table/transact", body, object)


class HttpHostList(BaseHostList):
    """The host list over HTTP."""

    def __init__(self, *, connection: _Connection) -> None:
        self._connection = connection

    async def get_hosts(self) -> tuple[Host, ...]:
        """Return the list."""
        hosts = await self._connection.call("/v1/hosts", None, tuple[Host, ...])
        return tuple(hosts)


class HttpPlatform(BasePlatform):
    """Both services over HTTP."""

    def __init__(self, *, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        client = JsonClient()
        connection = _Connection(url=url, client=client, timeout_s=timeout_s)
        self._table = HttpTable(connection=connection)
        self._hosts = HttpHostList(connection=connection)

    @property
    def table(self) -> HttpTable:
        """The table service."""
        return self._table

    @property
    def hosts(self) -> HttpHostList:
        """The host list."""
        return self._hosts
