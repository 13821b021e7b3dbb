"""The configuration declared by operators, and the version in force."""

from dalemast.core.configuration.documents import (
    KINDS,
    Account,
    Configuration,
    Endpoint,
    EndpointState,
    Limits,
    PlatformLimits,
    Service,
)
from dalemast.core.configuration.exceptions import (
    ConfigurationInvalid,
    ConfigurationUnavailable,
    UnknownKind,
    UnknownName,
    VersionConflict,
)
from dalemast.core.configuration.holder import ConfigurationHolder
from dalemast.core.configuration.validation import parse_items, validate_configuration

__all__ = [
    "KINDS",
    "Account",
    "Configuration",
    "ConfigurationHolder",
    "ConfigurationInvalid",
    "ConfigurationUnavailable",
    "Endpoint",
    "EndpointState",
    "Limits",
    "PlatformLimits",
    "Service",
    "UnknownKind",
    "UnknownName",
    "VersionConflict",
    "parse_items",
    "validate_configuration",
]
