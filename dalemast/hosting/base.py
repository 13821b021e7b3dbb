"""Interfaces of the platform's services."""

from __future__ import annotations

import abc
import enum

import msgspec

__all__ = [
    "BaseHostList",
    "BasePlatform",
    "BaseTable",
    "Condition",
    "Host",
    "HostRole",
    "HostState",
    "Put",
    "Row",
]


class _Value(msgspec.Struct, frozen=True, kw_only=True):
    pass


class Row(_Value, frozen=True, kw_only=True):
    """A row of the table. ``version`` starts at 1 and grows with each write; ``value`` is JSON."""

    key: str
    version: int
    value: msgspec.Raw


class Put(_Value, frozen=True, kw_only=True):
    """A value to write under a key."""

    key: str
    value: msgspec.Raw


class Condition(_Value, frozen=True, kw_only=True):
    """The version at which a row must be for a transaction; 0 means that it must not exist."""

    key: str
    version: int


class HostRole(enum.Enum):
    """The role of a host."""

    ENTRY = "entry"
    WORKER = "worker"


class HostState(enum.Enum):
    """The state of a host, as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(_Value, frozen=True, kw_only=True):
    """An entry of the host list. ``address`` is that of the process on the host."""

    name: str
    role: HostRole
    address: str
    data_centre: str = ""
    state: HostState = HostState.LIVE


class BaseTable(abc.ABC):
    """A transactional table. Every method may raise a :class:`PlatformError`."""

    @abc.abstractmethod
    async def get_rows(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Return the rows in the order of the keys, with None for a missing row."""

    @abc.abstractmethod
    async def insert_rows(self, puts: tuple[Put, ...]) -> tuple[Row, ...]:
        """Insert each row unless its key exists; return the current row of each key."""

    @abc.abstractmethod
    async def transact(self, *, conditions: tuple[Condition, ...], puts: tuple[Put, ...]) -> None:
        """Write all rows if all conditions hold, else raise :class:`ConditionFailed`."""


class BaseHostList(abc.ABC):
    """The platform's list of live and leaving hosts, which may be out of date."""

    @abc.abstractmethod
    async def get_hosts(self) -> tuple[Host, ...]:
        """Return the list; may raise :class:`PlatformError`."""


class BasePlatform(abc.ABC):
    """Both services. The settings name a subclass by its dotted path."""

    @property
    @abc.abstractmethod
    def table(self) -> BaseTable:
        """The table service."""

    @property
    @abc.abstractmethod
    def hosts(self) -> BaseHostList:
        """The host list."""

    async def close(self) -> None:  # noqa: B027
        """Close open connections."""
