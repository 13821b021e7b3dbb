"""Exchange of configurations between entries, in addition to the store."""

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
    """Announces the version in force to peers, and requests or sends whole configurations.

    ``dialled`` holds the dialled links by the name of the peer; the caller keeps it up to date.
    Announcements, requests and configurations are sent on dialled and accepted links alike.
    """

    def __init__(
        self, *, configuration: ConfigurationInForce, dialled: Mapping[str, PeerSession]
    ) -> None:
        self._configuration = configuration
        self._dialled = dialled
        self._missing = MissingVersion()
        self._copies = CopyLimit()
        self._encoded = b""
        """The configuration in force as an encoded message, shared by all peers."""

    def start(self) -> None:
        """Announce each new version to all peers from now on."""
        self._configuration.on_change(self._announce_to_all)

    def announce(self, session: PeerSession) -> None:
        """Announce the version in force, if there is one, on a new link."""
        current = self._configuration.current
        if current is not None:
            session.link.send(self._make_announcement(current))

    def handle_version(self, session: PeerSession, message: VersionAnnouncement) -> None:
        """Handle a peer's announcement of its version."""
        name = session.name
        if not name:
            return
        self._copies.release(name)
        self._missing.note_peer(name, message.version, message.size_bytes, now=clock.monotonic())

    def send_configuration(self, session: PeerSession, request: ConfigurationRequest) -> None:
        """Send the configuration to a peer that requested it, or defer the peer.

        Configurations are not sent on relayed links, as they may be megabytes in size.
        """
        current = self._configuration.current
        if current is None or current.version < request.version or session.is_relayed:
            return
        copy_s = get_copy_timeout_s(len(self._encoded))
        if not self._copies.acquire(session.name, now=clock.monotonic(), copy_s=copy_s):
            session.link.send(ConfigurationDeferred(version=request.version))
            return
        log_event("configuration:given", peer=session.name, version=current.version)
        session.link.send(msgspec.Raw(self._encoded))

    def handle_deferred(self, session: PeerSession) -> None:
        """Record that a peer has deferred the request for its configuration."""
        self._missing.note_deferred(session.name, now=clock.monotonic())

    def handle_configuration(self, session: PeerSession, message: ConfigurationUpdate) -> None:
        """Offer a configuration that a peer has sent."""
        offered = Configuration(version=message.version, queues=message.queues)
        self._configuration.offer(offered, source=session.name or "peer")

    def remove_peer(self, name: str) -> None:
        """Remove a peer that is unreachable."""
        self._missing.forget_peer(name)
        self._copies.release(name)

    def tick(self, now: float) -> None:
        """Request a missing version from a peer if a request is due."""
        request = self._missing.take_due(now=now, draw=random.random())
        if request is None:
            return
        session = self._dialled.get(request.peer)
        if session is None or session.is_relayed:
            # The announcement came on the accepted link; the dialled one is not open yet.
            self._missing.note_deferred(request.peer, now=now)
            return
        log_event("configuration:asked", peer=request.peer, version=request.version)
        session.link.send(ConfigurationRequest(version=request.version))

    def _announce_to_all(self, configuration: Configuration) -> None:
        message = ConfigurationUpdate(version=configuration.version, queues=configuration.queues)
        self._encoded = encode_message(message)
        self._missing.note_own(configuration.version)
        _send_all(self._dialled.values(), self._make_announcement(configuration))

    def _make_announcement(self, configuration: Configuration) -> VersionAnnouncement:
        return VersionAnnouncement(version=configuration.version, size_bytes=len(self._encoded))


def _send_all(sessions: Iterable[PeerSession], message: VersionAnnouncement) -> None:
    for session in sessions:
        session.link.send(message)
