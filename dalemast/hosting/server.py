"""The stand-in for the platform's services, as a process of its own, with fault controls."""

from __future__ import annotations

from dalemast.hosting.base import Host
from dalemast.hosting.exceptions import PlatformAnswerLost
from dalemast.hosting.faults import FaultControls
from dalemast.hosting.http import GetRows, InsertRows, Transact
from dalemast.hosting.memory import MemoryPlatform
from dalemast.http.base import BaseHandler, decode_body
from dalemast.http.server import Listener, Route
from dalemast.process import BaseProcess
from dalemast.settings import PlatformServerSettings

__all__ = ["PlatformServer", "get_platform_routes"]


class _PlatformHandler(BaseHandler):
    def initialize(self, platform: MemoryPlatform) -> None:
        self._platform = platform


class GetHandler(_PlatformHandler):
    """``POST /v1/table/get``."""

    async def post(self) -> None:
        """Read rows."""
        body: GetRows = decode_body(self.request.body, GetRows)
        self.send_json(await self._platform.table.get_rows(body.keys))


class InsertHandler(_PlatformHandler):
    """``POST /v1/table/insert``."""

    async def post(self) -> None:
        """Insert rows; a lost answer breaks the connection off."""
        body: InsertRows = decode_body(self.request.body, InsertRows)
        try:
            self.send_json(await self._platform.table.insert_rows(body.puts))
        except PlatformAnswerLost:
            self._break_off()

    def _break_off(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]
        self._finished = True


class TransactHandler(InsertHandler):
    """``POST /v1/table/transact``."""

    async def post(self) -> None:
        """Write rows under conditions; a lost answer breaks the connection off."""
        body: Transact = decode_body(self.request.body, Transact)
        try:
            await self._platform.table.transact(conditions=body.conditions, puts=body.puts)
        except PlatformAnswerLost:
            self._break_off()
            return
        self.send_json({"status": "written"})


class HostsHandler(_PlatformHandler):
    """``GET /v1/hosts``."""

    async def get(self) -> None:
        """Give the list, as old as the lag says."""
        self.send_json(await self._platform.hosts.get_hosts())


class HostHandler(_PlatformHandler):
    """``PUT`` and ``DELETE /v1/hosts/NAME``: what the platform's supervision would do."""

    def put(self, name: str) -> None:
        """Add or change a host."""
        host: Host = decode_body(self.request.body, Host)
        self._platform.hosts.set_host(host)
        self.send_json({"status": "listed", "name": name})

    def delete(self, name: str) -> None:
        """Take a host off the list."""
        self._platform.hosts.remove_host(name)
        self.send_json({"status": "removed", "name": name})


class FaultsHandler(_PlatformHandler):
    """``GET`` and ``PUT /v1/faults``."""

    def get(self) -> None:
        """Give the faults that are shown now."""
        self.send_json(self._platform.faults)

    def put(self) -> None:
        """Show these faults from now on."""
        self._platform.set_faults(decode_body(self.request.body, FaultControls))
        self.send_json(self._platform.faults)


class UsageHandler(_PlatformHandler):
    """``GET /v1/usage``: reads and writes served."""

    def get(self) -> None:
        """Give the counters."""
        self.send_json({"reads": self._platform.reads, "writes": self._platform.writes})


def get_platform_routes(platform: MemoryPlatform) -> list[Route]:
    """Return the routes of the stand-in."""
    arguments = {"platform": platform}
    return [
        ("/v1/table/get", GetHandler, arguments),
        ("/v1/table/insert", InsertHandler, arguments),
        ("/v1/table/transact", TransactHandler, arguments),
        ("/v1/hosts", HostsHandler, arguments),
        (r"/v1/hosts/([A-Za-z0-9._-]{1,63})", HostHandler, arguments),
        ("/v1/faults", FaultsHandler, arguments),
        ("/v1/usage", UsageHandler, arguments),
    ]


class PlatformServer(BaseProcess):
    """The stand-in as a process."""

    def __init__(self, *, settings: PlatformServerSettings) -> None:
        self._platform = MemoryPlatform()
        self._platform.set_faults(
            FaultControls(writes_per_s=settings.writes_per_s, reads_per_s=settings.reads_per_s)
        )
        self._listener = Listener(
            settings=settings.listen,
            routes=get_platform_routes(self._platform),
            max_body_bytes=64 * 1024 * 1024,
        )

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._listener.address

    @property
    def platform(self) -> MemoryPlatform:
        """The platform behind it."""
        return self._platform

    async def start(self) -> None:
        """Listen."""
        self._listener.start()

    async def drain(self) -> None:
        """Nothing runs here."""

    def get_unfinished(self) -> list[str]:
        """Return nothing: the stand-in keeps nothing."""
        return []

    async def close(self) -> None:
        """Close every socket."""
        await self._listener.close()
