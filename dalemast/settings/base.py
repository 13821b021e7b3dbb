"""The settings of each role. The defaults work for all processes on one machine."""

from __future__ import annotations

import msgspec

__all__ = [
    "AgentSettings",
    "EmulationSettings",
    "EntrySettings",
    "ListenerSettings",
    "LogSettings",
    "PlatformServerSettings",
    "PlatformSettings",
    "PolicySettings",
    "SecretSettings",
    "Settings",
    "TlsSettings",
]


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings: immutable, keyword-only, and without unknown keys."""


class TlsSettings(Settings, frozen=True, kw_only=True):
    """File names of a certificate chain and its key, both in PEM."""

    certificate: str
    key: str


class ListenerSettings(Settings, frozen=True, kw_only=True):
    """Where a process listens: an IP address and a port, which the system chooses if it is 0."""

    address: str
    tls: TlsSettings | None = None


class SecretSettings(Settings, frozen=True, kw_only=True):
    """Source of a secret: a file or an environment variable, never the settings themselves."""

    file: str = ""
    environment: str = ""


class PlatformSettings(Settings, frozen=True, kw_only=True):
    """How to reach the platform. ``backend`` is the dotted path of a BasePlatform class."""

    backend: str = "dalemast.hosting.http.HttpPlatform"
    url: str = "http://127.0.0.1:8790"


class LogSettings(Settings, frozen=True, kw_only=True):
    """``level`` is none, errors, jobs or all; ``destination`` is stderr or a file name."""

    level: str = "errors"
    destination: str = "stderr"


class PolicySettings(Settings, frozen=True, kw_only=True):
    """Placement and admission policies of the owner of a job; see docs/topics/policies.md."""

    placement: str = "packing"
    admission: str = "deadline"
    queue_limit: int = 1
    is_task_by_task: bool = False
    is_ejecting: bool = True
    confirm_after_s: float = 10.0
    revoke_factor: float = 3.0


class EmulationSettings(Settings, frozen=True, kw_only=True):
    """One-way delays in milliseconds added to messages between processes, for experiments.

    ``near_ms`` applies within a data centre, ``far_ms`` between data centres.
    """

    near_ms: float = 0.0
    far_ms: float = 0.0


class EntrySettings(Settings, frozen=True, kw_only=True):
    """Settings of ``dalemast entry``.

    ``peers`` are operators' addresses of other entries, in addition to those in the host list.
    ``max_links_per_worker`` limits how many entries connect to one worker.
    """

    name: str = "entry-1"
    data_centre: str = "austin"
    callers: ListenerSettings = ListenerSettings(address="127.0.0.1:8700")
    operators: ListenerSettings = ListenerSettings(address="127.0.0.1:8701")
    platform: PlatformSettings = PlatformSettings()
    system_key: SecretSettings = SecretSettings(environment="DALEMAST_SYSTEM_KEY")
    operators_token: SecretSettings = SecretSettings()
    ca_file: str = ""
    peers: tuple[str, ...] = ()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
    emulation: EmulationSettings = EmulationSettings()
    ticket_life_s: float = 600.0
    max_tickets_per_request: int = 1000
    poll_interval_s: float = 1.0
    worker_lost_after_s: float = 3.0
    caller_grace_s: float = 5.0
    drain_limit_s: float = 60.0
    max_links_per_worker: int = 48
    max_body_bytes: int = 8 * 1024 * 1024


class AgentSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``dalemast agent``. ``link`` is the listener for entries."""

    name: str = "endpoint-1"
    worker: str = "worker-1"
    data_centre: str = "austin"
    link: ListenerSettings = ListenerSettings(address="127.0.0.1:8710")
    operators: ListenerSettings = ListenerSettings(address="127.0.0.1:8711")
    endpoint_url: str = "http://127.0.0.1:8720/"
    system_key: SecretSettings = SecretSettings(environment="DALEMAST_SYSTEM_KEY")
    operators_token: SecretSettings = SecretSettings()
    log: LogSettings = LogSettings()
    emulation: EmulationSettings = EmulationSettings()
    slots: int = 8
    queue_limit: int = 1
    max_links: int = 56
    max_run_s: float = 60.0
    drain_limit_s: float = 60.0
    is_holding_answers: bool = True


class PlatformServerSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``dalemast platform``, the stand-in for the platform's services."""

    listen: ListenerSettings = ListenerSettings(address="127.0.0.1:8790")
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
