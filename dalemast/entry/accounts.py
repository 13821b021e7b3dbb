"""Find the account that a token belongs to."""

from __future__ import annotations

import hmac

from dalemast.core.configuration import Account, ConfigurationHolder
from dalemast.http.exceptions import BadToken
from dalemast.http.security import get_token_digest

__all__ = ["Authenticator"]

PREFIX_LENGTH = 8
"""Hex digits by which digests are indexed; whole digests are compared in constant time."""


class Authenticator:
    """Index of accounts by token digest, rebuilt when the configuration changes."""

    def __init__(self, *, configuration: ConfigurationHolder) -> None:
        self._configuration = configuration
        self._version = -1
        self._groups: dict[str, list[tuple[str, Account]]] = {}

    def get_account(self, token: str) -> Account:
        """Return the account of a token; raise :class:`BadToken` if there is none."""
        if self._version != self._configuration.version:
            self._rebuild()
        digest = get_token_digest(token)
        found: Account | None = None
        for known, account in self._groups.get(digest[:PREFIX_LENGTH], ()):
            if hmac.compare_digest(known, digest):
                found = account
        if found is None:
            raise BadToken("no account has this token")
        return found

    def _rebuild(self) -> None:
        self._groups = {}
        for account in self._configuration.current.accounts:
            for digest in account.token_sha256:
                group = self._groups.setdefault(digest[:PREFIX_LENGTH], [])
                group.append((digest, account))
        self._version = self._configuration.version
