"""The interfaces of the platform's services."""

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
    """A row of the table. ``version`` counts its writes from 1; ``value`` is JSON."""

    key: str
    version: int
    value: msgspec.Raw


class Put(_Value, frozen=True, kw_only=True):
    """A value to write under a key."""

    key: str
    value: msgspec.Raw


class Condition(_Value, frozen=True, kw_only=True):
    """A row must be at this version for a transaction to happen; 0 means that it is absent."""

    key: str
    version: int


class HostRole(enum.Enum):
    """What a host carries."""

    ENTRY = "entry"
    WORKER = "worker"


class HostState(enum.Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(_Value, frozen=True, kw_only=True):
    """A host as the platform lists it, with a lag. ``address`` is where its process is reached."""

    name: str
    role: HostRole
    address: str
    data_centre: str = ""
    state: HostState = HostState.LIVE


class BaseTable(abc.ABC):
    """A transactional table. Every method may raise a :class:`PlatformError`."""

    @abc.abstractmethod
    async def get_rows(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys."""

    @abc.abstractmethod
    async def insert_rows(self, puts: tuple[Put, ...]) -> tuple[Row, ...]:
        """Insert each row unless its key exists; return the row that now stands under each key."""

    @abc.abstractmethod
    async def transact(self, *, conditions: tuple[Condition, ...], puts: tuple[Put, ...]) -> None:
        """Write all rows if every condition holds, else raise :class:`ConditionFailed`."""


class BaseHostList(abc.ABC):
    """The platform's list of live and leaving hosts. It lags."""

    @abc.abstractmethod
    async def get_hosts(self) -> tuple[Host, ...]:
        """Return the list; raises :class:`PlatformError`."""


class BasePlatform(abc.ABC):
    """Both services. Settings name a subclass by its dotted path."""

    @property
    @abc.abstractmethod
    def table(self) -> BaseTable:
        """The table service."""

    @property
    @abc.abstractmethod
    def hosts(self) -> BaseHostList:
        """The host list."""

    async def close(self) -> None:  # noqa: B027
        """Let go of connections."""
