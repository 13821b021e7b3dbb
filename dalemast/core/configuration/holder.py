"""The configuration in force in a process, which only changes to a higher version."""

from __future__ import annotations

from dalemast.core.configuration.documents import Account, Configuration, PlatformLimits, Service
from dalemast.core.configuration.exceptions import ConfigurationUnavailable

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Holds the configuration in force and finds accounts and services by name."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._accounts: dict[str, Account] = {}
        self._services: dict[str, Service] = {}

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return 0 if self._configuration is None else self._configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether any configuration is in force."""
        return self._configuration is not None

    @property
    def current(self) -> Configuration:
        """The configuration in force; raise :class:`ConfigurationUnavailable` if there is none."""
        if self._configuration is None:
            raise ConfigurationUnavailable("this process has not received a configuration yet")
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
        """Apply a configuration if it is newer; return whether it was."""
        if self._configuration is not None and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._accounts = {account.name: account for account in configuration.accounts}
        self._services = {service.name: service for service in configuration.services}
        return True

    def get_service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        return self._services.get(name)
