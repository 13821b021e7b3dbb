"""The stand-in for the platform's services as a process, with fault injection."""

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
        """Insert rows; close the connection if the response is to be lost."""
        body: InsertRows = decode_body(self.request.body, InsertRows)
        try:
            self.send_json(await self._platform.table.insert_rows(body.puts))
        except PlatformAnswerLost:
            self._close_without_response()

    def _close_without_response(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]
        self._finished = True


class TransactHandler(InsertHandler):
    """``POST /v1/table/transact``."""

    async def post(self) -> None:
        """Write rows under conditions; close the connection if the response is to be lost."""
        body: Transact = decode_body(self.request.body, Transact)
        try:
            await self._platform.table.transact(conditions=body.conditions, puts=body.puts)
        except PlatformAnswerLost:
            self._close_without_response()
            return
        self.send_json({"status": "written"})


class HostsHandler(_PlatformHandler):
    """``GET /v1/hosts``."""

    async def get(self) -> None:
        """Send the list, delayed by the configured lag."""
        self.send_json(await self._platform.hosts.get_hosts())


class HostHandler(_PlatformHandler):
    """``PUT`` and ``DELETE /v1/hosts/NAME``: change the host list as the platform would."""

    def put(self, name: str) -> None:
        """Add or change a host."""
        host: Host = decode_body(self.request.body, Host)
        self._platform.hosts.set_host(host)
        self.send_json({"status": "listed", "name": name})

    def delete(self, name: str) -> None:
        """Remove a host from the list."""
        self._platform.hosts.remove_host(name)
        self.send_json({"status": "removed", "name": name})


class FaultsHandler(_PlatformHandler):
    """``GET`` and ``PUT /v1/faults``."""

    def get(self) -> None:
        """Send the faults that are currently injected."""
        self.send_json(self._platform.faults)

    def put(self) -> None:
        """Replace the injected faults."""
        self._platform.set_faults(decode_body(self.request.body, FaultControls))
        self.send_json(self._platform.faults)


class UsageHandler(_PlatformHandler):
    """``GET /v1/usage``: the number of reads and writes served."""

    def get(self) -> None:
        """Send the counters."""
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
    """The process of the stand-in."""

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
        """The address at which the stand-in listens."""
        return self._listener.address

    @property
    def platform(self) -> MemoryPlatform:
        """The in-memory platform that is served."""
        return self._platform

    async def start(self) -> None:
        """Start listening."""
        self._listener.start()

    async def drain(self) -> None:
        """Return at once, since there is no work to finish."""

    def get_unfinished(self) -> list[str]:
        """Return an empty list, since there is no work to finish."""
        return []

    async def close(self) -> None:
        """Close all sockets."""
        await self._listener.close()
