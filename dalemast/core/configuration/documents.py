"""The documents that operators declare."""

from __future__ import annotations

import enum

import msgspec

__all__ = [
    "KINDS",
    "Account",
    "Configuration",
    "Endpoint",
    "EndpointState",
    "Limits",
    "PlatformLimits",
    "Service",
]


class Document(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all documents: frozen, keyword-only, and strict about unknown keys."""


class Limits(Document, frozen=True, kw_only=True):
    """What one account may use on the whole platform; entries divide it between them.

    Rates are jobs a second, counts are tasks, sizes are bytes.
    """

    jobs_per_s: float = 1000.0
    burst_jobs: float = 1000.0
    running_tasks: int = 100_000
    queued_tasks: int = 20_000
    queued_bytes: int = 64 * 1024 * 1024
    kept_bytes: int = 32 * 1024 * 1024
    retries_per_s: float = 50.0


class Account(Document, frozen=True, kw_only=True):
    """A client account. ``token_sha256`` lists the hex digests of its tokens."""

    name: str
    token_sha256: tuple[str, ...] = ()
    weight: float = 1.0
    limits: Limits = Limits()


class Service(Document, frozen=True, kw_only=True):
    """Something that callers can ask for; ``selector`` is added to that of each job."""

    name: str
    labels: dict[str, str] = {}
    selector: str = ""


class EndpointState(enum.Enum):
    """Whether an endpoint may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Endpoint(Document, frozen=True, kw_only=True):
    """A back end on a worker, with the address of the agent beside it."""

    name: str
    worker: str
    data_centre: str
    agent: str
    services: tuple[str, ...]
    labels: dict[str, str] = {}
    slots: int = 8
    state: EndpointState = EndpointState.LIVE


class PlatformLimits(Document, frozen=True, kw_only=True):
    """Limits of the platform as a whole. Times are milliseconds, sizes bytes."""

    name: str = "platform"
    max_tasks_per_job: int = 110
    max_payload_bytes: int = 256 * 1024
    max_job_bytes: int = 4 * 1024 * 1024
    max_deadline_ms: int = 120_000
    retries_per_s: float = 500.0


class Configuration(Document, frozen=True, kw_only=True):
    """Everything that is in force, under one version that only grows."""

    version: int = 0
    accounts: tuple[Account, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    limits: tuple[PlatformLimits, ...] = ()

    def get_limits(self) -> PlatformLimits:
        """Return the declared limits of the platform or the defaults."""
        return self.limits[0] if self.limits else PlatformLimits()


KINDS: dict[str, type[Document]] = {
    "accounts": Account,
    "services": Service,
    "endpoints": Endpoint,
    "limits": PlatformLimits,
}
"""The kinds of documents by the name that operators use."""
