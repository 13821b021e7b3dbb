"""How entries bring one another up to the newest configuration, beside the store."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import msgspec

from dalemast import clock
from dalemast.core.catch_up import (
    CopyLimit,
    MissingVersion,
    get_copy_timeout_s,
)
from dalemast.fleet.base import Configuration
from dalemast.fleet.entry.configuration import ConfigurationInForce
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.frames import (
    ConfigurationDeferred,
    ConfigurationRequest,
    ConfigurationUpdate,
    VersionAnnouncement,
)
from dalemast.fleet.links import encode_message
from dalemast.observability import log_event

__all__ = ["ConfigurationExchange"]


class ConfigurationExchange:
    """Tells peers the version alone, and gives or asks for the whole when one lacks it.

    ``dialled`` are the links to peers by name; their keeper adds to them and takes away. Versions
    are told, asked for and given on those links and on the peers' own alike.
    """

    def __init__(
        self, *, configuration: ConfigurationInForce, dialled: Mapping[str, PeerSession]
    ) -> None:
        self._configuration = configuration
        self._dialled = dialled
        self._missing = MissingVersion()
        self._copies = CopyLimit()
        self._encoded = b""
        """The configuration in force as a message, encoded once for all peers."""

    def start(self) -> None:
        """Tell all peers of each new version."""
        self._configuration.on_change(self._tell_all)

    def greet(self, session: PeerSession) -> None:
        """Tell the version that is in force here, if there is one."""
        current = self._configuration.current
        if current is not None:
            session.link.send(self._make_version_news(current))

    def handle_version(self, session: PeerSession, news: VersionAnnouncement) -> None:
        """Take in which version a peer has."""
        name = session.name
        if not name:
            return
        self._copies.release(name)
        self._missing.note_peer(name, news.version, news.size_bytes, now=clock.monotonic())

    def send_configuration(self, session: PeerSession, ask: ConfigurationRequest) -> None:
        """Send the configuration to a peer that lacks it, or say that others come first.

        It may be of megabytes, which is too much for an agent to relay.
        """
        current = self._configuration.current
        if current is None or current.version < ask.version or session.is_relayed:
            return
        copy_s = get_copy_timeout_s(len(self._encoded))
        if not self._copies.acquire(session.name, now=clock.monotonic(), copy_s=copy_s):
            session.link.send(ConfigurationDeferred(version=ask.version))
            return
        log_event("configuration:given", peer=session.name, version=current.version)
        session.link.send(msgspec.Raw(self._encoded))

    def handle_deferred(self, session: PeerSession) -> None:
        """Note that a peer gives the configuration to others first."""
        self._missing.note_deferred(session.name, now=clock.monotonic())

    def handle_configuration(self, session: PeerSession, news: ConfigurationUpdate) -> None:
        """Take in a configuration that a peer sent."""
        offered = Configuration(version=news.version, queues=news.queues)
        self._configuration.offer(offered, source=session.name or "peer")

    def forget(self, name: str) -> None:
        """Note that a peer is out of reach."""
        self._missing.forget_peer(name)
        self._copies.release(name)

    def tick(self, now: float) -> None:
        """Ask a peer for the version that is missing here, if that is due."""
        ask = self._missing.take_due(now=now, draw=random.random())
        if ask is None:
            return
        session = self._dialled.get(ask.peer)
        if session is None or session.is_relayed:
            # Its version came by the link that it has dialled; the own one is about to follow.
            self._missing.note_deferred(ask.peer, now=now)
            return
        log_event("configuration:asked", peer=ask.peer, version=ask.version)
        session.link.send(ConfigurationRequest(version=ask.version))

    def _tell_all(self, configuration: Configuration) -> None:
        message = ConfigurationUpdate(version=configuration.version, queues=configuration.queues)
        self._encoded = encode_message(message)
        self._missing.note_own(configuration.version)
        _send_all(self._dialled.values(), self._make_version_news(configuration))

    def _make_version_news(self, configuration: Configuration) -> VersionAnnouncement:
        return VersionAnnouncement(version=configuration.version, size_bytes=len(self._encoded))


def _send_all(sessions: Iterable[PeerSession], news: VersionAnnouncement) -> None:
    for session in sessions:
        session.link.send(news)
