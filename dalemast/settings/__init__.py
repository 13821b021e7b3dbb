"""Settings of each process, read from YAML and checked before the process starts."""

from dalemast.settings.base import (
    AgentSettings,
    EmulationSettings,
    EntrySettings,
    ListenerSettings,
    LogSettings,
    PlatformServerSettings,
    PlatformSettings,
    PolicySettings,
    SecretSettings,
    TlsSettings,
)
from dalemast.settings.checks import CheckLevel, CheckMessage, run_checks
from dalemast.settings.exceptions import SecretMissing, SettingsFailCheck, SettingsInvalid
from dalemast.settings.fleet import (
    AddressSettings,
    BackendSettings,
    FleetAgentSettings,
    FleetEntrySettings,
    FleetSettings,
)
from dalemast.settings.loader import load_document, load_settings, parse_settings, read_secret
from dalemast.settings.roles import load_role

__all__ = [
    "AddressSettings",
    "AgentSettings",
    "BackendSettings",
    "CheckLevel",
    "CheckMessage",
    "EmulationSettings",
    "EntrySettings",
    "FleetAgentSettings",
    "FleetEntrySettings",
    "FleetSettings",
    "ListenerSettings",
    "LogSettings",
    "PlatformServerSettings",
    "PlatformSettings",
    "PolicySettings",
    "SecretMissing",
    "SecretSettings",
    "SettingsFailCheck",
    "SettingsInvalid",
    "TlsSettings",
    "load_document",
    "load_role",
    "load_settings",
    "parse_settings",
    "read_secret",
    "run_checks",
]
