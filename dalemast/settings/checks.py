"""System checks: what a settings file says that cannot work, with an id, a message and a hint."""

from __future__ import annotations

import enum
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from dalemast.fleet.timing import FleetTimes
from dalemast.settings.base import (
    AgentSettings,
    EntrySettings,
    ListenerSettings,
    LogSettings,
    PlatformServerSettings,
    Settings,
)

__all__ = ["CheckLevel", "CheckMessage", "run_checks"]
from dalemast.settings.fleet import FleetAgentSettings, FleetSettings

_ADDRESS = re.compile(r"(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})\Z")
LOG_LEVELS = ("none", "errors", "jobs", "all")
SHORTEST_LEASE_S = 0.2
"""Below it a lease would lapse between two looks of an agent that is slowed."""
WORKER_CONNECTIONS = 64
"""Connections that the platform gives a worker."""


class CheckLevel(enum.Enum):
    """How bad a finding is; an error keeps the process from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckMessage:
    """One finding."""

    id: str
    level: CheckLevel
    place: str
    message: str
    hint: str

    def __str__(self) -> str:
        text = f"{self.level.value} {self.id} at {self.place}: {self.message}"
        return f"{text} (hint: {self.hint})"


def run_checks(settings: Settings) -> list[CheckMessage]:
    """Return every finding about the settings of one role."""
    return [message for check in _CHECKS for message in check(settings)]


def _error(number: int, place: str, message: str, hint: str) -> CheckMessage:
    return CheckMessage(
        id=f"dalemast.E{number:03}",
        level=CheckLevel.ERROR,
        place=place,
        message=message,
        hint=hint,
    )


def _warning(number: int, place: str, message: str, hint: str) -> CheckMessage:
    return CheckMessage(
        id=f"dalemast.W{number:03}",
        level=CheckLevel.WARNING,
        place=place,
        message=message,
        hint=hint,
    )


def _get_listeners(settings: Settings) -> Iterator[tuple[str, ListenerSettings]]:
    for field in settings.__struct_fields__:
        value = getattr(settings, field)
        if isinstance(value, ListenerSettings):
            yield f"$.{field}", value


def _check_listeners(settings: Settings) -> Iterator[CheckMessage]:
    seen: set[str] = set()
    for place, listener in _get_listeners(settings):
        match = _ADDRESS.match(listener.address)
        if match is None or int(match[1]) > 65535:
            yield _error(
                1,
                f"{place}.address",
                f"{listener.address!r} is not an IP number and a port",
                "write it as 10.0.0.1:8700",
            )
        elif listener.address in seen and not listener.address.endswith(":0"):
            yield _error(2, f"{place}.address", "the address stands twice", "use another port")
        seen.add(listener.address)
        if listener.tls is None:
            continue
        for name, file in (("certificate", listener.tls.certificate), ("key", listener.tls.key)):
            if not Path(file).is_file():
                yield _error(3, f"{place}.tls.{name}", f"no file {file!r}", "name a PEM file")


def _check_log(settings: Settings) -> Iterator[CheckMessage]:
    log = getattr(settings, "log", None)
    if isinstance(log, LogSettings) and log.level not in LOG_LEVELS:
        yield _error(4, "$.log.level", f"no level {log.level!r}", f"one of {LOG_LEVELS}")


def _check_entry(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, EntrySettings):
        return
    policy = settings.policy
    placements = ("packing", "spreading", "random", "round-robin", "stale-shortest-queue")
    if policy.placement not in placements:
        yield _error(
            5, "$.policy.placement", f"no policy {policy.placement!r}", f"one of {placements}"
        )
    if policy.admission not in ("deadline", "open"):
        yield _error(6, "$.policy.admission", f"no policy {policy.admission!r}", "deadline or open")
    if settings.ticket_life_s <= 0:
        yield _error(7, "$.ticket_life_s", "a life is above 0 s", "600 is a good start")
    if settings.poll_interval_s > 5:
        yield _warning(
            1,
            "$.poll_interval_s",
            "configuration may take longer than 15 s to be in force",
            "poll at least every 5 s",
        )
    if settings.callers.tls is None and not settings.callers.address.startswith("127."):
        yield _warning(
            2, "$.callers.tls", "tokens travel in the open", "set a certificate and a key"
        )


def _check_agent(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, AgentSettings):
        return
    if settings.slots < 1:
        yield _error(8, "$.slots", "an endpoint has at least one slot", "8 is usual")
    if settings.queue_limit < 0:
        yield _error(9, "$.queue_limit", "a queue is not shorter than 0", "0 queues nothing")
    if settings.slots + settings.max_links > WORKER_CONNECTIONS:
        yield _warning(
            3,
            "$.max_links",
            f"slots and links exceed the {WORKER_CONNECTIONS} connections of a worker",
            f"keep max_links at most {WORKER_CONNECTIONS} less the slots",
        )
    if not settings.endpoint_url.startswith(("http://", "https://")):
        yield _error(10, "$.endpoint_url", "not an HTTP URL", "http://127.0.0.1:8720/")


def _check_secrets(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, EntrySettings | AgentSettings):
        return
    key = settings.system_key
    if not key.file and not key.environment:
        yield _error(
            11, "$.system_key", "the system's key has no source", "name a file or a variable"
        )
    token = settings.operators_token
    is_local = settings.operators.address.startswith("127.")
    if not token.file and not token.environment and not is_local:
        yield _error(
            12,
            "$.operators_token",
            "operators need no token on an address that others reach",
            "name a file or a variable",
        )


def _check_fleet(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, FleetSettings):
        return
    addresses = {"store.address": settings.store.address}
    if isinstance(settings, FleetAgentSettings):
        addresses["worker.address"] = settings.worker.address
    addresses |= {f"seeds[{n}]": seed for n, seed in enumerate(settings.seeds)}
    for place, address in addresses.items():
        if _ADDRESS.match(address) is None:
            yield _error(
                14,
                f"$.{place}",
                f"{address!r} is not an IP number and a port",
                "write it as 10.0.0.1:8700",
            )
    times = FleetTimes.fit(
        resend_s=settings.resend_ms / 1000,
        lease_max_s=settings.lease_max_ms / 1000,
        stop_s=settings.stop_ms / 1000,
    )
    if isinstance(settings, FleetAgentSettings):
        yield from _check_link_bounds(settings)
    if times.lease_s < SHORTEST_LEASE_S or times.lost_run_s >= settings.resend_ms / 1000:
        yield _error(
            15,
            "$.resend_ms",
            f"runs of a lost owner end after {times.lost_run_s:.2f} s at the soonest, and a caller "
            f"may submit again after {settings.resend_ms / 1000:.2f} s",
            "the time until a caller submits again must leave room for leases of 0.2 s",
        )


def _check_link_bounds(settings: FleetAgentSettings) -> Iterator[CheckMessage]:
    for name in ("max_near_links", "max_far_links"):
        if getattr(settings, name) < 1:
            yield _error(
                16,
                f"$.{name}",
                "an agent without links to some entries gets no tasks of theirs",
                "1 or more; 12 and 4 link every agent to all entries of a system of 16",
            )


def _check_platform_server(settings: Settings) -> Iterator[CheckMessage]:
    if isinstance(settings, PlatformServerSettings) and settings.writes_per_s < 0:
        yield _error(13, "$.writes_per_s", "a rate is not below 0", "0 sets no limit")


_CHECKS: tuple[Callable[[Settings], Iterator[CheckMessage]], ...] = (
    _check_listeners,
    _check_log,
    _check_entry,
    _check_agent,
    _check_secrets,
    _check_platform_server,
    _check_fleet,
)
