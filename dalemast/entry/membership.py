"""Apply the platform's host list to this entry."""

from __future__ import annotations

import asyncio

from dalemast.entry.engine import EntryEngine
from dalemast.entry.links import LinkSupervisor
from dalemast.hosting import BaseHostList, Host, HostRole, HostState, PlatformError

__all__ = ["Membership"]


class Membership:
    """Polls the host list for live entries and for workers that are leaving.

    The list lags behind, so it is used only to withhold work from a leaving worker and to divide
    limits among entries. Links show whether a process is alive.
    """

    def __init__(
        self,
        *,
        hosts: BaseHostList,
        engine: EntryEngine,
        links: LinkSupervisor,
        name: str,
        address: str,
        peers: tuple[str, ...],
        interval_s: float,
    ) -> None:
        self._hosts = hosts
        self._engine = engine
        self._links = links
        self._name = name
        self._address = address
        self._settings_peers = frozenset(peers)
        self._peers = self._settings_peers - {address}
        self._interval_s = interval_s

    def get_peers(self) -> frozenset[str]:
        """Return the operators' addresses of the other entries."""
        return self._peers

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._interval_s)

    async def poll(self) -> None:
        """Read the list once; if that fails, the previous list stays in effect."""
        try:
            hosts = await self._hosts.get_hosts()
        except PlatformError:
            self._engine.metrics.count("hosts.poll_failed")
            return
        self._apply(hosts)

    def _apply(self, hosts: tuple[Host, ...]) -> None:
        entries = [host for host in hosts if host.role is HostRole.ENTRY]
        live = {host.name: host for host in entries if host.state is HostState.LIVE}
        addresses = {host.address for host in entries}
        self._peers = (addresses | self._settings_peers) - {self._address}
        names = frozenset(live) | {self._name}
        leaving = {
            host.name
            for host in hosts
            if host.role is HostRole.WORKER and host.state is HostState.LEAVING
        }
        self._engine.set_membership(entries=len(names), leaving_workers=leaving)
        self._links.set_entries(names)
