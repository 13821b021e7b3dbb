"""The configuration documents that operators declare."""

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
    """Base of all documents: frozen and keyword-only; unknown keys are rejected."""


class Limits(Document, frozen=True, kw_only=True):
    """The limits of one account on the whole platform, shared equally by the live entries.

    Rates are per second, counts are in tasks, sizes in bytes.
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
    """A service that jobs can request; ``selector`` applies in addition to that of the job."""

    name: str
    labels: dict[str, str] = {}
    selector: str = ""


class EndpointState(enum.Enum):
    """Whether an endpoint may get new tasks."""

    LIVE = "live"
    LEAVING = "leaving"


class Endpoint(Document, frozen=True, kw_only=True):
    """A back end on a worker, and the address of the agent on the same host."""

    name: str
    worker: str
    data_centre: str
    agent: str
    services: tuple[str, ...]
    labels: dict[str, str] = {}
    slots: int = 8
    state: EndpointState = EndpointState.LIVE


class PlatformLimits(Document, frozen=True, kw_only=True):
    """Limits of the whole platform. Times are in milliseconds, sizes in bytes."""

    name: str = "platform"
    max_tasks_per_job: int = 110
    max_payload_bytes: int = 256 * 1024
    max_job_bytes: int = 4 * 1024 * 1024
    max_deadline_ms: int = 120_000
    retries_per_s: float = 500.0


class Configuration(Document, frozen=True, kw_only=True):
    """All documents in force, under one version number that only increases."""

    version: int = 0
    accounts: tuple[Account, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    limits: tuple[PlatformLimits, ...] = ()

    def get_limits(self) -> PlatformLimits:
        """Return the declared limits of the platform, or the defaults."""
        return self.limits[0] if self.limits else PlatformLimits()


KINDS: dict[str, type[Document]] = {
    "accounts": Account,
    "services": Service,
    "endpoints": Endpoint,
    "limits": PlatformLimits,
}
"""The document classes by the kind that operators use for them."""
