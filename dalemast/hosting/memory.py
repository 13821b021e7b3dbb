"""In-memory platform services, used by ``dalemast local``, tests and the stand-in."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from dalemast.core.admission import TokenBucket
from dalemast.hosting.base import (
    BaseHostList,
    BasePlatform,
    BaseTable,
    Condition,
    Host,
    Put,
    Row,
)
from dalemast.hosting.exceptions import (
    ConditionFailed,
    PlatformAnswerLost,
    PlatformBusy,
    PlatformDown,
)
from dalemast.hosting.faults import FaultControls

__all__ = ["MemoryHostList", "MemoryPlatform", "MemoryTable"]

HISTORY_LENGTH = 1000
"""Past versions of the host list that are kept."""


class _FaultInjector:
    """Applies faults and rate limits to the calls of both services, and counts the calls."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.faults = FaultControls()
        self.reads = 0
        self.writes = 0
        self._read_bucket = TokenBucket(rate_per_s=1.0, burst=1.0, now=clock())
        self._write_bucket = TokenBucket(rate_per_s=1.0, burst=1.0, now=clock())

    def set_faults(self, faults: FaultControls) -> None:
        self.faults = faults
        now = self.clock()
        self._read_bucket = TokenBucket(
            rate_per_s=faults.reads_per_s, burst=faults.reads_per_s, now=now
        )
        self._write_bucket = TokenBucket(
            rate_per_s=faults.writes_per_s, burst=faults.writes_per_s, now=now
        )

    async def start_call(self, *, is_write: bool) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            raise PlatformDown("the platform is down")
        limit = self.faults.writes_per_s if is_write else self.faults.reads_per_s
        bucket = self._write_bucket if is_write else self._read_bucket
        if limit and not bucket.take(now=self.clock()):
            raise PlatformBusy(f"the platform's limit of {limit:g} calls per second is reached")
        self.reads += not is_write
        self.writes += is_write

    def finish_write(self) -> None:
        if self.faults.is_losing_answers:
            raise PlatformAnswerLost("the response was lost")


class MemoryTable(BaseTable):
    """A table backed by a dictionary. Calls are atomic because they run in one event loop."""

    def __init__(self, *, fault_injector: _FaultInjector) -> None:
        self._fault_injector = fault_injector
        self._rows: dict[str, Row] = {}

    async def get_rows(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys."""
        await self._fault_injector.start_call(is_write=False)
        return tuple(self._rows.get(key) for key in keys)

    async def insert_rows(self, puts: tuple[Put, ...]) -> tuple[Row, ...]:
        """Insert each row unless its key exists."""
        await self._fault_injector.start_call(is_write=True)
        for put in puts:
            if put.key not in self._rows:
                self._write(put)
        self._fault_injector.finish_write()
        return tuple(self._rows[put.key] for put in puts)

    async def transact(self, *, conditions: tuple[Condition, ...], puts: tuple[Put, ...]) -> None:
        """Write all rows if every condition holds."""
        await self._fault_injector.start_call(is_write=True)
        for condition in conditions:
            row = self._rows.get(condition.key)
            version = 0 if row is None else row.version
            if version != condition.version:
                raise ConditionFailed(
                    f"{condition.key} is at version {version}, not {condition.version}"
                )
        for put in puts:
            self._write(put)
        self._fault_injector.finish_write()

    def _write(self, put: Put) -> None:
        row = self._rows.get(put.key)
        version = 1 if row is None else row.version + 1
        self._rows[put.key] = Row(key=put.key, version=version, value=put.value)


class MemoryHostList(BaseHostList):
    """A host list that keeps past versions, to emulate a lag."""

    def __init__(self, *, fault_injector: _FaultInjector) -> None:
        self._fault_injector = fault_injector
        self._history: deque[tuple[float, tuple[Host, ...]]] = deque(maxlen=HISTORY_LENGTH)
        self._history.append((fault_injector.clock(), ()))

    async def get_hosts(self) -> tuple[Host, ...]:
        """Return the list as it was ``host_lag_s`` ago."""
        await self._fault_injector.start_call(is_write=False)
        as_of = self._fault_injector.clock() - self._fault_injector.faults.host_lag_s
        result = self._history[0][1]
        for changed_at, hosts in self._history:
            if changed_at <= as_of:
                result = hosts
        return result

    def set_host(self, host: Host) -> None:
        """Add or change a host, as the platform would."""
        others = tuple(known for known in self._history[-1][1] if known.name != host.name)
        self._history.append((self._fault_injector.clock(), (*others, host)))

    def remove_host(self, name: str) -> None:
        """Remove a host from the list."""
        remaining = tuple(known for known in self._history[-1][1] if known.name != name)
        self._history.append((self._fault_injector.clock(), remaining))


class MemoryPlatform(BasePlatform):
    """Both services in memory, with fault injection."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic, url: str = "") -> None:
        self._fault_injector = _FaultInjector(clock=clock)
        self._table = MemoryTable(fault_injector=self._fault_injector)
        self._hosts = MemoryHostList(fault_injector=self._fault_injector)

    @property
    def table(self) -> MemoryTable:
        """The table service."""
        return self._table

    @property
    def hosts(self) -> MemoryHostList:
        """The host list."""
        return self._hosts

    @property
    def reads(self) -> int:
        """The number of reads served."""
        return self._fault_injector.reads

    @property
    def writes(self) -> int:
        """The number of writes served."""
        return self._fault_injector.writes

    @property
    def faults(self) -> FaultControls:
        """The faults that are currently injected."""
        return self._fault_injector.faults

    def set_faults(self, faults: FaultControls) -> None:
        """Replace the injected faults."""
        self._fault_injector.set_faults(faults)
