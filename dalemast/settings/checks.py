"""System checks of settings: each finding has an id, a message and a hint."""

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
MIN_LEASE_S = 0.2
"""A shorter lease could expire between two polls of a slow agent."""
WORKER_CONNECTIONS = 64
"""The platform's limit of connections to a worker."""


class CheckLevel(enum.Enum):
    """Severity of a finding; an error prevents the process from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckMessage:
    """A finding of a check."""

    id: str
    level: CheckLevel
    place: str
    message: str
    hint: str

    def __str__(self) -> str:
        text = f"{self.level.value} {self.id} at {self.place}: {self.message}"
        return f"{text} (hint: {self.hint})"


def run_checks(settings: Settings) -> list[CheckMessage]:
    """Run all checks on the settings of one role and return the findings."""
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
                f"{listener.address!r} is not an IP address and a port",
                "write it as 10.0.0.1:8700",
            )
        elif listener.address in seen and not listener.address.endswith(":0"):
            yield _error(
                2,
                f"{place}.address",
                f"{listener.address} is used by another listener",
                "use another port",
            )
        seen.add(listener.address)
        if listener.tls is None:
            continue
        for name, file in (("certificate", listener.tls.certificate), ("key", listener.tls.key)):
            if not Path(file).is_file():
                yield _error(
                    3, f"{place}.tls.{name}", f"there is no file {file!r}", "name a PEM file"
                )


def _check_log(settings: Settings) -> Iterator[CheckMessage]:
    log = getattr(settings, "log", None)
    if isinstance(log, LogSettings) and log.level not in LOG_LEVELS:
        yield _error(4, "$.log.level", f"unknown level {log.level!r}", f"use one of {LOG_LEVELS}")


def _check_entry(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, EntrySettings):
        return
    policy = settings.policy
    placements = ("packing", "spreading", "random", "round-robin", "stale-shortest-queue")
    if policy.placement not in placements:
        yield _error(
            5,
            "$.policy.placement",
            f"unknown policy {policy.placement!r}",
            f"use one of {placements}",
        )
    if policy.admission not in ("deadline", "open"):
        yield _error(
            6,
            "$.policy.admission",
            f"unknown policy {policy.admission!r}",
            "use deadline or open",
        )
    if settings.ticket_life_s <= 0:
        yield _error(7, "$.ticket_life_s", "the life of a ticket must be above 0 s", "use 600")
    if settings.poll_interval_s > 5:
        yield _warning(
            1,
            "$.poll_interval_s",
            "a configuration change may take longer than 15 s to be in force",
            "poll at least every 5 s",
        )
    if settings.callers.tls is None and not settings.callers.address.startswith("127."):
        yield _warning(
            2, "$.callers.tls", "tokens are sent unencrypted", "set a certificate and a key"
        )


def _check_agent(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, AgentSettings):
        return
    if settings.slots < 1:
        yield _error(8, "$.slots", "an endpoint must have at least one slot", "use 8")
    if settings.queue_limit < 0:
        yield _error(9, "$.queue_limit", "the limit must not be negative", "use 0 for no queue")
    if settings.slots + settings.max_links > WORKER_CONNECTIONS:
        yield _warning(
            3,
            "$.max_links",
            f"slots and links exceed the {WORKER_CONNECTIONS} connections of a worker",
            f"set max_links to at most {WORKER_CONNECTIONS} minus the slots",
        )
    if not settings.endpoint_url.startswith(("http://", "https://")):
        yield _error(10, "$.endpoint_url", "not an HTTP URL", "write it as http://127.0.0.1:8720/")


def _check_secrets(settings: Settings) -> Iterator[CheckMessage]:
    if not isinstance(settings, EntrySettings | AgentSettings):
        return
    key = settings.system_key
    if not key.file and not key.environment:
        yield _error(
            11,
            "$.system_key",
            "the system key has no source",
            "name a file or an environment variable",
        )
    token = settings.operators_token
    is_local = settings.operators.address.startswith("127.")
    if not token.file and not token.environment and not is_local:
        yield _error(
            12,
            "$.operators_token",
            "the operators' address is not local and requires no token",
            "name a file or an environment variable",
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
                f"{address!r} is not an IP address and a port",
                "write it as 10.0.0.1:8700",
            )
    times = FleetTimes.fit(
        resend_s=settings.resend_ms / 1000,
        lease_max_s=settings.lease_max_ms / 1000,
        stop_s=settings.stop_ms / 1000,
    )
    if isinstance(settings, FleetAgentSettings):
        yield from _check_link_bounds(settings)
    if times.lease_s < MIN_LEASE_S or times.lost_run_s >= settings.resend_ms / 1000:
        yield _error(
            15,
            "$.resend_ms",
            f"runs of a lost owner end after {times.lost_run_s:.2f} s at the earliest, but a "
            f"caller may resubmit its job after {settings.resend_ms / 1000:.2f} s",
            "increase resend_ms so that leases of 0.2 s expire before a caller resubmits",
        )


def _check_link_bounds(settings: FleetAgentSettings) -> Iterator[CheckMessage]:
    for name in ("max_near_links", "max_far_links"):
        if getattr(settings, name) < 1:
            yield _error(
                16,
                f"$.{name}",
                "an agent without links to some entries gets no tasks from them",
                "use 1 or more; 12 and 4 link every agent to all entries of a system of 16",
            )


def _check_platform_server(settings: Settings) -> Iterator[CheckMessage]:
    if isinstance(settings, PlatformServerSettings) and settings.writes_per_s < 0:
        yield _error(13, "$.writes_per_s", "the rate must not be negative", "use 0 for no limit")


_CHECKS: tuple[Callable[[Settings], Iterator[CheckMessage]], ...] = (
    _check_listeners,
    _check_log,
    _check_entry,
    _check_agent,
    _check_secrets,
    _check_platform_server,
    _check_fleet,
)
