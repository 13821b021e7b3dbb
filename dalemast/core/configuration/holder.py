"""Hold the configuration in force; it only ever moves to a higher version."""

from __future__ import annotations

from dalemast.core.configuration.documents import Account, Configuration, PlatformLimits, Service
from dalemast.core.configuration.exceptions import ConfigurationUnavailable

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """The configuration that is in force in one process, with look-ups by name."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._accounts: dict[str, Account] = {}
        self._services: dict[str, Service] = {}

    @property
    def version(self) -> int:
        """The version in force, 0 when there is none yet."""
        return 0 if self._configuration is None else self._configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether any configuration is in force."""
        return self._configuration is not None

    @property
    def current(self) -> Configuration:
        """The configuration in force; raises :class:`ConfigurationUnavailable` without one."""
        if self._configuration is None:
            raise ConfigurationUnavailable("no configuration has reached this process yet")
        return self._configuration

    @property
    def accounts(self) -> dict[str, Account]:
        """The accounts by name."""
        return self._accounts

    @property
    def limits(self) -> PlatformLimits:
        """The limits of the platform."""
        return self.current.get_limits()

    def offer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        if self._configuration is not None and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._accounts = {account.name: account for account in configuration.accounts}
        self._services = {service.name: service for service in configuration.services}
        return True

    def get_service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)
